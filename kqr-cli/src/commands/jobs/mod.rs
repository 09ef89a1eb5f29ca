//! Operations on jobs, over the callers' interface of the entries.

pub mod cancel;
pub mod show;

use std::fmt;

use kqr_jobs::JobState;
use kqr_types::JobKey;
use kqr_wire::callers::JobAnswerBody;
use serde::Serialize;

use crate::EntryOptions;

/// Which job is meant, and where it is asked for.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Key of the job, as its caller sent it in `Idempotency-Key`.
    pub key: JobKey,
    /// Which entries are called.
    #[command(flatten)]
    pub entries: EntryOptions,
}

/// The state of a job.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub struct Outcome(pub JobAnswerBody);

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let job = &self.0;
        let state = match job.state {
            JobState::Running => "running",
            JobState::Complete => "complete",
            JobState::Failed => "failed",
            JobState::Cancelled => "cancelled",
        };
        writeln!(f, "{}: {state} ({})", job.key, job.outcome)?;
        for task in &job.tasks {
            write!(f, "    task {}: {}", task.task, task.outcome)?;
            if let Some(reason) = &task.reason {
                write!(f, ", {reason}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
