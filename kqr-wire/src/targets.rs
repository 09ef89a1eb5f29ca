//! Request and response bodies of the targets' HTTP interface.

use kqr_types::{Attempt, AttemptId, ClassName, Incarnation, JobKey, ServiceName, TaskIndex};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/tasks` at a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartBody {
    /// Key of the job.
    pub key: JobKey,
    /// Index of the task within the job.
    pub task: TaskIndex,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Identity of the attempt.
    pub attempt_id: String,
    /// Incarnation of the worker that the attempt is meant for. A worker of another incarnation must refuse it.
    pub incarnation: Incarnation,
    /// Service that the task belongs to.
    pub service: ServiceName,
    /// Class of the task.
    pub class: ClassName,
    /// Payload, passed unchanged.
    pub payload: String,
    /// Time after receipt within which the task may be started, in milliseconds.
    pub start_within_ms: u64,
    /// Time after the start when the worker may stop the task, in milliseconds.
    pub lease_ms: u64,
}

/// State of an attempt at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// The attempt is unknown to the worker.
    NeverSeen,
    /// The attempt is running.
    Running,
    /// The attempt was completed and the result is present.
    Completed,
    /// The attempt was run and failed.
    Failed,
    /// The attempt was refused or stopped before it ran.
    NotStarted,
}

/// Answer of a worker about an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttemptBody {
    /// Identity of the attempt.
    pub attempt_id: AttemptId,
    /// Incarnation of the answering worker.
    pub incarnation: Incarnation,
    /// State of the attempt.
    pub state: AttemptState,
    /// Result of a completed attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
    /// Human-readable reason of a failure or refusal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Run time in microseconds.
    #[serde(default)]
    pub run_time_us: u64,
}

/// Answer of an entry to an announcement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnnouncedBody {
    /// Time until the announcement must be renewed, in milliseconds.
    pub renew_within_ms: u64,
}
