use std::time::Duration;

/// Time limits of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for which callers are still accepted while the readiness check fails, so that load balancers
    /// notice.
    pub drain_delay: Duration,
    /// Longest time that accepted work may take after the drain delay.
    pub grace: Duration,
    /// Time after the loss of a data centre's records for which every unknown key is refused, since an
    /// earlier submission of it may have run.
    pub cold_start_window: Duration,
    /// Time for which the outcome of an ended job is retained after its answer was dropped.
    pub outcome_retention: Duration,
    /// Time without a renewal after which another entry is suspected. Must be the same at all entries.
    pub suspicion: Duration,
}

impl Limits {
    /// Returns the time without an answer after which a connection to another entry is replaced.
    ///
    /// The first lease renewal that is lost is sent up to two fifths of [`Self::suspicion`] after the last
    /// one that arrived. With another two fifths until the connection is replaced, it is resent before the
    /// entry is suspected.
    pub fn link_silence_timeout(&self) -> Duration {
        self.suspicion * 2 / 5
    }
}
