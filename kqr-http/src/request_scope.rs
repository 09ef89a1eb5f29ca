use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::CancellationToken;

use crate::{ConnectionTicket, Reservation};

/// An open request of a connection. It ends with the last clone. Handlers find it in the extensions of the request.
#[derive(Clone, Debug)]
pub struct RequestScope {
    request: Arc<OpenRequest>,
}

#[derive(Debug)]
struct OpenRequest {
    ticket: ConnectionTicket,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.ticket.budget().end_request(self.ticket.id());
    }
}

impl RequestScope {
    pub(crate) fn new(ticket: ConnectionTicket) -> Self {
        ticket.budget().begin_request(ticket.id());
        Self {
            request: Arc::new(OpenRequest { ticket }),
        }
    }

    /// Reserves `bytes` of memory for this request, or returns `None` if there is no room.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation::empty(self.request.ticket.clone());
        reservation.grow(bytes).then_some(reservation)
    }

    /// Waits until no other large body is being decoded.
    pub async fn wait_to_decode(&self) -> Option<OwnedSemaphorePermit> {
        self.request.ticket.budget().wait_to_decode().await
    }

    /// Records that the body is being read until the result is dropped.
    pub(crate) fn begin_body(&self) -> UnreadBody {
        let ticket = self.request.ticket.clone();
        let stop = ticket.budget().begin_body(ticket.id());
        UnreadBody { ticket, stop }
    }
}

/// A body that is being read.
#[derive(Debug)]
pub(crate) struct UnreadBody {
    ticket: ConnectionTicket,
    stop: CancellationToken,
}

impl UnreadBody {
    /// Waits until the memory of the body has to be given up.
    pub(crate) async fn stopped(&self) {
        self.stop.cancelled().await;
    }
}

impl Drop for UnreadBody {
    fn drop(&mut self) {
        self.ticket.budget().end_body(self.ticket.id());
    }
}
