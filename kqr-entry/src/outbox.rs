use std::{collections::BTreeMap, sync::Arc};

use kqr_jobs::Member;
use kqr_settings::bootstrap::Instance;
use kqr_types::InstanceId;
use kqr_wire::entry_message::EntryMessage;
use tokio_util::sync::CancellationToken;

use crate::{entry::Entry, message_queue::MessageQueue, peer_sender::PeerSender};

/// Maximum number of messages in one call, and in its reply.
pub const MAX_BATCH_MESSAGES: usize = 1024;

/// Queues of messages from the state machines of this entry to other entries. Messages to a peer are sent in
/// batches, in calls of this entry and in replies to calls of the peer.
#[derive(Debug)]
pub struct Outbox {
    /// Identity of this entry as the sender.
    pub own: Member,
    queues: BTreeMap<InstanceId, Arc<MessageQueue>>,
}

impl Outbox {
    /// Creates empty queues for `peers`.
    pub fn new(own: Member, peers: &[Instance]) -> Self {
        let queue = |peer: &Instance| (peer.id.clone(), Arc::default());
        Self {
            own,
            queues: peers.iter().map(queue).collect(),
        }
    }

    /// Spawns a sender for each of `peers`, which runs until `shutdown`.
    pub fn start_senders(entry: &Arc<Entry>, peers: &[Instance], shutdown: &CancellationToken) {
        for peer in peers {
            let Some(queue) = entry.outbox.queues.get(&peer.id) else {
                continue;
            };
            let sender = PeerSender {
                entry: Arc::clone(entry),
                peer: peer.id.clone(),
                address: peer.peers,
                queue: Arc::clone(queue),
            };
            tokio::spawn(sender.run(shutdown.clone()));
        }
    }

    /// Queues a message to `peer`. It is dropped if the peer is unknown or its queue is full.
    pub fn enqueue(&self, peer: &InstanceId, message: EntryMessage) {
        let Some(queue) = self.queues.get(peer) else {
            return;
        };
        if !queue.push(message) {
            log::debug!("the queue of messages to {peer} is full; dropping a message");
        }
    }

    /// Removes and returns a batch of queued messages, which are sent with a reply to `peer`.
    pub fn take_batch(&self, peer: &InstanceId) -> Vec<EntryMessage> {
        let queue = self.queues.get(peer);
        queue
            .map(|queue| queue.take(MAX_BATCH_MESSAGES))
            .unwrap_or_default()
    }
}
