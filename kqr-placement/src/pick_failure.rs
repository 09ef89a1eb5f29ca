use std::fmt;

/// Reason why no target was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PickFailure {
    /// No target serves the service.
    UnknownService,
    /// No target, busy or free, is large enough.
    NoneFits,
    /// Every target that is large enough is busy.
    AllBusy,
    /// Every target that is large enough is listed in [`Demand::avoid`](crate::Demand::avoid).
    AllAvoided,
    /// The free targets are so slow that the task is expected to end sooner if it waits for a faster slot.
    FasterSlotExpected,
}

impl PickFailure {
    /// Returns whether the same set of targets may be able to run the work later.
    pub const fn is_temporary(self) -> bool {
        matches!(self, Self::AllBusy | Self::AllAvoided | Self::FasterSlotExpected)
    }
}

impl fmt::Display for PickFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownService => "no target serves the service",
            Self::NoneFits => "no target is large enough",
            Self::AllBusy => "every target that is large enough is busy",
            Self::AllAvoided => "every target that is large enough has already been tried",
            Self::FasterSlotExpected => "a faster slot is expected to become free soon",
        })
    }
}
