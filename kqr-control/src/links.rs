use std::{collections::BTreeMap, net::SocketAddr};

use bincode::Options;
use kqr_agreement::{Message, VoterId};
use kqr_tls::TransportSecurity;
use kqr_types::InstanceId;
use kqr_wire::control::{
    Peer, connect_instance_with_keepalive,
    messages::{Delivery, control_client::ControlClient},
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Status};

/// Maximum number of queued messages to a peer. Further messages are dropped.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Maximum number of messages in a delivery.
const MAX_BATCH_MESSAGES: usize = 64;
/// Maximum number of deliveries that wait for the connection. Further deliveries are dropped.
const MAX_QUEUED_DELIVERIES: usize = 16;
/// Maximum size of a delivery.
pub const MAX_DELIVERY_BYTES: usize = 64 << 20;

/// A message of the replicated log with its sender.
#[derive(Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    pub from: VoterId,
    /// The message.
    pub message: Message,
}

impl Envelope {
    /// Encodes the envelope.
    ///
    /// # Errors
    ///
    /// Returns an error if the envelope can't be encoded.
    pub fn encode(&self) -> bincode::Result<Vec<u8>> {
        bincode::DefaultOptions::new().serialize(self)
    }

    /// Decodes an envelope.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` is not a valid envelope.
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
    /// Starts a link to each of `peers`. The links end when the returned value is dropped.
    pub fn start(
        own: &InstanceId,
        peers: &BTreeMap<InstanceId, SocketAddr>,
        security: &TransportSecurity,
    ) -> Self {
        let mut queues = BTreeMap::new();
        for (peer, &address) in peers {
            let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
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

    /// Queues `message` for its receiver, or drops it if the queue is full.
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
            Err(error) => log::error!("can't encode a message to {to}: {error}"),
        }
    }
}

/// The link to one peer.
#[derive(Debug)]
struct Link {
    own: InstanceId,
    peer: Peer,
    security: TransportSecurity,
}

impl Link {
    /// Sends the messages of `rx` to the peer, and opens a new connection whenever one fails.
    async fn run(self, mut rx: mpsc::Receiver<Vec<u8>>) {
        let mut is_failing = false;
        let mut batch = Vec::new();
        while rx.recv_many(&mut batch, MAX_BATCH_MESSAGES).await > 0 {
            let first = self.take_delivery(&mut batch);
            let status = match self.deliver(first, &mut rx).await {
                Ok(()) => return,
                Err(status) => status,
            };
            if !is_failing || status.code() != Code::Unavailable {
                log::warn!("can't deliver messages to {}: {}", self.peer.id, status.message());
            }
            is_failing = status.code() == Code::Unavailable;
        }
    }

    fn take_delivery(&self, batch: &mut Vec<Vec<u8>>) -> Delivery {
        Delivery {
            from: self.own.as_str().to_owned(),
            messages: std::mem::take(batch),
        }
    }

    /// Streams `first` and the messages of `rx` until `rx` is closed or the connection fails.
    async fn deliver(&self, first: Delivery, rx: &mut mpsc::Receiver<Vec<u8>>) -> Result<(), Status> {
        let channel =
            connect_instance_with_keepalive(&self.security, &self.peer.id, self.peer.address).await?;
        let mut client = ControlClient::new(channel).max_encoding_message_size(MAX_DELIVERY_BYTES);
        let (tx, deliveries) = mpsc::channel(MAX_QUEUED_DELIVERIES);
        drop(tx.try_send(first));
        let call = client.deliver(ReceiverStream::new(deliveries));
        tokio::pin!(call);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                ended = &mut call => {
                    ended?;
                    return Err(Status::aborted("the peer closed the stream"));
                }
                count = rx.recv_many(&mut batch, MAX_BATCH_MESSAGES) => {
                    if count == 0 {
                        return Ok(());
                    }
                    drop(tx.try_send(self.take_delivery(&mut batch)));
                }
            }
        }
    }
}
