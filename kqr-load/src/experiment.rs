use std::{net::SocketAddr, path::Path, time::Duration};

use eyre::{WrapErr, ensure};
use kqr_types::{ClassName, Rate, ServiceName};
use serde::{Deserialize, Serialize};

use crate::TimeText;

/// Most tasks of a job that the callers' interface accepts.
const MAX_TASKS: u16 = 190;

/// An experiment: who is called, how the load swings, and what it consists of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name, for the reports.
    pub name: String,
    /// Seed of the random numbers.
    #[serde(default = "one")]
    pub seed: u64,
    /// Text before each key, to tell runs apart.
    #[serde(default = "default_prefix")]
    pub key_prefix: String,
    /// Callers' listeners of entries.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// Listeners of stand-ins, whose starts are checked at the end.
    #[serde(default)]
    pub standins: Vec<SocketAddr>,
    /// Parts of the run, one after the other.
    pub phases: Vec<Phase>,
    /// Kinds of jobs, picked by weight.
    #[serde(default)]
    pub jobs: Vec<JobMix>,
    /// Kinds of single requests, picked by weight.
    #[serde(default)]
    pub requests: Vec<RequestMix>,
    /// Waves of cancels.
    #[serde(default)]
    pub cancels: Vec<CancelWave>,
    /// How submissions are sent again.
    #[serde(default)]
    pub resubmit: Resubmit,
}

/// A part of the run with constant rates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Name, for the reports.
    pub name: String,
    /// Length.
    pub length: TimeText,
    /// Jobs that arrive in a second.
    #[serde(default)]
    pub jobs: Rate,
    /// Single requests that arrive in a second.
    #[serde(default)]
    pub requests: Rate,
}

/// A kind of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobMix {
    /// Share of this kind in relation to the others.
    #[serde(default = "one")]
    pub weight: u64,
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Class of the tasks.
    pub class: ClassName,
    /// Fewest and most tasks.
    pub tasks: [u16; 2],
    /// Shortest and longest run time of a task.
    pub run: [TimeText; 2],
    /// Declared over true run time.
    #[serde(default = "unity")]
    pub declared: f64,
    /// Time that the caller is willing to wait.
    pub deadline: TimeText,
}

/// A kind of single requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestMix {
    /// Share of this kind in relation to the others.
    #[serde(default = "one")]
    pub weight: u64,
    /// Service that is asked.
    pub service: ServiceName,
    /// Whether the request may be sent again.
    pub idempotent: bool,
    /// Size of the body in bytes.
    #[serde(default)]
    pub body_bytes: usize,
    /// Time that the caller is willing to wait.
    pub deadline: TimeText,
}

/// A wave of cancels.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelWave {
    /// Time from the begin of the run.
    pub at: TimeText,
    /// Part of the unanswered jobs that is cancelled, 0 to 1.
    pub part: f64,
}

/// How submissions are sent again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resubmit {
    /// Most tries of one submission, each at another entry.
    pub tries: usize,
    /// Pause before the next try.
    pub pause: TimeText,
    /// Part of the jobs that is sent to two entries at once, 0 to 1.
    pub doubled: f64,
}

impl Default for Resubmit {
    fn default() -> Self {
        Self {
            tries: 8,
            pause: TimeText(Duration::from_millis(300)),
            doubled: 0.0,
        }
    }
}

const fn one() -> u64 {
    1
}

const fn unity() -> f64 {
    1.0
}

fn default_prefix() -> String {
    "load".to_owned()
}

impl Experiment {
    /// Reads an experiment file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or parsed. [`Experiment::check`] tells whether it makes sense.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path).wrap_err_with(|| format!("reading {}", path.display()))?;
        serde_saphyr::from_str(&text).wrap_err_with(|| format!("parsing {}", path.display()))
    }

    /// Checks the values.
    ///
    /// # Errors
    ///
    /// Fails with the path of the first value that is not allowed.
    pub fn check(&self) -> eyre::Result<()> {
        ensure!(!self.entries.is_empty(), "entries: at least one is needed");
        ensure!(!self.phases.is_empty(), "phases: at least one is needed");
        let asks = |rate: fn(&Phase) -> Rate| self.phases.iter().any(|phase| rate(phase).0 > 0.0);
        let has_jobs = self.jobs.iter().any(|mix| mix.weight > 0);
        let has_requests = self.requests.iter().any(|mix| mix.weight > 0);
        ensure!(
            has_jobs || !asks(|phase| phase.jobs),
            "jobs: a phase has a rate of jobs, but no kind of jobs has weight"
        );
        ensure!(
            has_requests || !asks(|phase| phase.requests),
            "requests: a phase has a rate of requests, but no kind of requests has weight"
        );
        for (index, mix) in self.jobs.iter().enumerate() {
            let [fewest, most] = mix.tasks;
            ensure!(
                (1..=most).contains(&fewest) && most <= MAX_TASKS,
                "jobs[{index}].tasks: expected 1 to {MAX_TASKS}, the fewest first"
            );
            ensure!(
                mix.run[0] <= mix.run[1],
                "jobs[{index}].run: the shortest comes first"
            );
            ensure!(
                mix.declared > 0.0,
                "jobs[{index}].declared: expected a number above 0"
            );
        }
        for (index, wave) in self.cancels.iter().enumerate() {
            ensure!(
                (0.0..=1.0).contains(&wave.part),
                "cancels[{index}].part: expected 0 to 1"
            );
        }
        ensure!(
            (0.0..=1.0).contains(&self.resubmit.doubled),
            "resubmit.doubled: expected 0 to 1"
        );
        ensure!(self.resubmit.tries > 0, "resubmit.tries: expected at least 1");
        Ok(())
    }

    /// Returns the length of all phases.
    pub fn length(&self) -> Duration {
        self.phases.iter().map(|phase| phase.length.0).sum()
    }
}
