use std::{collections::BTreeMap, sync::Arc};

use kqr_jobs::Member;
use kqr_settings::bootstrap::Instance;
use kqr_types::InstanceId;
use kqr_wire::mail::Mail;
use tokio_util::sync::CancellationToken;

use crate::{entry::Entry, message_queue::MessageQueue, peer_sender::PeerSender};

/// Most messages of one call, and of its reply.
pub const MAX_BATCH_MESSAGES: usize = 1024;

/// The messages of this entry's machines to other entries. Those to one peer go in batches: in calls of this entry, and in
/// replies to calls of the peer.
#[derive(Debug)]
pub struct Outbox {
    /// Identity under which peers are written to.
    pub own: Member,
    queues: BTreeMap<InstanceId, Arc<MessageQueue>>,
}

impl Outbox {
    /// Creates the queues of `peers`.
    pub fn new(own: Member, peers: &[Instance]) -> Self {
        let queue = |peer: &Instance| (peer.id.clone(), Arc::default());
        Self {
            own,
            queues: peers.iter().map(queue).collect(),
        }
    }

    /// Starts to write to `peers` until `shutdown`.
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

    /// Sends a message to `peer`. It is dropped if the peer is unknown or far behind.
    pub fn enqueue(&self, peer: &InstanceId, mail: Mail) {
        let Some(queue) = self.queues.get(peer) else {
            return;
        };
        if !queue.push(mail) {
            log::debug!("a message to {peer} was dropped");
        }
    }

    /// Removes messages that wait for `peer`, to send them with a reply to it.
    pub fn take_batch(&self, peer: &InstanceId) -> Vec<Mail> {
        let queue = self.queues.get(peer);
        queue
            .map(|queue| queue.take(MAX_BATCH_MESSAGES))
            .unwrap_or_default()
    }
}
