use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kqr_agreement::{Message, VoterId};
use kqr_types::InstanceId;
use tarpc::{client, context};
use tokio::{runtime::Handle, sync::mpsc};

use crate::{rpc::ControlRpcClient, transport};

/// Capacity of the queue to one member, in messages. Further ones are dropped; the replicated log sends them
/// again.
const QUEUE_CAPACITY: usize = 256;
/// Maximum number of messages in one call.
const MAX_BATCH_MESSAGES: usize = 64;
/// Timeout of a delivery: twice a round trip with one lost packet.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay after a failed delivery.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Outgoing links to the other members of the replicated log. A link is opened when it is first used.
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

    /// Queues `message` for `to`, or drops it if the queue is full.
    pub(super) fn send(&mut self, to: &VoterId, message: Message) {
        let Ok(address) = to.instance.as_str().parse() else {
            log::error!("the identity {to} is not the address of a control instance");
            return;
        };
        let queue = self.queues.entry(to.instance.clone()).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
            let (own, peer) = (self.own.clone(), to.instance.clone());
            self.runtime.spawn(run_link(own, peer, address, rx));
            tx
        });
        if queue.try_send(message).is_err() {
            log::debug!("dropped a message to {to}: its queue is full");
        }
    }
}

/// Delivers the queued messages until the queue is closed, and reconnects after each failure.
///
/// Messages that were queued during the failure are dropped, as the replicated log sends them again.
async fn run_link(own: VoterId, peer: InstanceId, address: SocketAddr, mut rx: mpsc::Receiver<Message>) {
    let mut batch = Vec::new();
    let mut is_failing = false;
    loop {
        let result = deliver(&own, address, &mut rx, &mut batch, &mut is_failing, &peer).await;
        let Err(error) = result else { return };
        if !is_failing {
            log::warn!("link to control instance {peer} failed: {error}");
        }
        is_failing = true;
        batch.clear();
        tokio::time::sleep(RETRY_DELAY).await;
        while rx.try_recv().is_ok() {}
    }
}

/// Opens a connection for the first message and delivers until an error occurs or the queue is closed.
async fn deliver(
    own: &VoterId,
    address: SocketAddr,
    rx: &mut mpsc::Receiver<Message>,
    batch: &mut Vec<Message>,
    is_failing: &mut bool,
    peer: &InstanceId,
) -> eyre::Result<()> {
    if rx.recv_many(batch, MAX_BATCH_MESSAGES).await == 0 {
        return Ok(());
    }
    let stream = transport::connect(address).await?;
    let client = ControlRpcClient::new(client::Config::default(), transport::framed(stream)).spawn();
    loop {
        let call = client.deliver(context::current(), own.clone(), std::mem::take(batch));
        tokio::time::timeout(DELIVERY_TIMEOUT, call).await??;
        if *is_failing {
            log::info!("link to control instance {peer} is restored");
            *is_failing = false;
        }
        if rx.recv_many(batch, MAX_BATCH_MESSAGES).await == 0 {
            return Ok(());
        }
    }
}
