//! The wait that a job is to expect for capacity.

use std::{collections::BTreeMap, time::Duration};

use kqr_fleet::Resources;
use kqr_types::ServiceName;

use super::{
    Owners,
    free_index::{FreeIndex, FreeKey},
};
use crate::{JobRequest, StepSpec, expected_wait::ExpectedWait, load_report::RANKS};

/// Maximum number of targets examined for each task of a job, and additionally for a job. Places that are not found within
/// it are assumed to exist, so that the error never refuses a job.
const MAX_EXAMINED_PER_TASK: usize = 2;
const MAX_EXAMINED: usize = 32;

impl Owners {
    /// Returns how long the tasks of a job are expected to wait for capacity: not at all if all tasks of its first steps
    /// find a place, or else the time in which the queued work of at least its priority and its own tasks without a place
    /// drain. Running work needs no term of its own, because it is what drains.
    ///
    /// Returns no wait if no target accepts runs at present, because this is assumed to be a short interruption.
    pub(crate) fn expected_wait(&self, request: &JobRequest) -> ExpectedWait {
        let Some(index) = self.free.of(&request.service) else {
            return ExpectedWait::default();
        };
        let (unplaced, cpu_milli) = self.unplaced_work(index, request);
        if unplaced == 0 {
            return ExpectedWait::default();
        }
        let has_label = request.steps.iter().any(|step| step.label.is_some());
        let rank = (request.priority as usize).min(RANKS - 1);
        let accepting = self.loads.values().filter(|owner| !owner.is_leaving);
        let (mut ahead, mut ahead_of_late) = (0_u64, 0_u64);
        for owner in accepting {
            ahead = ahead.saturating_add(owner.queued().ahead(rank, has_label));
            ahead_of_late = ahead_of_late.saturating_add(owner.queued().ahead_of_late(rank));
        }
        let rate = index.drain_rate(cpu_milli);
        ExpectedWait {
            ahead: drain_time(ahead, rate),
            ahead_of_late: drain_time(ahead_of_late, rate),
            own: drain_time(unplaced, rate),
        }
    }

    /// Returns the ratio of run time to estimate on a target of the mean speed of those that accept runs.
    pub(crate) fn usual_slowness(&self, service: &ServiceName) -> f32 {
        self.free.of(service).map_or(1.0, FreeIndex::usual_slowness)
    }

    /// Returns the work, in core-milliseconds, of the tasks of the first steps that find no place, and the largest number
    /// of processors that one of them needs.
    fn unplaced_work(&self, index: &FreeIndex, request: &JobRequest) -> (u64, u64) {
        let mut taken: BTreeMap<FreeKey, Resources> = BTreeMap::new();
        let (mut work, mut cpu_milli) = (0_u64, 0);
        for step in &request.steps {
            if !step.depends_on.is_empty() {
                continue;
            }
            let missing = self.missing_places(index, step, &mut taken);
            if missing == 0 {
                continue;
            }
            let task_work = step.work_core_ms().max(1);
            work = work.saturating_add(task_work.saturating_mul(u64::from(missing)));
            cpu_milli = step.needs.cpu_milli.max(cpu_milli);
        }
        (work, cpu_milli)
    }

    /// Returns the number of tasks of a step that find no place, and adds the needs of the others to `taken`.
    fn missing_places(
        &self,
        index: &FreeIndex,
        step: &StepSpec,
        taken: &mut BTreeMap<FreeKey, Resources>,
    ) -> u32 {
        let max_examined = MAX_EXAMINED + step.count as usize * MAX_EXAMINED_PER_TASK;
        let mut missing = step.count;
        for (examined, key) in index.all_with_cpu(step.needs.cpu_milli).enumerate() {
            if missing == 0 || examined >= max_examined {
                return 0;
            }
            let Some(mut free) = self.free_at(key) else {
                continue;
            };
            let has_label = step.label.as_ref().is_none_or(|label| {
                self.target_at(key)
                    .is_some_and(|target| target.labels.contains(label))
            });
            if !has_label {
                continue;
            }
            if let Some(taken) = taken.get(key) {
                free -= *taken;
            }
            let max_tasks = missing.min(step.max_per_target.unwrap_or(u32::MAX));
            let placed = free.times_fitting(&step.needs, max_tasks);
            if placed > 0 {
                *taken.entry(*key).or_default() += step.needs.times(placed);
                missing -= placed;
            }
        }
        missing
    }
}

/// Returns the time in which `work`, in core-milliseconds, drains at `rate`, in thousandths of a core. Returns zero if nothing
/// drains, because this is assumed to be a short interruption.
pub(super) fn drain_time(work: u64, rate: u64) -> Duration {
    let micros = u128::from(work) * 1_000_000;
    let micros = micros.checked_div(u128::from(rate)).unwrap_or_default();
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
