//! Request and response bodies of the callers' HTTP interface.

use kqr_jobs::{JobState, Outcome};
use kqr_types::{ByteSize, ClassName, JobKey, ServiceName, TaskIndex};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/jobs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Tasks of the job, 1 to 190.
    pub tasks: Vec<TaskBody>,
}

/// One task of [`JobBody`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    /// Class of tasks with similar run times.
    pub class: ClassName,
    /// Payload, passed to the target unchanged.
    pub payload: String,
    /// Declared run time in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_time_ms: Option<u64>,
    /// Declared number of cores.
    #[serde(default = "one_core")]
    pub cores: u32,
    /// Declared memory.
    #[serde(default)]
    pub memory: ByteSize,
    /// Declared number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

const fn one_core() -> u32 {
    1
}

/// Body of the answer about a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAnswerBody {
    /// Key of the job.
    pub key: JobKey,
    /// State of the job.
    pub state: JobState,
    /// Whether the job was run, as far as known.
    pub outcome: Outcome,
    /// Answers of the tasks, in the order of the tasks.
    pub tasks: Vec<TaskAnswerBody>,
}

/// One task of [`JobAnswerBody`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAnswerBody {
    /// Index of the task within the job.
    pub task: TaskIndex,
    /// Whether the task was run, as far as known.
    pub outcome: Outcome,
    /// Result of the task; present in complete answers only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
    /// Reason why the task was not completed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

impl From<kqr_jobs::JobAnswer> for JobAnswerBody {
    fn from(answer: kqr_jobs::JobAnswer) -> Self {
        let outcome = answer.outcome();
        let mut tasks = Vec::with_capacity(answer.tasks.len());
        for task in answer.tasks {
            let kqr_jobs::TaskAnswer {
                task,
                outcome,
                result,
                reason,
            } = task;
            tasks.push(TaskAnswerBody {
                task,
                outcome,
                result,
                reason,
            });
        }
        Self {
            key: answer.key,
            state: answer.state,
            outcome,
            tasks,
        }
    }
}

/// Body of a refusal, of media type `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// Short name of the problem type.
    #[serde(rename = "type")]
    pub kind: String,
    /// HTTP status code.
    pub status: u16,
    /// Human-readable explanation.
    pub detail: String,
    /// Whether the work was run, as far as known.
    pub outcome: Outcome,
    /// Field of the request that is invalid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
}
