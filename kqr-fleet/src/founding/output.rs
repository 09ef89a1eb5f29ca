use kqr_agreement::{Message, VoterId};
use kqr_types::InstanceId;

/// An effect of a [`FoundingNode`](super::FoundingNode).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoundingOutput {
    /// A message is to be sent to another seed. Delivery is not guaranteed.
    Send {
        /// Receiver.
        to: VoterId,
        /// Message.
        message: Message,
    },
    /// The founders are agreed.
    Decided(Vec<InstanceId>),
}
