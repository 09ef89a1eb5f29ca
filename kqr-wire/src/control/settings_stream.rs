use std::time::Duration;

use kqr_settings::{Follower, FollowerInput, FollowerOutput, Tree, Version};
use kqr_tls::TransportSecurity;
use kqr_types::{InstanceId, Instant};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::{
    MessageError, Peer, connect_instance,
    messages::{self, control_client::ControlClient, follow_event},
};

/// Interval between ticks of the follower.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of messages of a stream queued for the follower.
const MAX_QUEUED_EVENTS: usize = 16;
/// Maximum size of a message of a stream, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Streams the settings of this process from one of several control instances.
#[derive(Debug)]
pub struct SettingsStream {
    own: InstanceId,
    peers: Vec<Peer>,
    follower: Follower,
    security: TransportSecurity,
    origin: std::time::Instant,
    open_stream: Option<OpenStream>,
}

/// Receiver of the messages of the open stream. Dropping it cancels the task that reads the stream.
#[derive(Debug)]
struct OpenStream {
    peer: InstanceId,
    rx: mpsc::Receiver<messages::FollowEvent>,
    _cancel: tokio_util::sync::DropGuard,
}

impl SettingsStream {
    /// Creates the stream of the instance `own`. The `follower` must have been created with the ids of `peers`.
    pub fn new(own: InstanceId, peers: Vec<Peer>, follower: Follower) -> Self {
        Self {
            own,
            peers,
            follower,
            security: TransportSecurity::Plain,
            origin: std::time::Instant::now(),
            open_stream: None,
        }
    }

    /// Sets the transport security of the connections, which are plain by default.
    #[must_use]
    pub fn with_security(self, security: TransportSecurity) -> Self {
        Self { security, ..self }
    }

    /// Streams until `shutdown` and calls `apply` for each version that takes effect.
    pub async fn run<Apply>(mut self, mut apply: Apply, shutdown: CancellationToken)
    where
        Apply: FnMut(Version, &Tree) + Send,
    {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        loop {
            let input = tokio::select! {
                _ = ticks.tick() => FollowerInput::Tick,
                input = next_input(&mut self.open_stream) => input,
                () = shutdown.cancelled() => return,
            };
            let now = Instant(self.origin.elapsed().as_micros() as u64);
            let mut outputs = Vec::new();
            self.follower.handle(now, input, &mut outputs);
            for output in outputs {
                self.perform(output, &mut apply);
            }
        }
    }

    fn perform<Apply>(&mut self, output: FollowerOutput, apply: &mut Apply)
    where
        Apply: FnMut(Version, &Tree),
    {
        match output {
            FollowerOutput::Open {
                peer,
                since,
                needs_confirmation,
                is_last_resort,
            } => {
                let request = messages::FollowRequest {
                    instance: self.own.as_str().to_owned(),
                    since: since.map(|version| version.0),
                    needs_confirmation,
                    is_last_resort,
                };
                self.open_stream = self.open(peer, request);
            }
            FollowerOutput::Close { peer } => {
                log::warn!("settings stream from {peer}: closed");
                self.open_stream = None;
            }
            FollowerOutput::Apply { version } => apply(version, self.follower.tree()),
        }
    }

    fn open(&self, peer: InstanceId, request: messages::FollowRequest) -> Option<OpenStream> {
        let control = self.peers.iter().find(|known| known.id == peer)?.clone();
        let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
        let cancel = CancellationToken::new();
        let reading = read_events(self.security.clone(), control, request, tx);
        let (name, token) = (peer.clone(), cancel.clone());
        tokio::spawn(async move {
            let result = tokio::select! {
                result = reading => result,
                () = token.cancelled() => return,
            };
            if let Err(status) = result {
                log::warn!("settings stream from {name}: {}", status.message());
            }
        });
        Some(OpenStream {
            peer,
            rx,
            _cancel: cancel.drop_guard(),
        })
    }
}

/// Returns the next input from the open stream. Never completes if no stream is open.
async fn next_input(open_stream: &mut Option<OpenStream>) -> FollowerInput {
    let Some(open) = open_stream else {
        return std::future::pending().await;
    };
    let peer = open.peer.clone();
    let input = match open.rx.recv().await {
        Some(event) => parse_input(peer.clone(), event),
        None => Ok(FollowerInput::Closed { peer: peer.clone() }),
    };
    let input = input.unwrap_or_else(|error| {
        log::error!("settings stream from {peer}: {error}");
        FollowerInput::Closed { peer }
    });
    if matches!(input, FollowerInput::Closed { .. }) {
        *open_stream = None;
    }
    input
}

fn parse_input(peer: InstanceId, event: messages::FollowEvent) -> Result<FollowerInput, MessageError> {
    match event.kind {
        Some(follow_event::Kind::Update(update)) => Ok(FollowerInput::Updated {
            peer,
            is_confirmed: update.is_confirmed,
            update: update.try_into()?,
        }),
        Some(follow_event::Kind::Heartbeat(heartbeat)) => Ok(FollowerInput::Heartbeat {
            peer,
            version: Version(heartbeat.version),
            digest: heartbeat.digest()?,
            is_in_touch: heartbeat.is_in_touch,
        }),
        None => Err(MessageError::new("kind", "missing")),
    }
}

/// Opens a stream and forwards its messages to `tx` until the stream ends or the receiver is dropped.
async fn read_events(
    security: TransportSecurity,
    peer: Peer,
    request: messages::FollowRequest,
    tx: mpsc::Sender<messages::FollowEvent>,
) -> Result<(), tonic::Status> {
    let channel = connect_instance(&security, &peer.id, peer.address).await?;
    let mut client = ControlClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let mut events = client.follow(request).await?.into_inner();
    while let Some(event) = events.message().await? {
        if tx.send(event).await.is_err() {
            break;
        }
    }
    Ok(())
}
