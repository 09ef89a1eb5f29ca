use std::sync::atomic::{AtomicI64, Ordering};

/// Budget that retries and hedges share, so that they can't multiply a crest.
///
/// Each first try earns a part of a token, each retry or hedge costs a whole one.
#[derive(Debug)]
pub struct Budget {
    milli_tokens: AtomicI64,
}

/// Cost of a retry or hedge, in thousandths of a token.
const COST: i64 = 1000;
/// Earned by each first try, in thousandths of a token: at most one retry or hedge for ten requests.
const EARNED: i64 = 100;
/// Most tokens that are saved up, in thousandths.
const MAX_SAVED: i64 = 10 * COST;

impl Budget {
    /// Creates a budget that is full.
    pub fn new() -> Self {
        Self {
            milli_tokens: AtomicI64::new(MAX_SAVED),
        }
    }

    /// Records a first try.
    pub fn earn(&self) {
        let step = |saved: i64| Some((saved + EARNED).min(MAX_SAVED));
        let _ = self
            .milli_tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }

    /// Takes the cost of a retry or hedge and returns whether it was there.
    pub fn spend(&self) -> bool {
        let step = |saved: i64| (saved >= COST).then_some(saved - COST);
        self.milli_tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step)
            .is_ok()
    }
}
