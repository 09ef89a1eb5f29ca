use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_types::{InstanceId, Instant, TargetId};

use crate::{
    Age, AgedRecord, BucketSummary, Input, Message, Output, Record, bucket::BUCKETS, peer::Peer,
    targets::Targets,
};

/// Time between two looks at the age of all renewals.
const EXPIRE_EVERY: Duration = Duration::from_millis(200);
/// Time between two beats.
const BEAT_EVERY: Duration = Duration::from_secs(1);
/// Siblings that get each beat, in turn.
const BEAT_FANOUT: usize = 3;
/// Time for which a bucket must be unchanged before a difference is repaired: until then a delta may be on its way.
const SETTLE: Duration = Duration::from_millis(300);
/// Shortest time between two pulls.
const PULL_EVERY: Duration = Duration::from_millis(400);
/// Time without any message or announcement after which this entry takes itself to be cut off.
const CUT_OFF_AFTER: Duration = Duration::from_secs(5);

/// The targets of one data centre as one of its entries sees them.
#[derive(Clone, Debug)]
pub struct Directory {
    own: InstanceId,
    targets: Targets,
    peers: BTreeMap<InstanceId, Peer>,
    change: u64,
    next_beat: Instant,
    next_expiry: Instant,
    beat_turn: usize,
    pulled: Option<Instant>,
    last_input: Instant,
    is_cut_off: bool,
}

impl Directory {
    /// Creates an empty directory of the entry `own`.
    pub fn new(own: InstanceId, now: Instant) -> Self {
        Self {
            own,
            targets: Targets::new(),
            peers: BTreeMap::new(),
            change: 0,
            next_beat: now,
            next_expiry: now,
            beat_turn: 0,
            pulled: None,
            last_input: now,
            is_cut_off: false,
        }
    }

    /// Handles one input at `now` and appends what has to be done to `outputs`.
    pub fn handle(&mut self, now: Instant, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Announced(announcement) => {
                self.note_input(now);
                let id = announcement.id.clone();
                if self.targets.announce(now, announcement, outputs) {
                    self.spread(&id);
                }
            }
            Input::Leaving { id, incarnation } => {
                if self.targets.leave(now, &id, incarnation, outputs) {
                    self.spread(&id);
                }
            }
            Input::Peer { from, message } => {
                self.note_input(now);
                self.message(now, &from, message, outputs);
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
            .map(|bucket| bucket.known().len())
            .sum()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the record of a target.
    pub fn get(&self, id: &TargetId) -> Option<&Record> {
        self.targets.get(id).map(|known| &known.record)
    }

    /// Returns a digest of all records, equal at entries that know the same.
    pub fn digest(&self) -> u64 {
        let mut digest = 0_u64;
        for bucket in self.targets.buckets() {
            digest = digest.rotate_left(5) ^ u64::from(bucket.digest());
        }
        digest
    }

    fn message(&mut self, now: Instant, from: &InstanceId, message: Message, outputs: &mut Vec<Output>) {
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
            Message::Beat(beats) => self.beat_received(now, from, &beats, outputs),
            Message::Pull { buckets } => outputs.push(send(from, self.pulled(now, &buckets))),
            Message::Pulled(records) => {
                for AgedRecord { record, age } in records {
                    if !age.is_expired() {
                        self.merge(now, record, age.renewed_at(now), outputs);
                    }
                }
            }
        }
    }

    fn merge(&mut self, now: Instant, record: Record, heard: Instant, outputs: &mut Vec<Output>) {
        let id = record.id().clone();
        if self.targets.merge(now, record, heard, outputs) {
            self.spread(&id);
        }
    }

    fn beat_received(
        &mut self,
        now: Instant,
        from: &InstanceId,
        beats: &[BucketSummary],
        outputs: &mut Vec<Output>,
    ) {
        let mut differing = Vec::new();
        for (number, beat) in beats.iter().enumerate().take(BUCKETS) {
            let bucket = &self.targets.buckets()[number];
            if bucket.digest() != beat.digest {
                if now.since(bucket.changed()) >= SETTLE || bucket.known().is_empty() {
                    differing.push(number as u8);
                }
                continue;
            }
            let ids: Vec<TargetId> = bucket.known().keys().cloned().collect();
            for (position, id) in ids.iter().enumerate() {
                let Some(byte) = beat.ages.get(position / 2) else {
                    break;
                };
                let age = Age::from_bits(byte >> (4 * (position % 2)));
                if !age.is_expired() {
                    self.targets.renew(id, now, age.renewed_at(now), outputs);
                }
            }
        }
        self.pull(now, from, differing, outputs);
    }

    fn pull(&mut self, now: Instant, from: &InstanceId, buckets: Vec<u8>, outputs: &mut Vec<Output>) {
        let is_early = self.pulled.is_some_and(|pulled| now.since(pulled) < PULL_EVERY);
        if buckets.is_empty() || is_early {
            return;
        }
        self.pulled = Some(now);
        outputs.push(send(from, Message::Pull { buckets }));
    }

    fn pulled(&self, now: Instant, buckets: &[u8]) -> Message {
        let mut records = Vec::new();
        for number in buckets {
            if let Some(bucket) = self.targets.buckets().get(usize::from(*number)) {
                records.extend(bucket.aged(now));
            }
        }
        Message::Pulled(records)
    }

    /// Notes that the siblings have to learn of a target.
    fn spread(&mut self, id: &TargetId) {
        self.change += 1;
        for peer in self.peers.values_mut() {
            peer.note(id.clone(), self.change);
        }
    }

    fn send_deltas(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        for (to, peer) in &mut self.peers {
            let mut records = Vec::new();
            for id in peer.due(now) {
                if let Some(known) = self.targets.get(&id) {
                    records.push(known.record.clone());
                }
            }
            if records.is_empty() {
                continue;
            }
            let number = self.change;
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
                self.pull(now, id, (0..BUCKETS as u8).collect(), outputs);
            }
        }
    }

    fn tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.is_cut_off |= now.since(self.last_input) >= CUT_OFF_AFTER;
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRE_EVERY;
            self.targets.expire(now, self.is_cut_off, outputs);
        }
        if now >= self.next_beat {
            self.next_beat = now + BEAT_EVERY;
            self.beat(now, outputs);
        }
    }

    fn beat(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        // The entries start at different places of the ring, so that each gets as many beats as it sends.
        let after = self.peers.range(self.own.clone()..);
        let before = self.peers.range(..self.own.clone());
        let peers: Vec<&InstanceId> = after.chain(before).map(|(id, _)| id).collect();
        if peers.is_empty() {
            return;
        }
        let buckets = self.targets.buckets();
        let beats: Vec<BucketSummary> = buckets.iter().map(|bucket| bucket.beat(now)).collect();
        for offset in 0..BEAT_FANOUT.min(peers.len()) {
            let to = peers[(self.beat_turn + offset) % peers.len()];
            outputs.push(send(to, Message::Beat(beats.clone())));
        }
        self.beat_turn = (self.beat_turn + BEAT_FANOUT) % peers.len();
    }

    /// Notes a sign of life from outside. After a cut, each target gets the time of a suspect to be heard of again.
    fn note_input(&mut self, now: Instant) {
        self.last_input = now;
        if self.is_cut_off {
            self.is_cut_off = false;
            self.targets.reprieve(now);
        }
    }
}

fn send(to: &InstanceId, message: Message) -> Output {
    Output::Send {
        to: to.clone(),
        message,
    }
}
