use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_types::{InstanceId, Instant, TargetId};

use crate::{
    Age, AgedRecord, BucketSummary, Input, Message, Output, Record, bucket::BUCKET_COUNT, peer::Peer,
    targets::Targets,
};

/// Time between two checks of the ages of all renewals.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two beats.
const BEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of siblings to which each beat is sent, in rotation.
const BEAT_FANOUT: usize = 3;
/// Time for which a bucket must be unchanged before a difference is repaired, since a delta may still be in
/// transit.
const REPAIR_DELAY: Duration = Duration::from_millis(300);
/// Minimum time between two pulls.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(400);
/// Time without any message or announcement after which this entry considers itself isolated.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Directory of the targets of one data centre, kept by each of its entries.
#[derive(Clone, Debug)]
pub struct Directory {
    own: InstanceId,
    targets: Targets,
    peers: BTreeMap<InstanceId, Peer>,
    last_change: u64,
    next_beat: Instant,
    next_expiry: Instant,
    next_beat_peer: usize,
    last_pull: Option<Instant>,
    last_contact: Instant,
    is_isolated: bool,
}

impl Directory {
    /// Creates an empty directory of the entry `own`.
    pub fn new(own: InstanceId, now: Instant) -> Self {
        Self {
            own,
            targets: Targets::new(),
            peers: BTreeMap::new(),
            last_change: 0,
            next_beat: now,
            next_expiry: now,
            next_beat_peer: 0,
            last_pull: None,
            last_contact: now,
            is_isolated: false,
        }
    }

