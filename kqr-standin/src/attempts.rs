use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use kqr_types::{AttemptId, Incarnation, KeyDigest, TaskIndex};
use kqr_wire::targets::{AttemptBody, AttemptState};
use serde::{Deserialize, Serialize};

/// A task that was started more than once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DuplicateStart {
    /// Digest of the job's key.
    pub job: KeyDigest,
    /// Position of the task.
    pub task: TaskIndex,
    /// Number of starts.
    pub starts: u32,
}

/// Body of `GET /standin/starts`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StartsBody {
    /// Each attempt that was started, in order.
    pub attempts: Vec<String>,
    /// Path and query of each single request that was run, in order.
    #[serde(default)]
    pub requests: Vec<String>,
    /// Tasks that were started more than once here.
    pub duplicates: Vec<DuplicateStart>,
    /// Attempts that were run to their end.
    pub finished: u64,
    /// Starts that were refused.
    pub refused: u64,
    /// Questions about attempts.
    pub questions: u64,
}

#[derive(Debug, Default)]
struct Inner {
    states: BTreeMap<AttemptId, AttemptBody>,
    started: Vec<AttemptId>,
    requests: Vec<String>,
    finished: u64,
    refused: u64,
    questions: u64,
}

/// The attempts that a stand-in has seen.
#[derive(Debug)]
pub struct Attempts {
    incarnation: Incarnation,
    inner: Mutex<Inner>,
}

impl Attempts {
    /// Creates the record of a stand-in in its life `incarnation`.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            inner: Mutex::default(),
        }
    }

    /// Returns an answer about `attempt` without a result.
    pub fn body(&self, attempt: AttemptId, state: AttemptState) -> AttemptBody {
        let incarnation = self.incarnation;
        AttemptBody {
            attempt_id: attempt,
            incarnation,
            state,
            result: None,
            reason: None,
            run_time_us: 0,
        }
    }

    /// Records the start of `attempt`, or returns its state if it was seen before.
    ///
    /// # Errors
    ///
    /// Returns the known state of an attempt that was started or fenced before.
    pub fn start(&self, attempt: AttemptId) -> Result<(), AttemptBody> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = inner.states.get(&attempt) {
            return Err(known.clone());
        }
        inner
            .states
            .insert(attempt, self.body(attempt, AttemptState::Running));
        inner.started.push(attempt);
        Ok(())
    }

    /// Records the end of an attempt, unless it was stopped before.
    pub fn finish(&self, ended: AttemptBody) -> AttemptBody {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let known = inner.states.get(&ended.attempt_id).cloned();
        if let Some(known) = known.filter(|known| known.state != AttemptState::Running) {
            return known;
        }
        inner.states.insert(ended.attempt_id, ended.clone());
        inner.finished += 1;
        ended
    }

    /// Records that a single request was run.
    pub fn requested(&self, path: String) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.requests.push(path);
    }

    /// Counts a refused start and returns its answer.
    pub fn refuse(&self, attempt: AttemptId, reason: &str) -> AttemptBody {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.refused += 1;
        let mut answer = self.body(attempt, AttemptState::NotStarted);
        answer.reason = Some(reason.to_owned());
        answer
    }

    /// Returns the state of an attempt.
    pub fn state(&self, attempt: AttemptId) -> AttemptBody {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.questions += 1;
        let known = inner.states.get(&attempt).cloned();
        known.unwrap_or_else(|| self.body(attempt, AttemptState::NeverSeen))
    }

    /// Stops a running attempt, or fences one that was never seen, so that a late start is refused.
    pub fn stop(&self, attempt: AttemptId) -> AttemptBody {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let known = inner
            .states
            .entry(attempt)
            .or_insert_with(|| self.body(attempt, AttemptState::NotStarted));
        if known.state == AttemptState::Running {
            known.state = AttemptState::Failed;
            known.reason = Some("stopped".to_owned());
        }
        known.clone()
    }

    /// Returns the starts so far.
    pub fn starts(&self) -> StartsBody {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let mut counts: BTreeMap<(KeyDigest, TaskIndex), u32> = BTreeMap::new();
        for attempt in &inner.started {
            *counts.entry((attempt.job, attempt.task)).or_default() += 1;
        }
        let mut duplicates = Vec::new();
        for ((job, task), starts) in counts {
            if starts > 1 {
                duplicates.push(DuplicateStart { job, task, starts });
            }
        }
        let attempts = inner.started.iter().map(ToString::to_string).collect();
        StartsBody {
            attempts,
            requests: inner.requests.clone(),
            duplicates,
            finished: inner.finished,
            refused: inner.refused,
            questions: inner.questions,
        }
    }
}
