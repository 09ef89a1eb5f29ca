use kqr_agreement::{Message, VoterId};
use kqr_types::InstanceId;

/// An input of a [`FoundingNode`](super::FoundingNode).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoundingInput {
    /// Time has passed.
    Tick,
    /// A message of another seed arrived.
    Message {
        /// Sender.
        from: VoterId,
        /// Message.
        message: Message,
    },
    /// A control instance with an empty disk is ready to found the system.
    Candidate {
        /// The control instance.
        instance: InstanceId,
        /// Smallest number of founders that tolerates the losses which the system has to bear. It is odd.
        min_founders: usize,
    },
}
