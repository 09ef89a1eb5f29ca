use kqr_types::{InstanceId, Instant};

use super::{FollowerInput, FollowerOptions, FollowerOutput};
use crate::{
    log::{Update, Version},
    tree::{Digest, Tree},
};

/// State of the stream of settings.
#[derive(Clone, Debug)]
enum Stream {
    /// No stream; the next one is opened at the instant.
    Waiting { until: Instant },
    /// A stream is open or being opened.
    Open {
        peer: InstanceId,
        heard: Instant,
        in_touch: Instant,
    },
}

/// Chooses the version of the settings that an instance applies, and the peer that it streams them from.
///
/// Versions only grow. An instance that kept its version durably starts from it. One that did not can't know how high
/// it was before its restart; it applies nothing until a quorum has confirmed, after the restart, which version is the
/// highest: each version that it applied earlier was accepted by a quorum, so the confirmed one is at least as high.
#[derive(Clone, Debug)]
pub struct Follower {
    options: FollowerOptions,
    peers: Vec<InstanceId>,
    next_peer: usize,
    /// Streams opened since a message was heard.
    tries: usize,
    stream: Stream,
    applied: Option<Version>,
    tree: Tree,
}

impl Follower {
    /// Creates the follower of an instance that streams from `peers`, tried in their order.
    ///
    /// `persisted` is what the instance kept durably, if it did.
    pub fn new(options: FollowerOptions, peers: Vec<InstanceId>, persisted: Option<(Version, Tree)>) -> Self {
        let (applied, tree) = match persisted {
            Some((version, tree)) => (Some(version), tree),
            None => (None, Tree::default()),
        };
        Self {
            options,
            peers,
            next_peer: 0,
            tries: 0,
            stream: Stream::Waiting {
                until: Instant::default(),
            },
            applied,
            tree,
        }
    }

    /// Returns the applied version, or `None` as long as none may be applied.
    pub fn applied(&self) -> Option<Version> {
        self.applied
    }

    /// Returns the tree of the applied version.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Takes one input and adds what has to be done to `outputs`.
    pub fn handle(&mut self, now: Instant, input: FollowerInput, outputs: &mut Vec<FollowerOutput>) {
        match input {
            FollowerInput::Tick => self.tick(now, outputs),
            FollowerInput::Updated {
                peer,
                update,
                is_confirmed,
            } => {
                if self.hear(now, &peer, is_confirmed) {
                    self.take(now, &update, is_confirmed, outputs);
                }
            }
            FollowerInput::Heartbeat {
                peer,
                version,
                digest,
                is_in_touch,
            } => {
                if self.hear(now, &peer, is_in_touch) {
                    self.compare(now, version, digest, outputs);
                }
            }
            FollowerInput::Closed { peer } => {
                if self.is_streaming_from(&peer) {
                    self.wait(now);
                }
            }
        }
    }

    fn tick(&mut self, now: Instant, outputs: &mut Vec<FollowerOutput>) {
        match &self.stream {
            Stream::Waiting { until } if now >= *until => self.open(now, outputs),
            Stream::Waiting { .. } => {}
            Stream::Open { heard, in_touch, .. } => {
                let is_silent = now.since(*heard) >= self.options.message_timeout;
                let is_cut_off = now.since(*in_touch) >= self.options.quorum_contact_timeout;
                if is_silent || (is_cut_off && self.peers.len() > 1) {
                    self.close(now, outputs);
                }
            }
        }
    }

    fn open(&mut self, now: Instant, outputs: &mut Vec<FollowerOutput>) {
        let Some(peer) = self.peers.get(self.next_peer % self.peers.len().max(1)) else {
            return;
        };
        let peer = peer.clone();
        self.next_peer = (self.next_peer + 1) % self.peers.len();
        outputs.push(FollowerOutput::Open {
            peer: peer.clone(),
            since: self.applied,
            needs_confirmation: self.applied.is_none(),
            is_last_resort: self.tries >= self.peers.len(),
        });
        self.tries += 1;
        self.stream = Stream::Open {
            peer,
            heard: now,
            in_touch: now,
        };
    }

    fn close(&mut self, now: Instant, outputs: &mut Vec<FollowerOutput>) {
        if let Stream::Open { peer, .. } = &self.stream {
            outputs.push(FollowerOutput::Close { peer: peer.clone() });
        }
        self.wait(now);
    }

    fn wait(&mut self, now: Instant) {
        self.stream = Stream::Waiting {
            until: now + self.options.retry_delay,
        };
    }

    /// Notes a message of `peer` and returns whether it belongs to the open stream.
    fn hear(&mut self, now: Instant, peer: &InstanceId, is_in_touch: bool) -> bool {
        let Stream::Open {
            peer: open,
            heard,
            in_touch,
        } = &mut self.stream
        else {
            return false;
        };
        if open != peer {
            return false;
        }
        *heard = now;
        self.tries = 0;
        if is_in_touch {
            *in_touch = now;
        }
        true
    }

    fn is_streaming_from(&self, peer: &InstanceId) -> bool {
        matches!(&self.stream, Stream::Open { peer: open, .. } if open == peer)
    }

    fn take(&mut self, now: Instant, update: &Update, is_confirmed: bool, outputs: &mut Vec<FollowerOutput>) {
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
            Err(_) => self.reopen(now, None, outputs),
        }
    }

    /// Asks for a snapshot if the peer has the same version with another digest, and for an update if one was lost: a
    /// peer sends the update to a version before it tells of the version in a heartbeat.
    fn compare(&mut self, now: Instant, version: Version, digest: Digest, outputs: &mut Vec<FollowerOutput>) {
        let Some(applied) = self.applied else { return };
        if version > applied {
            self.reopen(now, Some(applied), outputs);
        } else if version == applied && self.tree.digest() != digest {
            self.reopen(now, None, outputs);
        }
    }

    /// Replaces the stream by one from the same peer that starts at `since`, or with a snapshot.
    fn reopen(&mut self, now: Instant, since: Option<Version>, outputs: &mut Vec<FollowerOutput>) {
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
            heard: now,
            in_touch: now,
        };
    }
}
