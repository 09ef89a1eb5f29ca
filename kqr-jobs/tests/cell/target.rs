use std::collections::BTreeMap;

use kqr_jobs::TaskResult;
use kqr_types::{AttemptId, Incarnation};

/// A fake target. It records the attempts of its current incarnation and starts each at most once.
pub struct Target {
    pub incarnation: Incarnation,
    pub is_alive: bool,
    pub is_refusing: bool,
    pub run_time_us: u64,
    results: BTreeMap<AttemptId, Option<TaskResult>>,
}

impl Target {
    pub fn new() -> Self {
        Self {
            incarnation: Incarnation(1),
            is_alive: true,
            is_refusing: false,
            run_time_us: 20_000,
            results: BTreeMap::new(),
        }
    }

    /// Handles the start of an attempt; returns whether the attempt runs from now on.
    pub fn start(&mut self, attempt: AttemptId) -> bool {
        if self.results.contains_key(&attempt) {
            return false;
        }
        let refusal = TaskResult::NotStarted("refused".to_owned());
        self.results.insert(attempt, self.is_refusing.then_some(refusal));
        !self.is_refusing
    }

    pub fn finish(&mut self, attempt: AttemptId, result: TaskResult) {
        if let Some(state) = self.results.get_mut(&attempt) {
            state.get_or_insert(result);
        }
    }

    /// Returns the result of an attempt, or `None` while it runs. An attempt that was never seen is fenced.
    pub fn query(&mut self, attempt: AttemptId) -> Option<TaskResult> {
        let fence = || Some(TaskResult::NotStarted("never seen".to_owned()));
        self.results.entry(attempt).or_insert_with(fence).clone()
    }

    pub fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.is_alive = true;
        self.results.clear();
    }
}
