use std::{error::Error, fmt};

/// Reason why the report of a target is refused: a field is beyond all targets that exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The processors, the memory or the accelerators exceed the largest target.
    Capacity,
    /// There are too many labels, or one is too long.
    Labels,
    /// The target has no port.
    Address,
    /// The number of the incarnation or of the report can't be followed by higher ones.
    Counter,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Capacity => "the capacity exceeds the largest target",
            Self::Labels => "there are too many labels, or one is too long",
            Self::Address => "the address has no port",
            Self::Counter => "the incarnation or the sequence number is too large",
        })
    }
}

impl Error for RecordError {}
