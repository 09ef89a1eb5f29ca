use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kqr_agreement::{Message, VoterId};
use kqr_types::InstanceId;
use tarpc::{client, context};
use tokio::{runtime::Handle, sync::mpsc};

use crate::{calls::ControlCallsClient, frames};

/// Messages to one member that may wait before new ones are dropped; the log sends them again.
const QUEUED_MESSAGES: usize = 256;
/// Messages that are sent together.
const BATCH: usize = 64;
/// Longest time for a delivery: twice a round trip with one lost packet.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after a failed delivery.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Outgoing links to the other members of the replicated log, opened on first use.
#[derive(Debug)]
pub(super) struct AgreementLinks {
    runtime: Handle,
    own: VoterId,
    queues: BTreeMap<InstanceId, mpsc::Sender<Message>>,
}

impl AgreementLinks {
    pub(super) const fn new(runtime: Handle, own: VoterId) -> Self {
        Self {
            runtime,
            own,
            queues: BTreeMap::new(),
        }
    }

    /// Queues `message`; it is dropped if the queue is full.
    pub(super) fn send(&mut self, to: &VoterId, message: Message) {
        let Ok(address) = to.instance.as_str().parse() else {
            log::error!("{to} is no address of a control instance");
            return;
        };
        let queue = self.queues.entry(to.instance.clone()).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(QUEUED_MESSAGES);
            let (own, peer) = (self.own.clone(), to.instance.clone());
            self.runtime.spawn(run(own, peer, address, rx));
            tx
        });
        if queue.try_send(message).is_err() {
            log::debug!("dropped a message to {to}: the queue is full");
        }
    }
}

/// Delivers what is queued, over one connection after the other.
async fn run(own: VoterId, peer: InstanceId, address: SocketAddr, mut rx: mpsc::Receiver<Message>) {
    let mut batch = Vec::new();
    let mut is_failing = false;
    loop {
        let result = deliver(&own, address, &mut rx, &mut batch, &mut is_failing, &peer).await;
        let Err(error) = result else { return };
        if !is_failing {
            log::warn!("lost the link to control instance {peer}: {error}");
        }
        is_failing = true;
        batch.clear();
        tokio::time::sleep(RETRY_PAUSE).await;
        while rx.try_recv().is_ok() {}
    }
}

async fn deliver(
    own: &VoterId,
    address: SocketAddr,
    rx: &mut mpsc::Receiver<Message>,
    batch: &mut Vec<Message>,
    is_failing: &mut bool,
    peer: &InstanceId,
) -> eyre::Result<()> {
    if rx.recv_many(batch, BATCH).await == 0 {
        return Ok(());
    }
    let stream = frames::connect(address).await?;
    let client = ControlCallsClient::new(client::Config::default(), frames::messages_of(stream)).spawn();
    loop {
        let call = client.deliver(context::current(), own.clone(), std::mem::take(batch));
        tokio::time::timeout(DELIVERY_TIMEOUT, call).await??;
        if *is_failing {
            log::info!("regained the link to control instance {peer}");
            *is_failing = false;
        }
        if rx.recv_many(batch, BATCH).await == 0 {
            return Ok(());
        }
    }
}
