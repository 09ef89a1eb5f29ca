use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{FaultActivity, Violation};

/// Time for which tasks may still be started at a leaving target after its announcement was acknowledged: 2 s
/// for the system, and as much again for a busy machine.
const START_GRACE_TIME: Duration = Duration::from_secs(4);

/// End of a run at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnding {
    /// The task is done.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped, or its lease or its target ended.
    Interrupted,
}

/// Answer of an entry to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// All tasks are done.
    Completed,
    /// A task failed as often as allowed.
    Failed,
    /// Refused as not run.
    Refused,
    /// Given up; it may have run.
    GivenUp,
    /// No complete answer arrived.
    NoAnswer,
}

/// Observations of one job.
#[derive(Clone, Debug, Default)]
struct JobRecord {
    task_count: usize,
    max_attempts: u32,
    submission_count: u32,
    start_count: u32,
    /// Time of the first start of a task.
    first_start: Option<Instant>,
    done_tasks: BTreeSet<String>,
    /// Done tasks whose end the system has acknowledged.
    acknowledged_tasks: BTreeSet<String>,
    /// Number of failed runs of each task.
    failures: BTreeMap<String, u32>,
    is_refused: bool,
}

/// Records what callers, targets and operators observe, and checks the invariants.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    jobs: BTreeMap<String, JobRecord>,
    /// Target of each running task.
    running: BTreeMap<String, String>,
    /// Time at which each leaving target's announcement was acknowledged.
    leaving_since: BTreeMap<String, Instant>,
    newest_acknowledged_version: u64,
    violations: Vec<Violation>,
    fault_activity: FaultActivity,
    /// Starts of tasks that the system had already acknowledged as done.
    done_task_starts: u64,
    answer_counts: BTreeMap<&'static str, u64>,
    /// Number of starts of each task.
    start_counts: BTreeMap<String, u32>,
}

impl InvariantChecker {
    /// Returns the record of active faults.
    pub const fn fault_activity(&mut self) -> &mut FaultActivity {
        &mut self.fault_activity
    }

    /// Records that a job is sent, which may happen more than once.
    pub fn record_submission(&mut self, job: &str, task_count: usize, max_attempts: u32) {
        let record = self.jobs.entry(job.to_owned()).or_default();
        record.task_count = task_count;
        record.max_attempts = max_attempts;
        record.submission_count += 1;
    }

    /// Records the start of a run.
    pub fn record_start(&mut self, now: Instant, job: &str, task: &str, target: &str) {
        *self.start_counts.entry(task.to_owned()).or_default() += 1;
        if let Some(other) = self.running.insert(task.to_owned(), target.to_owned()) {
            self.violations.push(Violation::AtWorkTwice {
                task: task.to_owned(),
                targets: [other, target.to_owned()],
            });
        }
        if let Some(since) = self.leaving_since.get(target)
            && now.duration_since(*since) > START_GRACE_TIME
        {
            self.violations.push(Violation::StartWhileLeaving {
                task: task.to_owned(),
                target: target.to_owned(),
                after_ms: now.duration_since(*since).as_millis(),
            });
        }
        let record = self.jobs.entry(job.to_owned()).or_default();
        record.start_count += 1;
        if record.is_refused && record.submission_count == 1 {
            self.violations
                .push(Violation::RanThoughRefused { job: job.to_owned() });
        }
        let first_start = *record.first_start.get_or_insert(now);
        if record.submission_count == 1 && record.acknowledged_tasks.contains(task) {
            self.done_task_starts += 1;
            if self.fault_activity.is_fault_free_since(first_start) {
                self.violations.push(Violation::BegunAfterDone {
                    task: task.to_owned(),
                });
            }
        }
    }

    /// Records the end of a run.
    pub fn record_end(&mut self, job: &str, task: &str, ending: RunEnding) {
        self.running.remove(task);
        let record = self.jobs.entry(job.to_owned()).or_default();
        match ending {
            RunEnding::Done => {
                record.done_tasks.insert(task.to_owned());
            }
            RunEnding::Failed => *record.failures.entry(task.to_owned()).or_default() += 1,
            RunEnding::Interrupted => {}
        }
    }

    /// Records that the system has acknowledged the end of a done task.
    pub fn record_acknowledged_end(&mut self, job: &str, task: &str) {
        let record = self.jobs.entry(job.to_owned()).or_default();
        record.acknowledged_tasks.insert(task.to_owned());
    }

    /// Records the answer to a job.
    pub fn record_answer(&mut self, job: &str, answer: JobAnswer) {
        let record = self.jobs.entry(job.to_owned()).or_default();
        let (name, violation) = match answer {
            JobAnswer::Completed => ("completed", partial(job, record)),
            JobAnswer::Failed => ("failed", failed_without_cause(job, record)),
            JobAnswer::Refused => {
                record.is_refused = true;
                let has_run = record.start_count > 0 && record.submission_count == 1;
                let violation = has_run.then(|| Violation::RanThoughRefused { job: job.to_owned() });
                ("refused", violation)
            }
            JobAnswer::GivenUp => ("given up", None),
            JobAnswer::NoAnswer => ("broken off", None),
        };
        *self.answer_counts.entry(name).or_default() += 1;
        self.violations.extend(violation);
    }

    /// Records that the announcement of a leaving target was acknowledged.
    pub fn record_leaving_target(&mut self, now: Instant, target: &str) {
        self.leaving_since.entry(target.to_owned()).or_insert(now);
    }

    /// Records that a catalog was acknowledged.
    pub fn record_acknowledged_version(&mut self, version: u64) {
        self.newest_acknowledged_version = self.newest_acknowledged_version.max(version);
    }

    /// Returns the newest catalog version that was acknowledged.
    pub const fn newest_acknowledged_version(&self) -> u64 {
        self.newest_acknowledged_version
    }

    /// Checks a read of the catalog that was sent when `acknowledged` was the newest acknowledged version.
    pub fn check_read(&mut self, read: u64, acknowledged: u64) {
        if read < acknowledged {
            self.violations.push(Violation::Stale { read, acknowledged });
        }
    }

    /// Records a violation that was detected elsewhere.
    pub fn record_violation(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// Returns the violations in the order in which they were detected.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the number of starts of each task.
    pub const fn start_counts(&self) -> &BTreeMap<String, u32> {
        &self.start_counts
    }

    /// Returns the counts of jobs, answers and starts, in one line.
    pub fn summary(&self) -> String {
        let answers = self
            .answer_counts
            .iter()
            .map(|(name, count)| format!("{count} {name}"));
        let answers = answers.collect::<Vec<_>>().join(", ");
        let (jobs, done_task_starts) = (self.jobs.len(), self.done_task_starts);
        let starts: u32 = self.start_counts.values().sum();
        format!("{jobs} jobs ({answers}), {starts} starts, {done_task_starts} of done tasks")
    }
}

fn partial(job: &str, record: &JobRecord) -> Option<Violation> {
    (record.done_tasks.len() < record.task_count).then(|| Violation::Partial {
        job: job.to_owned(),
        done: record.done_tasks.len(),
        tasks: record.task_count,
    })
}

fn failed_without_cause(job: &str, record: &JobRecord) -> Option<Violation> {
    let has_cause = record
        .failures
        .values()
        .any(|failures| *failures >= record.max_attempts);
    (!has_cause).then(|| Violation::FailedWithoutCause { job: job.to_owned() })
}
