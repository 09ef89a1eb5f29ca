use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kqr_types::{Instant, KeyDigest, TargetId};
use serde::{Deserialize, Serialize};

/// Thresholds of the quarantine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuarantineOptions {
    /// Probability of a series of failures at a healthy target below which the target is quarantined.
    pub chance: f64,
    /// Minimum failure rate that is assumed for the other targets.
    pub least_rate: f64,
    /// Duration of the first quarantine of a target. It doubles with each failed probe.
    pub first_hold: Duration,
    /// Maximum duration of one quarantine.
    pub longest_hold: Duration,
    /// Maximum fraction of the targets that may be quarantined or probed at the same time.
    pub largest_part: f64,
    /// Number of tasks that a probed target must complete before it is released.
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

/// Change of the work that may be placed on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineChange {
    /// No work may be placed on the target.
    Hold(TargetId),
    /// One task at a time may be placed on the target.
    Probe(TargetId),
    /// The restriction of the target is lifted.
    Release(TargetId),
}

impl QuarantineChange {
    /// Returns the target.
    pub const fn target(&self) -> &TargetId {
        match self {
            Self::Hold(target) | Self::Probe(target) | Self::Release(target) => target,
        }
    }

    /// Returns the maximum number of slots that may be used on the target.
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
    Healthy,
    Quarantined(Instant),
    Probing(u32),
}

#[derive(Clone, Debug)]
struct TargetRecord {
    /// Jobs that failed on the target since its last completed task.
    failed_jobs: BTreeSet<KeyDigest>,
    /// Moving average of the fraction of attempts that fail.
    failure_rate: f64,
    phase: Phase,
    hold_time: Duration,
}

/// Detects targets that fail work which other targets complete, and quarantines them.
///
/// A target is quarantined if the number of distinct jobs that failed on it in a row is improbable given the
/// failure rate of the other targets. A job that fails on every target therefore quarantines none, and
/// neither does a fault of the whole service.
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: QuarantineOptions,
    records: BTreeMap<TargetId, TargetRecord>,
}

impl Quarantine {
    /// Weight of a new attempt in the moving average of the failure rate.
    const RATE_WEIGHT: f64 = 0.1;
    /// Maximum number of failed jobs that are recorded per target.
    const MAX_FAILED_JOBS: usize = 64;

    /// Creates a quarantine without recorded targets.
    pub fn new(options: QuarantineOptions) -> Self {
        Self {
            options,
            records: BTreeMap::new(),
        }
    }

    /// Records the end of an attempt, where `targets` is the total number of targets.
    pub fn record_attempt(
        &mut self,
        now: Instant,
        target: &TargetId,
        job: KeyDigest,
        is_completed: bool,
        targets: usize,
    ) -> Option<QuarantineChange> {
        let first_hold = self.options.first_hold;
        let new_record = || TargetRecord {
            failed_jobs: BTreeSet::new(),
            failure_rate: 0.0,
            phase: Phase::Healthy,
            hold_time: first_hold,
        };
        let record = self.records.entry(target.clone()).or_insert_with(new_record);
        let outcome = f64::from(u8::from(!is_completed));
        record.failure_rate += (outcome - record.failure_rate) * Self::RATE_WEIGHT;
        if is_completed {
            record.failed_jobs.clear();
            return self.record_completion(target);
        }
        if record.failed_jobs.len() < Self::MAX_FAILED_JOBS {
            record.failed_jobs.insert(job);
        }
        match record.phase {
            Phase::Quarantined(_) => None,
            Phase::Probing(_) => {
                record.hold_time = (record.hold_time * 2).min(self.options.longest_hold);
                record.phase = Phase::Quarantined(now + record.hold_time);
                Some(QuarantineChange::Hold(target.clone()))
            }
            Phase::Healthy => self.check_failures(now, target, targets),
        }
    }

    /// Moves targets whose quarantine has expired to probing.
    pub fn tick(&mut self, now: Instant) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for (target, record) in &mut self.records {
            let Phase::Quarantined(until) = record.phase else {
                continue;
            };
            if until > now {
                continue;
            }
            record.phase = Phase::Probing(0);
            changes.push(QuarantineChange::Probe(target.clone()));
        }
        changes
    }

    /// Removes the record of a target that is gone or has restarted.
    pub fn remove_target(&mut self, target: &TargetId) {
        self.records.remove(target);
    }

    /// Returns the targets that are quarantined or probed.
    pub fn restricted_targets(&self) -> Vec<TargetId> {
        let is_restricted = |record: &TargetRecord| record.phase != Phase::Healthy;
        let restricted = self.records.iter().filter(|(_, record)| is_restricted(record));
        restricted.map(|(target, _)| target.clone()).collect()
    }

    fn record_completion(&mut self, target: &TargetId) -> Option<QuarantineChange> {
        let needed = self.options.probes;
        let first_hold = self.options.first_hold;
        let record = self.records.get_mut(target)?;
        let Phase::Probing(completed) = record.phase else {
            return None;
        };
        if completed + 1 < needed {
            record.phase = Phase::Probing(completed + 1);
            return None;
        }
        record.phase = Phase::Healthy;
        record.hold_time = first_hold;
        Some(QuarantineChange::Release(target.clone()))
    }

    fn check_failures(
        &mut self,
        now: Instant,
        target: &TargetId,
        targets: usize,
    ) -> Option<QuarantineChange> {
        let rate = self.failure_rate_of_others(target).max(self.options.least_rate);
        let restricted = self.restricted_targets().len();
        let record = self.records.get_mut(target)?;
        let failures = i32::try_from(record.failed_jobs.len()).unwrap_or(i32::MAX);
        if rate.powi(failures) >= self.options.chance {
            return None;
        }
        let allowed = ((targets as f64 * self.options.largest_part) as usize).max(1);
        if restricted >= allowed {
            return None;
        }
        record.phase = Phase::Quarantined(now + record.hold_time);
        Some(QuarantineChange::Hold(target.clone()))
    }

    /// Returns the unweighted mean failure rate of the healthy targets other than `target`.
    fn failure_rate_of_others(&self, target: &TargetId) -> f64 {
        let mut sum = 0.0;
        let mut count = 0.0;
        for (id, record) in &self.records {
            if id == target || record.phase != Phase::Healthy {
                continue;
            }
            sum += record.failure_rate;
            count += 1.0;
        }
        if count > 0.0 { sum / count } else { 0.0 }
    }
}
