use std::time::Duration;

/// Time limits of an entry.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time in which callers are still accepted while the readiness is off, so that the balancer sees it.
    pub drain_delay: Duration,
    /// Longest time that accepted work may take after that.
    pub grace: Duration,
    /// Time after the loss of a data centre's records in which each unknown key is refused, since an earlier try of it
    /// may have run.
    pub cold_start_window: Duration,
    /// How long the outcome of an ended job is remembered after its answer was forgotten.
    pub outcome_retention: Duration,
    /// Silence after which another entry is suspected. It must be the same at all entries.
    pub suspicion: Duration,
}

impl Limits {
    /// Returns after which silence a connection to another entry is replaced. The first renewal of a lease that gets lost
    /// goes out up to two fifths of the suspicion after the last one that was heard; it is sent again over the next
    /// connection before the suspicion.
    pub fn link_silence_timeout(&self) -> Duration {
        self.suspicion * 2 / 5
    }
}
