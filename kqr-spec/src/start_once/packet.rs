use kqr_jobs::{JobMessage, TaskResult};
use kqr_types::{AttemptId, Incarnation, InstanceId};

/// Something on its way. It may stay there for ever, which is a loss.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Packet {
    /// A message between members.
    Peer {
        /// The sender.
        from: InstanceId,
        /// The life of the sender.
        incarnation: Incarnation,
        /// The receiver.
        to: InstanceId,
        /// The message.
        message: JobMessage,
    },
    /// A start on its way to a target.
    Start(ToTarget),
    /// A question on its way to a target.
    Query(ToTarget),
    /// The end of an attempt on its way to the member that started it or asked for it.
    End {
        /// The member.
        to: InstanceId,
        /// The life of the member.
        incarnation: Incarnation,
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: TaskResult,
    },
}

/// A request of a member to a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ToTarget {
    /// The asking member.
    pub from: InstanceId,
    /// The life of the member.
    pub incarnation: Incarnation,
    /// The attempt.
    pub attempt: AttemptId,
    /// Position of the target.
    pub target: usize,
    /// The life of the target that is meant.
    pub target_incarnation: Incarnation,
}
