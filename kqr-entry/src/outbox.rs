use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use kqr_jobs::Member;
use kqr_settings::bootstrap::Instance;
use kqr_telemetry::EventLog;
use kqr_types::InstanceId;
use kqr_wire::mail::Mail;
use tarpc::context;
use tokio::sync::{Semaphore, mpsc};

use crate::sibling_links::SiblingLinks;

/// Messages to one peer that may wait; further ones are dropped, which the machines tolerate.
const QUEUED_MAILS: usize = 65_536;
/// Most messages of one call.
const BATCH: usize = 1024;
/// Calls to one peer that may be open at the same time.
const OPEN_CALLS: usize = 4;
/// Time after which a call without an answer shows that its connection is silent.
const SILENT_AFTER: Duration = Duration::from_millis(500);

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

    /// Sends one batch. A connection that fails or stays silent is replaced by the next call.
    async fn send(&self, batch: Vec<Mail>) {
        let link = match self.links.get(&self.peer, self.address).await {
            Ok(link) => link,
            Err(error) => {
                log::debug!("connecting to {}: {error}", self.peer);
                return;
            }
        };
        let mut cx = context::current();
        cx.deadline = std::time::Instant::now() + SILENT_AFTER;
        let own = &self.own;
        if let Err(error) = link
            .client
            .deliver(cx, own.id.clone(), own.incarnation, self.events.time(), batch)
            .await
        {
            log::debug!("sending to {}: {error}", self.peer);
            self.links.forget(&self.peer, &link);
        }
    }
}
