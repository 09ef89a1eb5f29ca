use std::{fmt, time::Duration};

/// What a proxy does to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes arrive later by the time.
    Delay(Duration),
    /// All connections are reset once; new ones work.
    Reset,
    /// Bytes to the process stay away; those from it arrive.
    CutInward,
    /// Bytes from the process stay away; those to it arrive.
    CutOutward,
    /// Connections that are open now go silent for good; new ones work.
    Silence,
}

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// It begins another life at once.
    Restart,
    /// It answers nothing.
    Dark,
    /// Its tasks make no progress.
    Hang,
    /// It fails all that it starts.
    Fail,
    /// It carries orders out late and does not answer them.
    LateOrders,
    /// It carries orders out and loses the answers.
    LostAnswers,
    /// It announces that it leaves, and another one comes.
    Leave,
}

/// A fault of a run. Processes and targets are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A control instance is killed and started again.
    KillControl(usize),
    /// A control instance is killed, loses its data folder, and starts again.
    WipeControl(usize),
    /// A control instance is killed, and what it wrote last is torn.
    TearControl(usize),
    /// A control instance stands still.
    PauseControl(usize),
    /// A control instance is told to end, and is started again.
    TermControl(usize),
    /// An entry is killed and started again.
    KillEntry(usize),
    /// An entry stands still.
    PauseEntry(usize),
    /// An entry is told to end, and is started again.
    TermEntry(usize),
    /// All processes are told that their settings have changed.
    Reload,
    /// The links to a control instance are disturbed.
    ControlLink(usize, LinkFault),
    /// The links to an entry are disturbed.
    EntryLink(usize, LinkFault),
    /// A target misbehaves.
    Target(usize, TargetFault),
    /// A new configuration is sent.
    Change,
    /// Two configurations are sent at the same time to two control instances.
    Race,
    /// An invalid configuration is sent.
    BadChange,
    /// Callers leave before their answers.
    GiveUp,
}

impl Fault {
    /// Returns whether the fault is planned work, during which nothing may be cut off.
    pub const fn is_normal_operation(self) -> bool {
        matches!(
            self,
            Self::TermControl(_)
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
