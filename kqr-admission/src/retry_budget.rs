use std::sync::atomic::{AtomicI64, Ordering};

/// Budget of second sends: retries and hedges of jobs' tasks and of relayed requests draw on the same one.
///
/// Each first send adds a part of a token, and each second send takes a token, so that second sends stay a bounded
/// part of the load also when everything fails. Threads share it without locks.
#[derive(Debug)]
pub struct RetryBudget {
    thousandths: AtomicI64,
    kept: i64,
}

impl RetryBudget {
    /// Thousandths of a token that a first send adds: second sends are at most a tenth of first ones.
    const EARNED: i64 = 100;
    /// Thousandths of a token that a second send takes.
    const SPENT: i64 = 1000;
    /// Second sends that are kept after a quiet time, where nothing else is said.
    const KEPT_TOKENS: u32 = 50;

    /// Creates a full budget.
    pub fn new() -> Self {
        Self::with_max_tokens(Self::KEPT_TOKENS)
    }

    /// Creates a full budget that keeps at most `tokens` second sends.
    pub fn with_max_tokens(tokens: u32) -> Self {
        let kept = i64::from(tokens) * Self::SPENT;
        Self {
            thousandths: AtomicI64::new(kept),
            kept,
        }
    }

    /// Counts a first send.
    pub fn deposit(&self) {
        let step = |present: i64| (present < self.kept).then_some((present + Self::EARNED).min(self.kept));
        let _ = self
            .thousandths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }

    /// Takes a token for a second send and returns whether there was one.
    pub fn try_withdraw(&self) -> bool {
        let step = |present: i64| (present >= Self::SPENT).then_some(present - Self::SPENT);
        self.thousandths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step)
            .is_ok()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
