use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{FaultActivity, Violation};

/// Time after the acknowledgement of its announced end from which on a target must get no new work: two seconds for the
/// system, and as much again for a busy machine.
const LEAVE_TIME: Duration = Duration::from_secs(4);

/// How a run ended at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnding {
    /// The task is done.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped, or its lease or its target ended.
    Interrupted,
}

/// What a caller was told.
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
    /// No whole answer arrived.
    NoAnswer,
}

/// What is known of a job.
#[derive(Clone, Debug, Default)]
struct Job {
    tasks: usize,
    max_attempts: u32,
    /// Times that the job was sent.
    sent: u32,
    begun: u32,
    /// When its first task began.
    first_begun: Option<Instant>,
    done: BTreeSet<String>,
    /// Done tasks whose end the system has taken note of.
    noted: BTreeSet<String>,
    failures: BTreeMap<String, u32>,
    is_refused: bool,
}

/// What callers, targets and operators have seen, and the promises that were broken.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    jobs: BTreeMap<String, Job>,
    /// Target of each task that is at work.
    at_work: BTreeMap<String, String>,
    leaving: BTreeMap<String, Instant>,
    acknowledged: u64,
    violations: Vec<Violation>,
    fault_activity: FaultActivity,
    /// Tasks that began again under faults after the system had taken note that they were done.
    repeated: u64,
    answers: BTreeMap<&'static str, u64>,
    /// Starts of each task.
    starts: BTreeMap<String, u32>,
}

impl InvariantChecker {
    /// Returns when faults were at work.
    pub const fn fault_activity(&mut self) -> &mut FaultActivity {
        &mut self.fault_activity
    }

    /// Notes that a job is sent; a job may be sent more than once.
    pub fn record_submission(&mut self, job: &str, tasks: usize, max_attempts: u32) {
        let known = self.jobs.entry(job.to_owned()).or_default();
        known.tasks = tasks;
        known.max_attempts = max_attempts;
        known.sent += 1;
    }

    /// Notes the start of a run.
    pub fn record_start(&mut self, now: Instant, job: &str, task: &str, target: &str) {
        *self.starts.entry(task.to_owned()).or_default() += 1;
        if let Some(other) = self.at_work.insert(task.to_owned(), target.to_owned()) {
            self.violations.push(Violation::AtWorkTwice {
                task: task.to_owned(),
                targets: [other, target.to_owned()],
            });
        }
        if let Some(since) = self.leaving.get(target)
            && now.duration_since(*since) > LEAVE_TIME
        {
            self.violations.push(Violation::StartWhileLeaving {
                task: task.to_owned(),
                target: target.to_owned(),
                after_ms: now.duration_since(*since).as_millis(),
            });
        }
        let known = self.jobs.entry(job.to_owned()).or_default();
        known.begun += 1;
        if known.is_refused && known.sent == 1 {
            self.violations
                .push(Violation::RanThoughRefused { job: job.to_owned() });
        }
        let first_begun = *known.first_begun.get_or_insert(now);
        if known.sent == 1 && known.noted.contains(task) {
            self.repeated += 1;
            if self.fault_activity.is_fault_free_since(first_begun) {
                self.violations.push(Violation::BegunAfterDone {
                    task: task.to_owned(),
                });
            }
        }
    }

    /// Notes the end of a run.
    pub fn record_end(&mut self, job: &str, task: &str, ending: RunEnding) {
        self.at_work.remove(task);
        let known = self.jobs.entry(job.to_owned()).or_default();
        match ending {
            RunEnding::Done => {
                known.done.insert(task.to_owned());
            }
            RunEnding::Failed => *known.failures.entry(task.to_owned()).or_default() += 1,
            RunEnding::Interrupted => {}
        }
    }

    /// Notes that the system took note of the end of a done task.
    pub fn record_acknowledged_end(&mut self, job: &str, task: &str) {
        let known = self.jobs.entry(job.to_owned()).or_default();
        known.noted.insert(task.to_owned());
    }

    /// Notes the answer to a job.
    pub fn record_answer(&mut self, job: &str, answer: JobAnswer) {
        let known = self.jobs.entry(job.to_owned()).or_default();
        let (name, violation) = match answer {
            JobAnswer::Completed => ("completed", partial(job, known)),
            JobAnswer::Failed => ("failed", failed_without_cause(job, known)),
            JobAnswer::Refused => {
                known.is_refused = true;
                let has_run = known.begun > 0 && known.sent == 1;
                let violation = has_run.then(|| Violation::RanThoughRefused { job: job.to_owned() });
                ("refused", violation)
            }
            JobAnswer::GivenUp => ("given up", None),
            JobAnswer::NoAnswer => ("broken off", None),
        };
        *self.answers.entry(name).or_default() += 1;
        self.violations.extend(violation);
    }

    /// Notes that the announced end of a target was acknowledged.
    pub fn record_leaving_target(&mut self, now: Instant, target: &str) {
        self.leaving.entry(target.to_owned()).or_insert(now);
    }

    /// Notes that a configuration was acknowledged.
    pub fn record_acknowledged_version(&mut self, version: u64) {
        self.acknowledged = self.acknowledged.max(version);
    }

    /// Returns the newest version that was acknowledged.
    pub const fn newest_acknowledged_version(&self) -> u64 {
        self.acknowledged
    }

    /// Notes a read of the configuration that was sent after `acknowledged` was the newest one.
    pub fn check_read(&mut self, read: u64, acknowledged: u64) {
        if read < acknowledged {
            self.violations.push(Violation::Stale { read, acknowledged });
        }
    }

    /// Notes a promise that was seen broken elsewhere.
    pub fn record_violation(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// Returns the promises that were broken.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns how often each task was started.
    pub const fn start_counts(&self) -> &BTreeMap<String, u32> {
        &self.starts
    }

    /// Returns what was seen, in one line.
    pub fn summary(&self) -> String {
        let answers = self.answers.iter().map(|(name, count)| format!("{count} {name}"));
        let answers = answers.collect::<Vec<_>>().join(", ");
        let (jobs, repeated) = (self.jobs.len(), self.repeated);
        let starts: u32 = self.starts.values().sum();
        format!("{jobs} jobs ({answers}), {starts} starts, {repeated} of done tasks")
    }
}

fn partial(job: &str, known: &Job) -> Option<Violation> {
    (known.done.len() < known.tasks).then(|| Violation::Partial {
        job: job.to_owned(),
        done: known.done.len(),
        tasks: known.tasks,
    })
}

fn failed_without_cause(job: &str, known: &Job) -> Option<Violation> {
    let has_cause = known
        .failures
        .values()
        .any(|failures| *failures >= known.max_attempts);
    (!has_cause).then(|| Violation::FailedWithoutCause { job: job.to_owned() })
}
