use std::fmt;

/// Why no target was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickFailure {
    /// No target serves the service.
    UnknownService,
    /// No target is large enough, whether busy or not.
    NoneFits,
    /// Each target that is large enough is busy.
    AllBusy,
    /// Each target that is large enough is to be avoided.
    AllAvoided,
    /// Free targets are so slow that a wait for a faster slot is expected to end sooner.
    FasterSlotExpected,
}

impl PickFailure {
    /// Returns whether the work can be placed later without a change of the targets.
    pub const fn is_temporary(self) -> bool {
        matches!(self, Self::AllBusy | Self::AllAvoided | Self::FasterSlotExpected)
    }
}

impl fmt::Display for PickFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownService => "no target serves the service",
            Self::NoneFits => "no target is large enough",
            Self::AllBusy => "each target that is large enough is busy",
            Self::AllAvoided => "each target that is large enough was tried",
            Self::FasterSlotExpected => "a faster slot is expected soon",
        })
    }
}