    /// Handles `input` at `now` and appends the effects to `outputs`.
    pub fn handle(&mut self, now: Instant, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Announced(announcement) => {
                self.record_contact(now);
                let id = announcement.id.clone();
                if self.targets.announce(now, announcement, outputs) {
                    self.queue_delta(&id);
                }
            }
            Input::Leaving { id, incarnation } => {
                if self.targets.leave(now, &id, incarnation, outputs) {
                    self.queue_delta(&id);
                }
            }
            Input::Peer { from, message } => {
                self.record_contact(now);
                self.receive_message(now, &from, message, outputs);
            }
            Input::Peers(peers) => self.set_peers(now, &peers, outputs),
            Input::Tick => self.tick(now, outputs),
        }
        self.send_deltas(now, outputs);
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets
            .buckets()
            .iter()
            .map(|bucket| bucket.targets().len())
            .sum()
    }

    /// Returns whether the directory has no targets.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the record of a target.
    pub fn get(&self, id: &TargetId) -> Option<&Record> {
        self.targets.get(id).map(|known| &known.record)
    }

    /// Returns a digest of all records. Entries with equal records have equal digests.
    pub fn digest(&self) -> u64 {
        let mut digest = 0_u64;
        for bucket in self.targets.buckets() {
            digest = digest.rotate_left(5) ^ u64::from(bucket.digest());
        }
        digest
    }

    fn receive_message(
        &mut self,
        now: Instant,
        from: &InstanceId,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            Message::Delta { number, records } => {
                for record in records {
                    self.merge(now, record, now, outputs);
                }
                outputs.push(send(from, Message::Ack { number }));
            }
            Message::Ack { number } => {
                if let Some(peer) = self.peers.get_mut(from) {
                    peer.acknowledge(number);
                }
            }
            Message::Beat(summaries) => self.receive_beat(now, from, &summaries, outputs),
            Message::Pull { buckets } => outputs.push(send(from, self.pulled_message(now, &buckets))),
            Message::Pulled(records) => {
                for AgedRecord { record, age } in records {
                    if !age.is_expired() {
                        self.merge(now, record, age.renewed_at(now), outputs);
                    }
                }
            }
        }
    }

    fn merge(&mut self, now: Instant, record: Record, renewed_at: Instant, outputs: &mut Vec<Output>) {
        let id = record.id().clone();
        if self.targets.merge(now, record, renewed_at, outputs) {
            self.queue_delta(&id);
        }
    }

    fn receive_beat(
        &mut self,
        now: Instant,
        from: &InstanceId,
        summaries: &[BucketSummary],
        outputs: &mut Vec<Output>,
    ) {
        let mut differing = Vec::new();
        for (number, summary) in summaries.iter().enumerate().take(BUCKET_COUNT) {
            let bucket = &self.targets.buckets()[number];
            if bucket.digest() != summary.digest {
                if now.since(bucket.changed()) >= REPAIR_DELAY || bucket.targets().is_empty() {
                    differing.push(number as u8);
                }
                continue;
            }
            let ids: Vec<TargetId> = bucket.targets().keys().cloned().collect();
            for (position, id) in ids.iter().enumerate() {
                let Some(byte) = summary.ages.get(position / 2) else {
                    break;
                };
                let age = Age::from_bits(byte >> (4 * (position % 2)));
                if !age.is_expired() {
                    self.targets.renew(id, now, age.renewed_at(now), outputs);
                }
            }
        }
        self.send_pull(now, from, differing, outputs);
    }

    fn send_pull(&mut self, now: Instant, to: &InstanceId, buckets: Vec<u8>, outputs: &mut Vec<Output>) {
        let is_early = self
            .last_pull
            .is_some_and(|last_pull| now.since(last_pull) < MIN_PULL_INTERVAL);
        if buckets.is_empty() || is_early {
            return;
        }
        self.last_pull = Some(now);
        outputs.push(send(to, Message::Pull { buckets }));
    }

    fn pulled_message(&self, now: Instant, buckets: &[u8]) -> Message {
        let mut records = Vec::new();
        for number in buckets {
            if let Some(bucket) = self.targets.buckets().get(usize::from(*number)) {
                records.extend(bucket.aged_records(now));
            }
        }
        Message::Pulled(records)
    }

    /// Queues the record of a target for the next delta to each sibling.
    fn queue_delta(&mut self, id: &TargetId) {
        self.last_change += 1;
        for peer in self.peers.values_mut() {
            peer.add_pending(id.clone(), self.last_change);
        }
    }

    fn send_deltas(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        for (to, peer) in &mut self.peers {
            let mut records = Vec::new();
            for id in peer.take_due(now) {
                if let Some(known) = self.targets.get(&id) {
                    records.push(known.record.clone());
                }
            }
            if records.is_empty() {
                continue;
            }
            let number = self.last_change;
            outputs.push(send(to, Message::Delta { number, records }));
        }
    }

    fn set_peers(&mut self, now: Instant, peers: &BTreeSet<InstanceId>, outputs: &mut Vec<Output>) {
        self.peers.retain(|id, _| peers.contains(id));
        for id in peers {
            if self.peers.contains_key(id) {
                continue;
            }
            self.peers.insert(id.clone(), Peer::default());
            if self.is_empty() {
                self.send_pull(now, id, (0..BUCKET_COUNT as u8).collect(), outputs);
            }
        }
    }

    fn tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.is_isolated |= now.since(self.last_contact) >= ISOLATION_TIMEOUT;
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_CHECK_INTERVAL;
            self.targets.expire(now, self.is_isolated, outputs);
        }
        if now >= self.next_beat {
            self.next_beat = now + BEAT_INTERVAL;
            self.send_beat(now, outputs);
        }
    }

    fn send_beat(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        // Each entry starts at its own position in the ring of ids, so that each receives as many beats as it
        // sends.
        let after = self.peers.range(self.own.clone()..);
        let before = self.peers.range(..self.own.clone());
        let peers: Vec<&InstanceId> = after.chain(before).map(|(id, _)| id).collect();
        if peers.is_empty() {
            return;
        }
        let buckets = self.targets.buckets();
        let summaries: Vec<BucketSummary> = buckets.iter().map(|bucket| bucket.summary(now)).collect();
        for offset in 0..BEAT_FANOUT.min(peers.len()) {
            let to = peers[(self.next_beat_peer + offset) % peers.len()];
            outputs.push(send(to, Message::Beat(summaries.clone())));
        }
        self.next_beat_peer = (self.next_beat_peer + BEAT_FANOUT) % peers.len();
    }

    /// Records contact with another process. When an isolation ends, no target expires until it has had the
    /// time of a suspected target to renew.
    fn record_contact(&mut self, now: Instant) {
        self.last_contact = now;
        if self.is_isolated {
            self.is_isolated = false;
            self.targets.cap_ages(now);
        }
    }
}

fn send(to: &InstanceId, message: Message) -> Output {
    Output::Send {
        to: to.clone(),
        message,
    }
}
