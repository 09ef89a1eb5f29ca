use kqr_types::{InstanceId, Instant};

use super::{FollowerInput, FollowerOptions, FollowerOutput};
use crate::{
    log::{Update, Version},
    tree::{Digest, Tree},
};

/// State of the settings stream.
#[derive(Clone, Debug)]
enum Stream {
    /// No stream is open; the next one is opened at `until`.
    Waiting { until: Instant },
    /// A stream from `peer` is open or being opened.
    Open {
        peer: InstanceId,
        /// Time of the last message, or of opening the stream.
        last_message_at: Instant,
        /// Time of the last message that reports contact with a quorum, or of opening the stream.
        last_quorum_contact_at: Instant,
    },
}

/// Decides which version of the settings an instance applies, and from which peer it streams them.
///
/// The applied version never decreases, even across restarts. An instance that persisted its version starts
/// from it. An instance without a persisted version can't know which one it had applied before the restart,
/// so it applies nothing until a quorum confirms, after the restart, which version is the highest. Each
/// version that it applied earlier was accepted by a quorum, so the confirmed version is at least as high.
#[derive(Clone, Debug)]
pub struct Follower {
    options: FollowerOptions,
    peers: Vec<InstanceId>,
    next_peer: usize,
    /// Number of streams opened since the last message.
    opened_without_message: usize,
    stream: Stream,
    applied: Option<Version>,
    tree: Tree,
}

impl Follower {
    /// Creates the follower of an instance that streams from one of `peers`, which are tried in order.
    ///
    /// `persisted` is the version and tree that the instance persisted, if any.
    pub fn new(options: FollowerOptions, peers: Vec<InstanceId>, persisted: Option<(Version, Tree)>) -> Self {
        let (applied, tree) = match persisted {
            Some((version, tree)) => (Some(version), tree),
            None => (None, Tree::default()),
        };
        Self {
            options,
            peers,
            next_peer: 0,
            opened_without_message: 0,
            stream: Stream::Waiting {
                until: Instant::default(),
            },
            applied,
            tree,
        }
    }

    /// Returns the applied version, or `None` until one may be applied.
    pub fn applied(&self) -> Option<Version> {
        self.applied
    }

    /// Returns the tree of the applied version.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Processes one input and appends the resulting actions to `outputs`.
    pub fn handle(&mut self, now: Instant, input: FollowerInput, outputs: &mut Vec<FollowerOutput>) {
        match input {
            FollowerInput::Tick => self.tick(now, outputs),
            FollowerInput::Updated {
                peer,
                update,
                is_confirmed,
            } => {
                if self.record_message(now, &peer, is_confirmed) {
                    self.apply_update(now, &update, is_confirmed, outputs);
                }
            }
            FollowerInput::Heartbeat {
                peer,
                version,
                digest,
                is_in_touch,
            } => {
                if self.record_message(now, &peer, is_in_touch) {
                    self.check_heartbeat(now, version, digest, outputs);
                }
            }
            FollowerInput::Closed { peer } => {
                if self.is_streaming_from(&peer) {
                    self.schedule_retry(now);
                }
            }
        }
    }

    fn tick(&mut self, now: Instant, outputs: &mut Vec<FollowerOutput>) {
        match &self.stream {
            Stream::Waiting { until } if now >= *until => self.open_next_stream(now, outputs),
            Stream::Waiting { .. } => {}
            Stream::Open {
                last_message_at,
                last_quorum_contact_at,
                ..
            } => {
                let is_silent = now.since(*last_message_at) >= self.options.message_timeout;
                let has_lost_quorum =
                    now.since(*last_quorum_contact_at) >= self.options.quorum_contact_timeout;
                if is_silent || (has_lost_quorum && self.peers.len() > 1) {
                    self.close_stream(now, outputs);
                }
            }
        }
    }

