use std::collections::BTreeMap;

use kqr_jobs::TaskResult;
use kqr_types::{AttemptId, Incarnation};

/// A fake target. It remembers each attempt of its present life and counts starts.
pub struct Target {
    pub incarnation: Incarnation,
    pub is_alive: bool,
    pub is_refusing: bool,
    pub run_time: u64,
    known: BTreeMap<AttemptId, Option<TaskResult>>,
}

impl Target {
    pub fn new() -> Self {
        Self {
            incarnation: Incarnation(1),
            is_alive: true,
            is_refusing: false,
            run_time: 20_000,
            known: BTreeMap::new(),
        }
    }

    /// Returns whether the attempt runs from now on.
    pub fn start(&mut self, attempt: AttemptId) -> bool {
        if self.known.contains_key(&attempt) {
            return false;
        }
        let refusal = TaskResult::NotStarted("refused".to_owned());
        self.known.insert(attempt, self.is_refusing.then_some(refusal));
        !self.is_refusing
    }

    pub fn finish(&mut self, attempt: AttemptId, result: TaskResult) {
        if let Some(state) = self.known.get_mut(&attempt) {
            state.get_or_insert(result);
        }
    }

    /// Returns how the attempt ended, `None` while it runs. One that was never seen is refused from now on.
    pub fn ask(&mut self, attempt: AttemptId) -> Option<TaskResult> {
        let fence = || Some(TaskResult::NotStarted("never seen".to_owned()));
        self.known.entry(attempt).or_insert_with(fence).clone()
    }

    pub fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.is_alive = true;
        self.known.clear();
    }
}
