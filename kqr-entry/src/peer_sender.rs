use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use kqr_types::InstanceId;
use kqr_wire::{entry_message::EntryMessage, siblings::DeliveryReply};
use tarpc::context;
use tokio_util::sync::CancellationToken;

use crate::{
    entry::Entry, message_queue::MessageQueue, outbox::MAX_BATCH_MESSAGES, sibling_link::SiblingLink,
};

/// Maximum number of concurrent calls to one peer.
const MAX_OPEN_CALLS: usize = 4;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of times that a batch is sent: once, and again over a new connection if the first one is lost.
const MAX_SENDS: u32 = 2;

/// Sends the queued messages to one peer.
#[derive(Clone, Debug)]
pub struct PeerSender {
    /// This entry.
    pub entry: Arc<Entry>,
    /// The peer.
    pub peer: InstanceId,
    /// Address of the peer's listener for siblings.
    pub address: SocketAddr,
    /// Messages to send.
    pub queue: Arc<MessageQueue>,
}

impl PeerSender {
    /// Sends queued messages until `shutdown`, then one last batch. All calls run in this one task, so that a
    /// single message wakes no further thread.
    pub async fn run(self, shutdown: CancellationToken) {
        let mut calls = FuturesUnordered::new();
        while !shutdown.is_cancelled() {
            let can_send = calls.len() < MAX_OPEN_CALLS;
            let batch = if can_send {
                self.queue.take(MAX_BATCH_MESSAGES)
            } else {
                Vec::new()
            };
            if !batch.is_empty() {
                calls.push(self.send(batch));
                continue;
            }
            tokio::select! {
                () = self.queue.wait_for_messages(), if can_send => {}
                Some(()) = calls.next() => {}
                () = shutdown.cancelled() => {}
            }
        }
        let rest = self.queue.take(MAX_BATCH_MESSAGES);
        if !rest.is_empty() {
            self.send(rest).await;
        }
        while calls.next().await.is_some() {}
    }

    /// Sends one batch, and resends it over a new connection if the current one fails or is silent.
    async fn send(&self, batch: Vec<EntryMessage>) {
        for _ in 0..MAX_SENDS {
            let link = match self.entry.links.get(&self.peer, self.address).await {
                Ok(link) => link,
                Err(error) => {
                    log::debug!("failed to connect to {}: {error}", self.peer);
                    return;
                }
            };
            match self.send_over(&link, batch.clone()).await {
                Ok(reply) => {
                    self.handle_reply(reply);
                    return;
                }
                Err(cause) => {
                    log::debug!("failed to send messages to {}: {cause}", self.peer);
                    self.entry.links.discard(&self.peer, &link);
                }
            }
        }
    }

    async fn send_over(&self, link: &SiblingLink, batch: Vec<EntryMessage>) -> Result<DeliveryReply, String> {
        let mut cx = context::current();
        cx.deadline = std::time::Instant::now() + CALL_TIMEOUT;
        let own = &self.entry.outbox.own;
        let time = self.entry.engine.events.now();
        let delivery = link
            .client
            .deliver(cx, own.id.clone(), own.incarnation, time, batch);
        tokio::select! {
            answer = delivery => {
                link.record_answer();
                answer.map_err(|error| error.to_string())
            }
            () = link.lost.cancelled() => Err("the connection was lost".to_owned()),
            () = link.wait_until_silent() => Err("the connection is silent".to_owned()),
        }
    }

    /// Handles the messages that arrived with a reply.
    fn handle_reply(&self, reply: DeliveryReply) {
        self.entry.engine.events.merge(reply.time);
        for mail in reply.mails {
            self.entry.receive_mail(&self.peer, reply.incarnation, mail);
        }
    }
}
