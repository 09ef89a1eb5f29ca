use crate::Traffic;

/// Bytes sent and received over the link of an entry, by type of message.
///
/// The sizes are estimates of what the applications write. Headers of TCP and IP, acknowledgements and retransmissions are
/// not included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkUsage {
    sent: [u64; Traffic::ALL.len()],
    received: [u64; Traffic::ALL.len()],
}

impl LinkUsage {
    /// Adds sent and received bytes.
    pub fn add(&mut self, traffic: Traffic, sent: u64, received: u64) {
        self.sent[traffic as usize] += sent;
        self.received[traffic as usize] += received;
    }

    /// Returns the sent bytes of a type.
    pub const fn sent(&self, traffic: Traffic) -> u64 {
        self.sent[traffic as usize]
    }

    /// Returns the received bytes of a type.
    pub const fn received(&self, traffic: Traffic) -> u64 {
        self.received[traffic as usize]
    }

    /// Returns all sent bytes.
    pub fn total_sent(&self) -> u64 {
        self.sent.iter().sum()
    }

    /// Returns all received bytes.
    pub fn total_received(&self) -> u64 {
        self.received.iter().sum()
    }
}
