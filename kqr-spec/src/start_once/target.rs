use std::collections::BTreeMap;

use kqr_jobs::TaskResult;
use kqr_types::{AttemptId, Incarnation, TargetId, TaskIndex};

/// A target that runs each attempt at once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target {
    /// Its id.
    pub id: TargetId,
    /// Its life.
    pub incarnation: Incarnation,
    /// What this life knows of attempts.
    known: BTreeMap<AttemptId, TaskResult>,
    /// Starts of each task, over all lives.
    pub starts: BTreeMap<TaskIndex, u8>,
}

impl Target {
    /// Creates a target in its first life.
    pub fn new(id: TargetId) -> Self {
        Self {
            id,
            incarnation: Incarnation(1),
            known: BTreeMap::new(),
            starts: BTreeMap::new(),
        }
    }

    /// Returns how `attempt` ended; runs it if it was never seen.
    pub fn start(&mut self, attempt: AttemptId, is_failing: bool) -> TaskResult {
        if let Some(result) = self.known.get(&attempt) {
            return result.clone();
        }
        *self.starts.entry(attempt.task).or_default() += 1;
        let result = if is_failing {
            TaskResult::Failed("failed".to_owned())
        } else {
            TaskResult::Completed(result_of(attempt.task))
        };
        self.known.insert(attempt, result.clone());
        result
    }

    /// Returns how `attempt` ended. One that was never seen is refused from now on, unless the target is unfenced.
    pub fn ask(&mut self, attempt: AttemptId, is_unfenced: bool) -> TaskResult {
        let refusal = TaskResult::NotStarted("never seen".to_owned());
        if is_unfenced && !self.known.contains_key(&attempt) {
            return refusal;
        }
        self.known.entry(attempt).or_insert(refusal).clone()
    }

    /// Starts a new life.
    pub fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.known.clear();
    }
}

/// Returns the result of a completed task.
pub fn result_of(task: TaskIndex) -> String {
    format!("result of {task}")
}
