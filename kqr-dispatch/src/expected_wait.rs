use std::time::Duration;

/// Expected wait of a job for capacity. Both parts are zero if all tasks of its first steps find a place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ExpectedWait {
    /// Time in which the work drains that is served before the job.
    pub(crate) ahead: Duration,
    /// Additional time in which the work drains that is served before the job if it can't be on time.
    pub(crate) ahead_of_late: Duration,
    /// Time in which its own tasks drain that find no place.
    pub(crate) own: Duration,
}

impl ExpectedWait {
    /// Returns the time in which all work drains that is served before the job.
    pub(crate) const fn drain(&self) -> Duration {
        self.ahead.saturating_add(self.ahead_of_late)
    }

    /// Returns the expected wait of the last task of the first steps.
    pub(crate) const fn total(&self) -> Duration {
        self.ahead.saturating_add(self.own)
    }
}
