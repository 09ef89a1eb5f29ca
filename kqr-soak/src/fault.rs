use std::{fmt, time::Duration};

/// Fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes arrive later by this time.
    Delay(Duration),
    /// All connections are reset once; new ones work.
    Reset,
    /// Bytes to the process are held back; those from it arrive.
    CutInward,
    /// Bytes from the process are held back; those to it arrive.
    CutOutward,
    /// Connections that are open now carry no more bytes; new ones work.
    Silence,
}

/// Fault of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// It restarts at once as a new incarnation.
    Restart,
    /// It does not answer.
    Dark,
    /// Its tasks make no progress.
    Hang,
    /// All tasks that it starts fail.
    Fail,
    /// It carries out orders late and does not answer them in time.
    LateOrders,
    /// It carries out orders, but the answers are lost.
    LostAnswers,
    /// It announces that it leaves, and a new target replaces it.
    Leave,
}

/// A fault of a run. Processes and targets are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A control instance is killed and started again.
    KillControl(usize),
    /// A control instance is killed, loses its data folder, and starts again.
    WipeControl(usize),
    /// A control instance is killed and starts again with a torn last write in its log.
    TearControl(usize),
    /// A control instance is suspended.
    PauseControl(usize),
    /// A control instance is shut down gracefully and started again.
    TermControl(usize),
    /// A control instance is lost for good; later, its successor starts at another address without any data.
    ReplaceControl(usize),
    /// The successor of a control instance starts at another address without any data; later, the instance is
    /// shut down gracefully for good.
    ReplaceControlPlanned(usize),
    /// An entry is killed and started again.
    KillEntry(usize),
    /// An entry is suspended.
    PauseEntry(usize),
    /// An entry is shut down gracefully and started again.
    TermEntry(usize),
    /// All processes are told to reload their settings.
    Reload,
    /// A fault is injected into the links to a control instance.
    ControlLink(usize, LinkFault),
    /// A fault is injected into the links to an entry.
    EntryLink(usize, LinkFault),
    /// A target is faulty.
    Target(usize, TargetFault),
    /// A new catalog is sent.
    Change,
    /// Two catalogs are sent at the same time to control instances.
    Race,
    /// Invalid catalogs are sent.
    BadChange,
    /// Callers time out before they get an answer.
    GiveUp,
}

impl Fault {
    /// Returns whether this is part of normal operation, which must not interrupt any exchange.
    pub const fn is_normal_operation(self) -> bool {
        matches!(
            self,
            Self::TermControl(_)
                | Self::ReplaceControlPlanned(_)
                | Self::TermEntry(_)
                | Self::Reload
                | Self::Change
                | Self::Race
                | Self::BadChange
                | Self::GiveUp
        )
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
