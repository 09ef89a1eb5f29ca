use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_placement::Announcement;
use kqr_types::{Incarnation, InstanceId, Instant, TargetId};

use crate::{
    Age, AgedRecord, BucketBeat, GONE_AFTER, Input, Message, Output, Record, SUSPECT_AFTER,
    bucket::{BUCKETS, Bucket, Known, bucket_of},
    peer::Peer,
    tombstones::Tombstones,
};

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
    buckets: Vec<Bucket>,
    tombstones: Tombstones,
    early_leaves: BTreeMap<TargetId, Instant>,
    peers: BTreeMap<InstanceId, Peer>,
    change: u64,
    next_beat: Instant,
    beat_turn: usize,
    pulled: Option<Instant>,
    last_input: Instant,
    is_cut_off: bool,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(now: Instant) -> Self {
        Self {
            buckets: vec![Bucket::default(); BUCKETS],
            tombstones: Tombstones::default(),
            early_leaves: BTreeMap::new(),
            peers: BTreeMap::new(),
            change: 0,
            next_beat: now,
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
                self.announced(now, announcement, outputs);
            }
            Input::Leaving { id, incarnation } => self.leaving(now, id, incarnation, outputs),
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
        self.buckets.iter().map(|bucket| bucket.known().len()).sum()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the record of a target.
    pub fn get(&self, id: &TargetId) -> Option<&Record> {
        let known = self.buckets[bucket_of(id)].known().get(id)?;
        Some(&known.record)
    }

    /// Returns a digest of all records, equal at entries that know the same.
    pub fn digest(&self) -> u64 {
        let mut digest = 0_u64;
        for bucket in &self.buckets {
            digest = digest.rotate_left(5) ^ u64::from(bucket.digest());
        }
        digest
    }

    fn announced(&mut self, now: Instant, announcement: Announcement, outputs: &mut Vec<Output>) {
        let id = announcement.id.clone();
        if self.tombstones.covers(&id, announcement.incarnation) {
            return;
        }
        let mut record = Record::new(announcement);
        if let Some(known) = self.buckets[bucket_of(&id)].known().get(&id) {
            let old = &known.record;
            if record.announcement.incarnation < old.announcement.incarnation {
                return;
            }
            if record.announcement.incarnation == old.announcement.incarnation {
                if old.is_leaving || record.announcement == old.announcement {
                    self.renew(&id, now, now, outputs);
                    return;
                }
                record.revision = old.revision + 1;
            }
        }
        self.put(now, record, now, outputs);
        self.spread(&id);
    }

    fn leaving(
        &mut self,
        now: Instant,
        id: TargetId,
        incarnation: Option<Incarnation>,
        outputs: &mut Vec<Output>,
    ) {
        let Some(known) = self.buckets[bucket_of(&id)].known().get(&id) else {
            self.early_leaves.insert(id, now);
            return;
        };
        let present = known.record.announcement.incarnation;
        if incarnation.is_some_and(|incarnation| incarnation < present) {
            return;
        }
        if known.record.is_leaving {
            self.renew(&id, now, now, outputs);
            return;
        }
        let mut record = known.record.clone();
        record.is_leaving = true;
        self.put(now, record, now, outputs);
        self.spread(&id);
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
            Message::Pull { buckets } => {
                let mut records = Vec::new();
                for number in buckets {
                    let Some(bucket) = self.buckets.get(usize::from(number)) else {
                        continue;
                    };
                    records.extend(bucket.aged(now));
                }
                outputs.push(send(from, Message::Pulled(records)));
            }
            Message::Pulled(records) => {
                for AgedRecord { record, age } in records {
                    if !age.is_expired() {
                        self.merge(now, record, age.heard(now), outputs);
                    }
                }
            }
        }
    }

    fn beat_received(
        &mut self,
        now: Instant,
        from: &InstanceId,
        beats: &[BucketBeat],
        outputs: &mut Vec<Output>,
    ) {
        let mut differing = Vec::new();
        for (number, beat) in beats.iter().enumerate().take(BUCKETS) {
            let bucket = &self.buckets[number];
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
                    self.renew(id, now, age.heard(now), outputs);
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

    /// Takes in a record of a sibling.
    fn merge(&mut self, now: Instant, mut record: Record, heard: Instant, outputs: &mut Vec<Output>) {
        let id = record.id().clone();
        if self.tombstones.covers(&id, record.announcement.incarnation) {
            return;
        }
        let is_left_early = self.early_leaves.remove(&id).is_some() && !record.is_leaving;
        record.is_leaving |= is_left_early;
        let known = self.buckets[bucket_of(&id)].known().get(&id);
        if known.is_some_and(|known| known.record.version() >= record.version()) {
            self.renew(&id, now, heard, outputs);
            return;
        }
        self.put(now, record, heard, outputs);
        if is_left_early {
            self.spread(&id);
        }
    }

    /// Stores a record that is newer than the known one and reports it.
    fn put(&mut self, now: Instant, record: Record, heard: Instant, outputs: &mut Vec<Output>) {
        let bucket = &mut self.buckets[bucket_of(record.id())];
        let old = bucket.known().get(record.id());
        let is_new = old.is_none_or(|old| old.record.announcement != record.announcement);
        let same_life =
            old.filter(|old| old.record.announcement.incarnation == record.announcement.incarnation);
        let heard = same_life.map_or(heard, |old| heard.max(old.heard));
        if is_new || !record.is_leaving {
            outputs.push(Output::Present(record.announcement.clone()));
        }
        if record.is_leaving {
            outputs.push(Output::Leaving(record.id().clone()));
        }
        let known = Known {
            record,
            heard,
            is_suspect: false,
        };
        bucket.put(now, known);
    }

    /// Notes a renewal of a target at `heard`.
    fn renew(&mut self, id: &TargetId, now: Instant, heard: Instant, outputs: &mut Vec<Output>) {
        let Some(known) = self.buckets[bucket_of(id)].get_mut(id) else {
            return;
        };
        known.heard = known.heard.max(heard);
        if !known.is_suspect || now.since(known.heard) >= SUSPECT_AFTER {
            return;
        }
        known.is_suspect = false;
        if !known.record.is_leaving {
            outputs.push(Output::Present(known.record.announcement.clone()));
        }
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
                if let Some(known) = self.buckets[bucket_of(&id)].known().get(&id) {
                    records.push(known.record.clone());
                }
            }
            if records.is_empty() {
                continue;
            }
            let message = Message::Delta {
                number: self.change,
                records,
            };
            outputs.push(send(to, message));
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
        self.expire(now, outputs);
        self.tombstones.expire(now);
        self.early_leaves.retain(|_, at| now.since(*at) < GONE_AFTER);
        if now >= self.next_beat {
            self.next_beat = now + BEAT_EVERY;
            self.beat(now, outputs);
        }
    }

    fn expire(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        for bucket in &mut self.buckets {
            let mut gone = Vec::new();
            for known in bucket.known_mut() {
                let age = now.since(known.heard);
                if age >= GONE_AFTER && (known.record.is_leaving || !self.is_cut_off) {
                    gone.push(known.record.id().clone());
                    continue;
                }
                if age < SUSPECT_AFTER || known.is_suspect {
                    continue;
                }
                known.is_suspect = true;
                if !known.record.is_leaving {
                    outputs.push(Output::Suspect(known.record.id().clone()));
                }
            }
            for id in gone {
                let Some(known) = bucket.remove(now, &id) else {
                    continue;
                };
                if known.record.is_leaving {
                    let incarnation = known.record.announcement.incarnation;
                    self.tombstones.insert(now, id.clone(), incarnation);
                }
                outputs.push(Output::Gone(id));
            }
        }
    }

    fn beat(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let peers: Vec<&InstanceId> = self.peers.keys().collect();
        if peers.is_empty() {
            return;
        }
        let beats: Vec<BucketBeat> = self.buckets.iter().map(|bucket| bucket.beat(now)).collect();
        for offset in 0..BEAT_FANOUT.min(peers.len()) {
            let to = peers[(self.beat_turn + offset) % peers.len()];
            outputs.push(send(to, Message::Beat(beats.clone())));
        }
        self.beat_turn = (self.beat_turn + BEAT_FANOUT) % peers.len();
    }

    /// Notes a sign of life from outside. After a cut, each target gets the time of a suspect to be heard of again.
    fn note_input(&mut self, now: Instant) {
        self.last_input = now;
        if !self.is_cut_off {
            return;
        }
        self.is_cut_off = false;
        for bucket in &mut self.buckets {
            for known in bucket.known_mut() {
                known.heard = known.heard.max(now - SUSPECT_AFTER);
            }
        }
    }
}

fn send(to: &InstanceId, message: Message) -> Output {
    Output::Send {
        to: to.clone(),
        message,
    }
}
