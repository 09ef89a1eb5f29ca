use kqr_types::{AttemptId, Instant, KeyDigest, TaskIndex};

use crate::{
    CallerId, JobAnswer, JobRecord, JobState, Outcome, Phase, Submission, TaskAnswer, TaskResult,
    WaitingTask, task::Task,
};

/// Role of a member for a job in the current epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Role {
    /// Holds a replica.
    Follower,
    /// Is the home and has not yet sent the whole record in this epoch.
    NewHome,
    /// Is the home and has sent the whole record in this epoch.
    Home,
}

/// State of one job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Job {
    /// The submission that created the job; without tasks once the job has ended.
    pub submission: Submission,
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Instant until which the caller waits for the answer.
    pub deadline: Instant,
    /// One state for each task.
    pub tasks: Vec<Task>,
    /// Callers that wait for the answer.
    pub callers: Vec<CallerId>,
    /// Role of this member for the job.
    pub role: Role,
    /// Whether a caller cancelled the job.
    pub is_cancelled: bool,
    /// Whether each follower has the final state.
    pub is_settled: bool,
    /// Instant at which the last task ended, or `None` while the job is live.
    pub ended_at: Option<Instant>,
}

impl Job {
    /// Creates a job at its home, with all tasks waiting.
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
            role: Role::NewHome,
            is_cancelled: false,
            is_settled: false,
            ended_at: None,
        }
    }

    /// Creates a job from a record that was received at `now`.
    pub fn from_record(now: Instant, record: JobRecord) -> Self {
        let mut job = Self {
            digest: KeyDigest::of(&record.submission.key),
            submission: record.submission,
            deadline: now + record.remaining,
            tasks: record.tasks.into_iter().map(Task::from).collect(),
            callers: Vec::new(),
            role: Role::Follower,
            is_cancelled: record.is_cancelled,
            is_settled: record.is_settled,
            ended_at: None,
        };
        job.record_end(now);
        job
    }

    /// Returns the record that is sent to other members.
    pub fn record(&self, now: Instant) -> JobRecord {
        JobRecord {
            submission: self.submission.clone(),
            remaining: self.deadline.since(now),
            tasks: self.tasks.iter().map(|task| task.record.clone()).collect(),
            is_cancelled: self.is_cancelled,
            is_settled: self.is_settled,
        }
    }

    /// Merges `record` into this job; at equal progress the record wins if it is settled or `is_preferred`.
    pub fn merge(&mut self, now: Instant, record: JobRecord, is_preferred: bool) {
        if self.is_settled {
            return;
        }
        for (task, other) in self.tasks.iter_mut().zip(record.tasks) {
            task.merge(other, is_preferred || record.is_settled);
        }
        self.is_cancelled |= record.is_cancelled;
        self.is_settled = record.is_settled;
        self.record_end(now);
    }

    /// Records the end of the job once each task has its final result; returns whether this call recorded it.
    pub fn record_end(&mut self, now: Instant) -> bool {
        if self.ended_at.is_some() || !self.tasks.iter().all(Task::is_ended) {
            return false;
        }
        self.ended_at = Some(now);
        self.submission.tasks = Vec::new();
        true
    }

    /// Returns whether this member is the home of the job.
    pub fn is_own(&self) -> bool {
        self.role != Role::Follower
    }

    /// Returns the ID of the current attempt of `task`.
    pub fn attempt_id(&self, task: TaskIndex) -> AttemptId {
        AttemptId {
            job: self.digest,
            task,
            attempt: self.tasks[usize::from(task.0)].record.attempt,
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

    /// Returns whether the job was cancelled or one of its tasks ended without completion, so that no task
    /// may start.
    pub fn cannot_complete(&self) -> bool {
        let is_lost = |task: &Task| matches!(&task.record.phase, Phase::Ended(result) if !matches!(result, TaskResult::Completed(_)));
        self.is_cancelled || self.tasks.iter().any(is_lost)
    }

    /// Returns the state of the job.
    pub fn state(&self) -> JobState {
        if self.ended_at.is_none() {
            return JobState::Running;
        }
        let is_completed = |task: &Task| matches!(task.record.phase, Phase::Ended(TaskResult::Completed(_)));
        match (self.tasks.iter().all(is_completed), self.is_cancelled) {
            (true, _) => JobState::Complete,
            (false, true) => JobState::Cancelled,
            (false, false) => JobState::Failed,
        }
    }

    /// Returns whether the job was run, as far as it is known.
    pub fn outcome(&self) -> Outcome {
        Outcome::of_all(self.tasks.iter().map(Task::outcome))
    }

    /// Returns the answer, which holds results only if the job is complete.
    pub fn answer(&self) -> JobAnswer {
        let state = self.state();
        let mut tasks = Vec::with_capacity(self.tasks.len());
        for (index, task) in self.tasks.iter().enumerate() {
            let (result, reason) = match &task.record.phase {
                Phase::Ended(TaskResult::Completed(result)) => (Some(result), None),
                Phase::Ended(
                    TaskResult::Failed(reason) | TaskResult::NotStarted(reason) | TaskResult::Unknown(reason),
                ) => (None, Some(reason)),
                Phase::Waiting | Phase::Intended { .. } => (None, None),
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
