use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kqr_agreement::{Message, VoterId};
use kqr_types::InstanceId;
use kqr_wire::control::{
    connect,
    messages::{Delivery, control_client::ControlClient},
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tonic::{Status, transport::Channel};

/// Messages to one peer that may wait before new ones are dropped.
const QUEUED_MESSAGES: usize = 256;
/// Messages that are sent together.
const BATCH: usize = 64;
/// Time within which a peer must take a delivery; the connection is replaced otherwise.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest delivery, in bytes.
pub const MAX_DELIVERY_BYTES: usize = 64 << 20;

/// A message of the replicated log with its sender.
#[derive(Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Voter that sent it.
    pub from: VoterId,
    /// The message.
    pub message: Message,
}

/// Outgoing links to the other control instances. Each has its own queue and connection.
#[derive(Debug, Default)]
pub struct Links {
    queues: BTreeMap<InstanceId, mpsc::Sender<Vec<u8>>>,
}

impl Links {
    /// Starts a link to each of `peers`; a link ends when this value is dropped.
    pub fn start(own: &InstanceId, peers: &BTreeMap<InstanceId, SocketAddr>) -> Self {
        let mut queues = BTreeMap::new();
        for (peer, &address) in peers {
            let (tx, rx) = mpsc::channel(QUEUED_MESSAGES);
            tokio::spawn(run(own.clone(), peer.clone(), address, rx));
            queues.insert(peer.clone(), tx);
        }
        Self { queues }
    }

    /// Queues `message` for its receiver; it is dropped if the queue is full.
    pub fn send(&self, from: &VoterId, to: &VoterId, message: Message) {
        let Some(queue) = self.queues.get(&to.instance) else {
            return;
        };
        let envelope = Envelope {
            from: from.clone(),
            message,
        };
        match bincode::serialize(&envelope) {
            Ok(bytes) => drop(queue.try_send(bytes)),
            Err(error) => log::error!("encoding a message to {to}: {error}"),
        }
    }
}

async fn run(own: InstanceId, peer: InstanceId, address: SocketAddr, mut rx: mpsc::Receiver<Vec<u8>>) {
    let mut client = None;
    let mut is_failing = false;
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, BATCH).await > 0 {
        let delivery = Delivery {
            from: own.as_str().to_owned(),
            messages: std::mem::take(&mut batch),
        };
        match deliver(client.take(), address, delivery).await {
            Ok(open) => {
                client = Some(open);
                is_failing = false;
            }
            Err(status) if !is_failing => {
                log::warn!("delivering to {peer}: {}", status.message());
                is_failing = true;
            }
            Err(_) => {}
        }
    }
}

/// Sends `delivery` over `client`, or over a new connection, and returns the connection.
async fn deliver(
    client: Option<ControlClient<Channel>>,
    address: SocketAddr,
    delivery: Delivery,
) -> Result<ControlClient<Channel>, Status> {
    let mut client = match client {
        Some(client) => client,
        None => ControlClient::new(connect(address).await?).max_encoding_message_size(MAX_DELIVERY_BYTES),
    };
    match tokio::time::timeout(DELIVERY_TIMEOUT, client.deliver(delivery)).await {
        Ok(result) => result.map(|_| client),
        Err(_) => Err(Status::deadline_exceeded("not taken in time")),
    }
}
