use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_types::{Instant, KeyDigest, TargetId};
use serde::{Deserialize, Serialize};

/// Limits of the quarantine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuarantineOptions {
    /// Chance of a run of failures at a sound target below which the target is blamed.
    pub chance: f64,
    /// Failure rate of the other targets that is assumed at least.
    pub least_rate: f64,
    /// Time of the first quarantine of a target; it doubles with each failed probe.
    pub first_hold: Duration,
    /// Longest time of one quarantine.
    pub longest_hold: Duration,
    /// Largest part of the targets that is quarantined or probed at the same time.
    pub largest_part: f64,
    /// Distinct jobs that a probed target must complete.
    pub probes: u32,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            chance: 1e-6,
            least_rate: 0.02,
            first_hold: Duration::from_secs(2),
            longest_hold: Duration::from_secs(60),
            largest_part: 0.2,
            probes: 3,
        }
    }
}

/// A change of what a target may be given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineChange {
    /// The target gets no work.
    Hold(TargetId),
    /// The target gets one task at a time.
    Probe(TargetId),
    /// The target gets work as before.
    Release(TargetId),
}

impl QuarantineChange {
    /// Returns the target.
    pub const fn target(&self) -> &TargetId {
        match self {
            Self::Hold(target) | Self::Probe(target) | Self::Release(target) => target,
        }
    }

    /// Returns the number of slots that the target may be given at most.
    pub const fn slot_cap(&self) -> u32 {
        match self {
            Self::Hold(_) => 0,
            Self::Probe(_) => 1,
            Self::Release(_) => u32::MAX,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Sound,
    Held(Instant),
    Probed(u32),
}

#[derive(Clone, Debug)]
struct Record {
    /// Jobs that failed here since the last completed task.
    failed: BTreeSet<KeyDigest>,
    /// Moving average of failures among attempts.
    rate: f64,
    phase: Phase,
    hold: Duration,
}

/// Finds targets that fail what others complete, and keeps work from them.
///
/// A target is blamed by the number of distinct jobs that failed on it in a row, against the failure rate of the other
/// targets: a job that fails everywhere blames nobody, and neither does a fault of the whole service.
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: QuarantineOptions,
    records: BTreeMap<TargetId, Record>,
}

impl Quarantine {
    /// Weight of a new attempt in the failure rate of a target.
    const RATE_WEIGHT: f64 = 0.1;
    /// Most failed jobs that are remembered of a target.
    const REMEMBERED_JOBS: usize = 64;

    /// Creates a quarantine without targets.
    pub fn new(options: QuarantineOptions) -> Self {
        Self {
            options,
            records: BTreeMap::new(),
        }
    }

    /// Takes in the end of an attempt; `targets` is the number of all targets.
    pub fn record_attempt(
        &mut self,
        now: Instant,
        target: &TargetId,
        job: KeyDigest,
        is_completed: bool,
        targets: usize,
    ) -> Option<QuarantineChange> {
        let first_hold = self.options.first_hold;
        let fresh = || Record {
            failed: BTreeSet::new(),
            rate: 0.0,
            phase: Phase::Sound,
            hold: first_hold,
        };
        let record = self.records.entry(target.clone()).or_insert_with(fresh);
        let outcome = f64::from(u8::from(!is_completed));
        record.rate += (outcome - record.rate) * Self::RATE_WEIGHT;
        if is_completed {
            record.failed.clear();
            return self.completed(target);
        }
        if record.failed.len() < Self::REMEMBERED_JOBS {
            record.failed.insert(job);
        }
        match record.phase {
            Phase::Held(_) => None,
            Phase::Probed(_) => {
                record.hold = (record.hold * 2).min(self.options.longest_hold);
                record.phase = Phase::Held(now + record.hold);
                Some(QuarantineChange::Hold(target.clone()))
            }
            Phase::Sound => self.judge(now, target, targets),
        }
    }

    /// Ends the quarantines whose time is over; the targets are probed then.
    pub fn tick(&mut self, now: Instant) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for (target, record) in &mut self.records {
            let Phase::Held(until) = record.phase else {
                continue;
            };
            if until > now {
                continue;
            }
            record.phase = Phase::Probed(0);
            changes.push(QuarantineChange::Probe(target.clone()));
        }
        changes
    }

    /// Forgets a target that is gone or has started a new life.
    pub fn remove_target(&mut self, target: &TargetId) {
        self.records.remove(target);
    }

    /// Returns the targets that are quarantined or probed.
    pub fn restricted_targets(&self) -> Vec<TargetId> {
        let is_held = |record: &Record| record.phase != Phase::Sound;
        let held = self.records.iter().filter(|(_, record)| is_held(record));
        held.map(|(target, _)| target.clone()).collect()
    }

    fn completed(&mut self, target: &TargetId) -> Option<QuarantineChange> {
        let needed = self.options.probes;
        let first_hold = self.options.first_hold;
        let record = self.records.get_mut(target)?;
        let Phase::Probed(completed) = record.phase else {
            return None;
        };
        if completed + 1 < needed {
            record.phase = Phase::Probed(completed + 1);
            return None;
        }
        record.phase = Phase::Sound;
        record.hold = first_hold;
        Some(QuarantineChange::Release(target.clone()))
    }

    fn judge(&mut self, now: Instant, target: &TargetId, targets: usize) -> Option<QuarantineChange> {
        let rate = self.rate_of_others(target).max(self.options.least_rate);
        let held = self.restricted_targets().len();
        let record = self.records.get_mut(target)?;
        let failures = i32::try_from(record.failed.len()).unwrap_or(i32::MAX);
        if rate.powi(failures) >= self.options.chance {
            return None;
        }
        let allowed = ((targets as f64 * self.options.largest_part) as usize).max(1);
        if held >= allowed {
            return None;
        }
        record.phase = Phase::Held(now + record.hold);
        Some(QuarantineChange::Hold(target.clone()))
    }

    /// Returns the mean failure rate of the sound targets but `target`, each counted once.
    fn rate_of_others(&self, target: &TargetId) -> f64 {
        let mut sum = 0.0;
        let mut count = 0.0;
        for (id, record) in &self.records {
            if id == target || record.phase != Phase::Sound {
                continue;
            }
            sum += record.rate;
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }
}