    fn open_next_stream(&mut self, now: Instant, outputs: &mut Vec<FollowerOutput>) {
        let Some(peer) = self.peers.get(self.next_peer % self.peers.len().max(1)) else {
            return;
        };
        let peer = peer.clone();
        self.next_peer = (self.next_peer + 1) % self.peers.len();
        outputs.push(FollowerOutput::Open {
            peer: peer.clone(),
            since: self.applied,
            needs_confirmation: self.applied.is_none(),
            is_last_resort: self.opened_without_message >= self.peers.len(),
        });
        self.opened_without_message += 1;
        self.stream = Stream::Open {
            peer,
            last_message_at: now,
            last_quorum_contact_at: now,
        };
    }

    fn close_stream(&mut self, now: Instant, outputs: &mut Vec<FollowerOutput>) {
        if let Stream::Open { peer, .. } = &self.stream {
            outputs.push(FollowerOutput::Close { peer: peer.clone() });
        }
        self.schedule_retry(now);
    }

    fn schedule_retry(&mut self, now: Instant) {
        self.stream = Stream::Waiting {
            until: now + self.options.retry_delay,
        };
    }

    /// Records a message from `peer` and returns whether it belongs to the open stream.
    fn record_message(&mut self, now: Instant, peer: &InstanceId, is_in_touch: bool) -> bool {
        let Stream::Open {
            peer: open_peer,
            last_message_at,
            last_quorum_contact_at,
        } = &mut self.stream
        else {
            return false;
        };
        if open_peer != peer {
            return false;
        }
        *last_message_at = now;
        self.opened_without_message = 0;
        if is_in_touch {
            *last_quorum_contact_at = now;
        }
        true
    }

    fn is_streaming_from(&self, peer: &InstanceId) -> bool {
        matches!(&self.stream, Stream::Open { peer: open_peer, .. } if open_peer == peer)
    }

    fn apply_update(
        &mut self,
        now: Instant,
        update: &Update,
        is_confirmed: bool,
        outputs: &mut Vec<FollowerOutput>,
    ) {
        let may_apply = match self.applied {
            Some(applied) if update.version == applied => is_confirmed && update.digest != self.tree.digest(),
            Some(applied) => update.version > applied,
            None => is_confirmed,
        };
        if !may_apply {
            return;
        }
        match update.apply(self.applied.unwrap_or_default(), &self.tree) {
            Ok(tree) => {
                self.tree = tree;
                self.applied = Some(update.version);
                outputs.push(FollowerOutput::Apply {
                    version: update.version,
                });
            }
            Err(_) => self.reopen_stream(now, None, outputs),
        }
    }

    /// Compares a heartbeat with the applied version, and reopens the stream if the copy is behind or has diverged.
    ///
    /// If the peer has the same version with another digest, the copy has diverged, and a snapshot is
    /// requested. If the peer has a higher version, an update was lost, because a peer sends the update to a
    /// version before a heartbeat with that version; the updates since the applied version are requested.
    fn check_heartbeat(
        &mut self,
        now: Instant,
        version: Version,
        digest: Digest,
        outputs: &mut Vec<FollowerOutput>,
    ) {
        let Some(applied) = self.applied else { return };
        if version > applied {
            self.reopen_stream(now, Some(applied), outputs);
        } else if version == applied && self.tree.digest() != digest {
            self.reopen_stream(now, None, outputs);
        }
    }

    /// Replaces the stream by one from the same peer that starts after version `since`, or with a snapshot if
    /// it is `None`.
    fn reopen_stream(&mut self, now: Instant, since: Option<Version>, outputs: &mut Vec<FollowerOutput>) {
        let Stream::Open { peer, .. } = &self.stream else {
            return;
        };
        let peer = peer.clone();
        outputs.push(FollowerOutput::Open {
            peer: peer.clone(),
            since,
            needs_confirmation: since.is_none(),
            is_last_resort: true,
        });
        self.stream = Stream::Open {
            peer,
            last_message_at: now,
            last_quorum_contact_at: now,
        };
    }
}
