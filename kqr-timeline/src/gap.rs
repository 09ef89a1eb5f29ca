use std::fmt;

use kqr_types::InstanceId;

/// Events of a process that are in no file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Process.
    pub instance: InstanceId,
    /// Number of the last event before the gap.
    pub after: u64,
    /// Number of missing events.
    pub missing: u64,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} events are missing after number {}",
            self.instance, self.missing, self.after
        )
    }
}
