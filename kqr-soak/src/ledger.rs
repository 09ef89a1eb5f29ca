use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{Breach, Trouble};

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
    Broken,
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
    Broken,
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
pub struct Ledger {
    jobs: BTreeMap<String, Job>,
    /// Target of each task that is at work.
    at_work: BTreeMap<String, String>,
    leaving: BTreeMap<String, Instant>,
    acknowledged: u64,
    breaches: Vec<Breach>,
    trouble: Trouble,
    /// Tasks that began again under faults after the system had taken note that they were done.
    repeated: u64,
    answers: BTreeMap<&'static str, u64>,
    /// Starts of each task.
    starts: BTreeMap<String, u32>,
}

impl Ledger {
    /// Returns when faults were at work.
    pub const fn trouble(&mut self) -> &mut Trouble {
        &mut self.trouble
    }

    /// Notes that a job is sent; a job may be sent more than once.
    pub fn sent(&mut self, job: &str, tasks: usize, max_attempts: u32) {
        let known = self.jobs.entry(job.to_owned()).or_default();
        known.tasks = tasks;
        known.max_attempts = max_attempts;
        known.sent += 1;
    }

    /// Notes the start of a run.
    pub fn begun(&mut self, now: Instant, job: &str, task: &str, target: &str) {
        *self.starts.entry(task.to_owned()).or_default() += 1;
        if let Some(other) = self.at_work.insert(task.to_owned(), target.to_owned()) {
            self.breaches.push(Breach::AtWorkTwice {
                task: task.to_owned(),
                targets: [other, target.to_owned()],
            });
        }
        if let Some(since) = self.leaving.get(target)
            && now.duration_since(*since) > LEAVE_TIME
        {
            self.breaches.push(Breach::StartWhileLeaving {
                task: task.to_owned(),
                target: target.to_owned(),
                after_ms: now.duration_since(*since).as_millis(),
            });
        }
        let known = self.jobs.entry(job.to_owned()).or_default();
        known.begun += 1;
        if known.is_refused && known.sent == 1 {
            self.breaches
                .push(Breach::RanThoughRefused { job: job.to_owned() });
        }
        let first_begun = *known.first_begun.get_or_insert(now);
        if known.sent == 1 && known.noted.contains(task) {
            self.repeated += 1;
            if self.trouble.is_calm_since(first_begun) {
                self.breaches.push(Breach::BegunAfterDone {
                    task: task.to_owned(),
                });
            }
        }
    }

    /// Notes the end of a run.
    pub fn ended(&mut self, job: &str, task: &str, ending: RunEnding) {
        self.at_work.remove(task);
        let known = self.jobs.entry(job.to_owned()).or_default();
        match ending {
            RunEnding::Done => {
                known.done.insert(task.to_owned());
            }
            RunEnding::Failed => *known.failures.entry(task.to_owned()).or_default() += 1,
            RunEnding::Broken => {}
        }
    }

    /// Notes that the system took note of the end of a done task.
    pub fn noted(&mut self, job: &str, task: &str) {
        let known = self.jobs.entry(job.to_owned()).or_default();
        known.noted.insert(task.to_owned());
    }

    /// Notes the answer to a job.
    pub fn answered(&mut self, job: &str, answer: JobAnswer) {
        let known = self.jobs.entry(job.to_owned()).or_default();
        let (name, breach) = match answer {
            JobAnswer::Completed => ("completed", partial(job, known)),
            JobAnswer::Failed => ("failed", failed_without_cause(job, known)),
            JobAnswer::Refused => {
                known.is_refused = true;
                let has_run = known.begun > 0 && known.sent == 1;
                let breach = has_run.then(|| Breach::RanThoughRefused { job: job.to_owned() });
                ("refused", breach)
            }
            JobAnswer::GivenUp => ("given up", None),
            JobAnswer::Broken => ("broken off", None),
        };
        *self.answers.entry(name).or_default() += 1;
        self.breaches.extend(breach);
    }

    /// Notes that the announced end of a target was acknowledged.
    pub fn leaving(&mut self, now: Instant, target: &str) {
        self.leaving.entry(target.to_owned()).or_insert(now);
    }

    /// Notes that a configuration was acknowledged.
    pub fn acknowledged(&mut self, version: u64) {
        self.acknowledged = self.acknowledged.max(version);
    }

    /// Returns the newest version that was acknowledged.
    pub const fn newest(&self) -> u64 {
        self.acknowledged
    }

    /// Notes a read of the configuration that was sent after `acknowledged` was the newest one.
    pub fn read(&mut self, read: u64, acknowledged: u64) {
        if read < acknowledged {
            self.breaches.push(Breach::Stale { read, acknowledged });
        }
    }

    /// Notes a promise that was seen broken elsewhere.
    pub fn broken(&mut self, breach: Breach) {
        self.breaches.push(breach);
    }

    /// Returns the promises that were broken.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// Returns how often each task was started.
    pub const fn starts(&self) -> &BTreeMap<String, u32> {
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

fn partial(job: &str, known: &Job) -> Option<Breach> {
    (known.done.len() < known.tasks).then(|| Breach::Partial {
        job: job.to_owned(),
        done: known.done.len(),
        tasks: known.tasks,
    })
}

fn failed_without_cause(job: &str, known: &Job) -> Option<Breach> {
    let has_cause = known
        .failures
        .values()
        .any(|failures| *failures >= known.max_attempts);
    (!has_cause).then(|| Breach::FailedWithoutCause { job: job.to_owned() })
}
