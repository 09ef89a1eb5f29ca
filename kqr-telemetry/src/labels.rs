//! Fixed sets of label values. No label value comes from a caller's input.

/// Outcome of a submission or a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerClass {
    /// A complete answer within the caller's deadline.
    InTime,
    /// A complete answer after the caller's deadline.
    Late,
    /// Failed or refused; nothing was run.
    NotRun,
    /// Failed or refused; work may have been run.
    MayHaveRun,
    /// Failed after work was run.
    Ran,
}

impl AnswerClass {
    /// Returns the label value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in-time",
            Self::Late => "late",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

/// Kind of work sent by a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkKind {
    /// A job.
    Job,
    /// A relayed request.
    Request,
}

impl WorkKind {
    /// Returns the label value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Job => "job",
            Self::Request => "request",
        }
    }
}

/// Expected length of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskLength {
    /// Within the run-time quantiles of its class.
    Short,
    /// Longer than those quantiles.
    Long,
}

impl TaskLength {
    /// Returns the label value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::Long => "long",
        }
    }
}

/// Where a task that names the rack of its data started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RackPlace {
    /// On that rack.
    OnRack,
    /// On another one.
    Elsewhere,
}

impl RackPlace {
    /// Returns the label value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OnRack => "on-rack",
            Self::Elsewhere => "elsewhere",
        }
    }
}

/// A message in excess of the one start and one answer that a task needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WastedMessage {
    /// A submission or a task was forwarded to a sibling.
    Forward,
    /// A target refused a start.
    Refusal,
    /// A target was queried about an attempt.
    Question,
    /// An idempotent request was sent again.
    Retry,
    /// An idempotent request was sent to a second target before the first answered.
    Hedge,
    /// Slots of another data centre were borrowed.
    Borrow,
}

impl WastedMessage {
    /// Returns the label value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Forward => "forward",
            Self::Refusal => "refusal",
            Self::Question => "question",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
            Self::Borrow => "borrow",
        }
    }
}
