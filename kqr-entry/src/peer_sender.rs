use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use kqr_types::InstanceId;
use kqr_wire::{mail::Mail, siblings::MailReply};
use tarpc::context;
use tokio_util::sync::CancellationToken;

use crate::{
    entry::Entry, message_queue::MessageQueue, outbox::MAX_BATCH_MESSAGES, sibling_link::SiblingLink,
};

/// Calls to one peer that may be open at the same time.
const OPEN_CALLS: usize = 4;
/// Longest time of a call.
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// How often a batch is sent: once, and again over the next connection if the first one is lost.
const SENDS: u32 = 2;

/// The way of messages to one peer.
#[derive(Clone, Debug)]
pub struct PeerSender {
    /// This entry.
    pub entry: Arc<Entry>,
    /// The peer.
    pub peer: InstanceId,
    /// Its listener for siblings.
    pub address: SocketAddr,
    /// The messages.
    pub queue: Arc<MessageQueue>,
}

impl PeerSender {
    /// Sends what is queued until `shutdown`. All calls run in this one task, so that a message without others wakes no
    /// further thread.
    pub async fn run(self, shutdown: CancellationToken) {
        let mut calls = FuturesUnordered::new();
        while !shutdown.is_cancelled() {
            let is_open = calls.len() < OPEN_CALLS;
            let batch = if is_open {
                self.queue.take(MAX_BATCH_MESSAGES)
            } else {
                Vec::new()
            };
            if !batch.is_empty() {
                calls.push(self.send(batch));
                continue;
            }
            tokio::select! {
                () = self.queue.filled(), if is_open => {}
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

    /// Sends one batch, and once more over a new connection if the present one fails or stays silent.
    async fn send(&self, batch: Vec<Mail>) {
        for _ in 0..SENDS {
            let link = match self.entry.links.get(&self.peer, self.address).await {
                Ok(link) => link,
                Err(error) => {
                    log::debug!("connecting to {}: {error}", self.peer);
                    return;
                }
            };
            match self.send_over(&link, batch.clone()).await {
                Ok(reply) => {
                    self.take_reply(reply);
                    return;
                }
                Err(cause) => {
                    log::debug!("sending to {}: {cause}", self.peer);
                    self.entry.links.forget(&self.peer, &link);
                }
            }
        }
    }

    async fn send_over(&self, link: &SiblingLink, batch: Vec<Mail>) -> Result<MailReply, String> {
        let mut cx = context::current();
        cx.deadline = std::time::Instant::now() + CALL_LIMIT;
        let own = &self.entry.outbox.own;
        let time = self.entry.engine.events.time();
        let delivery = link
            .client
            .deliver(cx, own.id.clone(), own.incarnation, time, batch);
        tokio::select! {
            answer = delivery => {
                link.note_answer();
                answer.map_err(|error| error.to_string())
            }
            () = link.lost.cancelled() => Err("the connection was lost".to_owned()),
            () = link.silence() => Err("the connection is silent".to_owned()),
        }
    }

    /// Takes in the messages that came with a reply.
    fn take_reply(&self, reply: MailReply) {
        self.entry.engine.events.merge(reply.time);
        for mail in reply.mails {
            self.entry.take_mail(&self.peer, reply.incarnation, mail);
        }
    }
}
