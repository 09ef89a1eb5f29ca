use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use kqr_jobs::Member;
use kqr_settings::bootstrap::Instance;
use kqr_telemetry::EventLog;
use kqr_types::InstanceId;
use kqr_wire::mail::Mail;
use tarpc::context;
use tokio::sync::{Semaphore, mpsc};

use crate::{sibling_link::SiblingLink, sibling_links::SiblingLinks};

/// Messages to one peer that may wait; further ones are dropped, which the machines tolerate.
const QUEUED_MAILS: usize = 65_536;
/// Most messages of one call.
const BATCH: usize = 1024;
/// Calls to one peer that may be open at the same time.
const OPEN_CALLS: usize = 4;
/// Longest time of a call.
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// How often a batch is sent: once, and again over the next connection if the first one is lost.
const SENDS: u32 = 2;

/// The messages of this entry's machines to other entries. Those to one peer go in batches.
#[derive(Debug)]
pub struct Outbox {
    peers: BTreeMap<InstanceId, mpsc::Sender<Mail>>,
}

/// One peer and the identity under which it is written to.
#[derive(Clone, Debug)]
struct Lane {
    own: Member,
    peer: InstanceId,
    address: SocketAddr,
    links: Arc<SiblingLinks>,
    events: Arc<EventLog>,
}

impl Outbox {
    /// Starts to write to `peers` as `own`.
    pub fn start(
        own: &Member,
        peers: &[Instance],
        links: &Arc<SiblingLinks>,
        events: &Arc<EventLog>,
    ) -> Self {
        let mut senders = BTreeMap::new();
        for peer in peers {
            let (tx, rx) = mpsc::channel(QUEUED_MAILS);
            let lane = Lane {
                own: own.clone(),
                peer: peer.id.clone(),
                address: peer.peers,
                links: Arc::clone(links),
                events: Arc::clone(events),
            };
            tokio::spawn(lane.run(rx));
            senders.insert(peer.id.clone(), tx);
        }
        Self { peers: senders }
    }

    /// Sends a message to `peer`. It is dropped if the peer is unknown or far behind.
    pub fn post(&self, peer: &InstanceId, mail: Mail) {
        let Some(tx) = self.peers.get(peer) else { return };
        if tx.try_send(mail).is_err() {
            log::debug!("a message to {peer} was dropped");
        }
    }
}

impl Lane {
    /// Sends what arrives at `rx` until its sender is dropped.
    async fn run(self, mut rx: mpsc::Receiver<Mail>) {
        let open_calls = Arc::new(Semaphore::new(OPEN_CALLS));
        loop {
            let Ok(permit) = Arc::clone(&open_calls).acquire_owned().await else {
                return;
            };
            let mut batch = Vec::new();
            if rx.recv_many(&mut batch, BATCH).await == 0 {
                return;
            }
            let lane = self.clone();
            tokio::spawn(async move {
                lane.send(batch).await;
                drop(permit);
            });
        }
    }

    /// Sends one batch, and once more over a new connection if the present one fails or stays silent.
    async fn send(&self, batch: Vec<Mail>) {
        for _ in 0..SENDS {
            let link = match self.links.get(&self.peer, self.address).await {
                Ok(link) => link,
                Err(error) => {
                    log::debug!("connecting to {}: {error}", self.peer);
                    return;
                }
            };
            match self.send_over(&link, batch.clone()).await {
                Ok(()) => return,
                Err(cause) => {
                    log::debug!("sending to {}: {cause}", self.peer);
                    self.links.forget(&self.peer, &link);
                }
            }
        }
    }

    async fn send_over(&self, link: &SiblingLink, batch: Vec<Mail>) -> Result<(), String> {
        let mut cx = context::current();
        cx.deadline = std::time::Instant::now() + CALL_LIMIT;
        let own = &self.own;
        let time = self.events.time();
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
}
