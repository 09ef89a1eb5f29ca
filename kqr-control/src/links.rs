use std::{collections::BTreeMap, net::SocketAddr};

use bincode::Options;
use kqr_agreement::{Message, VoterId};
use kqr_tls::Security;
use kqr_types::InstanceId;
use kqr_wire::control::{
    Peer, connect_instance_watched,
    messages::{Delivery, control_client::ControlClient},
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Status};

/// Messages to one peer that may wait before new ones are dropped.
const QUEUED_MESSAGES: usize = 256;
/// Messages that are sent together.
const BATCH: usize = 64;
/// Deliveries that may wait for the connection before new ones are dropped.
const QUEUED_DELIVERIES: usize = 16;
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

impl Envelope {
    /// Returns the message as bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the message can't be encoded.
    pub fn encode(&self) -> bincode::Result<Vec<u8>> {
        bincode::DefaultOptions::new().serialize(self)
    }

    /// Returns the message in `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no message.
    pub fn decode(bytes: &[u8]) -> bincode::Result<Self> {
        bincode::DefaultOptions::new().deserialize(bytes)
    }
}

/// Outgoing links to the other control instances. Each has its own queue and connection.
#[derive(Debug, Default)]
pub struct Links {
    queues: BTreeMap<InstanceId, mpsc::Sender<Vec<u8>>>,
}

impl Links {
    /// Starts a link to each of `peers`; a link ends when this value is dropped.
    pub fn start(own: &InstanceId, peers: &BTreeMap<InstanceId, SocketAddr>, security: &Security) -> Self {
        let mut queues = BTreeMap::new();
        for (peer, &address) in peers {
            let (tx, rx) = mpsc::channel(QUEUED_MESSAGES);
            let id = peer.clone();
            let link = Link {
                own: own.clone(),
                peer: Peer { id, address },
                security: security.clone(),
            };
            tokio::spawn(link.run(rx));
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
        match envelope.encode() {
            Ok(bytes) => drop(queue.try_send(bytes)),
            Err(error) => log::error!("encoding a message to {to}: {error}"),
        }
    }
}

/// The link to one peer.
#[derive(Debug)]
struct Link {
    own: InstanceId,
    peer: Peer,
    security: Security,
}

impl Link {
    /// Opens one stream of deliveries after the other, each with a new connection.
    async fn run(self, mut rx: mpsc::Receiver<Vec<u8>>) {
        let mut is_failing = false;
        let mut batch = Vec::new();
        while rx.recv_many(&mut batch, BATCH).await > 0 {
            let first = self.delivery(&mut batch);
            let status = match self.deliver(first, &mut rx).await {
                Ok(()) => return,
                Err(status) => status,
            };
            if !is_failing || status.code() != Code::Unavailable {
                log::warn!("delivering to {}: {}", self.peer.id, status.message());
            }
            is_failing = status.code() == Code::Unavailable;
        }
    }

    fn delivery(&self, batch: &mut Vec<Vec<u8>>) -> Delivery {
        Delivery {
            from: self.own.as_str().to_owned(),
            messages: std::mem::take(batch),
        }
    }

    /// Streams `first` and what follows in `rx` until the connection fails.
    async fn deliver(&self, first: Delivery, rx: &mut mpsc::Receiver<Vec<u8>>) -> Result<(), Status> {
        let channel = connect_instance_watched(&self.security, &self.peer.id, self.peer.address).await?;
        let mut client = ControlClient::new(channel).max_encoding_message_size(MAX_DELIVERY_BYTES);
        let (tx, deliveries) = mpsc::channel(QUEUED_DELIVERIES);
        drop(tx.try_send(first));
        let call = client.deliver(ReceiverStream::new(deliveries));
        tokio::pin!(call);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                ended = &mut call => {
                    ended?;
                    return Err(Status::aborted("the stream was ended"));
                }
                count = rx.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return Ok(());
                    }
                    drop(tx.try_send(self.delivery(&mut batch)));
                }
            }
        }
    }
}
