use kqr_types::{AttemptId, Instant, KeyDigest, TaskIndex};

use crate::{
    CallerId, JobAnswer, JobState, Submission, TaskAnswer, TaskResult, WaitingTask,
    task::{Phase, Task},
};

/// State of one job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The submission that created the job.
    pub submission: Submission,
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Instant by which the caller wants the answer.
    pub deadline: Instant,
    /// One state for each task.
    pub tasks: Vec<Task>,
    /// Callers that wait for the answer.
    pub callers: Vec<CallerId>,
    /// Whether a caller cancelled the job.
    pub is_cancelled: bool,
    /// Instant of the end of the last task.
    pub ended: Option<Instant>,
}

impl Job {
    /// Creates a job whose tasks all wait.
    pub fn new(now: Instant, submission: Submission) -> Self {
        let tasks = submission.tasks.iter().map(|_| Task::new()).collect();
        let digest = KeyDigest::of(&submission.key);
        let deadline = now + submission.deadline;
        Self {
            submission,
            digest,
            deadline,
            tasks,
            callers: Vec::new(),
            is_cancelled: false,
            ended: None,
        }
    }

    /// Returns the identity of the current attempt of `task`.
    pub fn attempt_id(&self, task: TaskIndex) -> AttemptId {
        AttemptId {
            job: self.digest,
            task,
            attempt: self.tasks[usize::from(task.0)].attempt,
        }
    }

    /// Describes `task` for the queue.
    pub fn waiting_task(&self, task: TaskIndex) -> WaitingTask {
        let index = usize::from(task.0);
        WaitingTask {
            key: self.submission.key.clone(),
            task,
            team: self.submission.team.clone(),
            service: self.submission.service.clone(),
            deadline: self.deadline,
            avoid: self.tasks[index].avoid.clone(),
            spec: self.submission.tasks[index].clone(),
        }
    }

    /// Returns whether each task has its final result.
    pub fn is_ended(&self) -> bool {
        self.tasks.iter().all(Task::is_ended)
    }

    /// Returns the state of the job.
    pub fn state(&self) -> JobState {
        if !self.is_ended() {
            return JobState::Running;
        }
        let is_complete = self
            .tasks
            .iter()
            .all(|task| matches!(task.phase, Phase::Ended(TaskResult::Completed(_))));
        match (is_complete, self.is_cancelled) {
            (true, _) => JobState::Complete,
            (false, true) => JobState::Cancelled,
            (false, false) => JobState::Failed,
        }
    }

    /// Returns the answer; results are part of complete answers only.
    pub fn answer(&self) -> JobAnswer {
        let state = self.state();
        let mut tasks = Vec::with_capacity(self.tasks.len());
        for (index, task) in self.tasks.iter().enumerate() {
            let (result, reason) = match &task.phase {
                Phase::Ended(TaskResult::Completed(result)) => (Some(result), None),
                Phase::Ended(
                    TaskResult::Failed(reason) | TaskResult::NotStarted(reason) | TaskResult::Unknown(reason),
                ) => (None, Some(reason)),
                Phase::Waiting | Phase::Intended(_) => (None, None),
            };
            tasks.push(TaskAnswer {
                task: TaskIndex(index as u16),
                outcome: task.outcome(),
                result: result.filter(|_| state == JobState::Complete).cloned(),
                reason: reason.cloned(),
            });
        }
        JobAnswer {
            key: self.submission.key.clone(),
            state,
            tasks,
        }
    }
}
