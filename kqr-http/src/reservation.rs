use crate::ConnectionTicket;

/// Memory that counts against the share of a connection until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    ticket: ConnectionTicket,
    epoch: u64,
    bytes: usize,
}

impl Reservation {
    pub(crate) fn empty(ticket: ConnectionTicket) -> Self {
        let epoch = ticket.budget().epoch(ticket.id());
        Self {
            ticket,
            epoch,
            bytes: 0,
        }
    }

    /// Reserves `bytes` more. Returns whether there is room.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let total = self.bytes.saturating_add(bytes);
        let budget = self.ticket.budget();
        let is_reserved = budget.reserve(self.ticket.id(), self.epoch, bytes, total);
        if is_reserved {
            self.bytes = total;
        }
        is_reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let budget = self.ticket.budget();
        budget.release(self.ticket.id(), self.epoch, self.bytes);
    }
}
