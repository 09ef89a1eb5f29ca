use std::fmt;

/// What holds in each state of the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CellInvariant {
    /// No two instances hold leases of different epochs at the same time.
    OneLeasedEpoch,
    /// Nobody holds a lease who is not in the view that it, or another instance, has installed.
    LeaseInView,
    /// An epoch has one view.
    OneView,
    /// No instance installs an epoch after a later one in the same life.
    InstalledEpochsGrow,
    /// No lease is of an earlier epoch than one that was held before.
    LeasedEpochsGrow,
    /// A life is a full member only after it has copied what it missed, unless nobody remembers anything.
    CopiedBeforeFull,
    /// Instances do not send each other messages without end while no time passes.
    NoStorm,
}

impl CellInvariant {
    /// Returns the name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OneLeasedEpoch => "one leased epoch",
            Self::LeaseInView => "lease in view",
            Self::OneView => "one view",
            Self::InstalledEpochsGrow => "installed epochs grow",
            Self::LeasedEpochsGrow => "leased epochs grow",
            Self::CopiedBeforeFull => "copied before full",
            Self::NoStorm => "no storm",
        }
    }
}

impl fmt::Display for CellInvariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
