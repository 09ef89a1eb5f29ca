use std::sync::atomic::{AtomicI64, Ordering};

/// Budget for retries and hedges of tasks and of relayed requests.
///
/// Each first send deposits a fraction of a token and each retry or hedge withdraws a token, which bounds the
/// fraction of the load that they add even if every send fails. The budget is lock-free and can be shared
/// between threads.
#[derive(Debug)]
pub struct RetryBudget {
    balance_thousandths: AtomicI64,
    max_thousandths: i64,
}

impl RetryBudget {
    /// Thousandths of a token that a first send deposits. Retries and hedges are at most a tenth of the first
    /// sends.
    const DEPOSIT_THOUSANDTHS: i64 = 100;
    /// Thousandths of a token that a retry or hedge withdraws.
    const WITHDRAWAL_THOUSANDTHS: i64 = 1000;
    /// Default maximum balance, in tokens.
    const DEFAULT_MAX_TOKENS: u32 = 50;

    /// Creates a full budget.
    pub fn new() -> Self {
        Self::with_max_tokens(Self::DEFAULT_MAX_TOKENS)
    }

    /// Creates a full budget with a maximum balance of `tokens`.
    pub fn with_max_tokens(tokens: u32) -> Self {
        let max_thousandths = i64::from(tokens) * Self::WITHDRAWAL_THOUSANDTHS;
        Self {
            balance_thousandths: AtomicI64::new(max_thousandths),
            max_thousandths,
        }
    }

    /// Deposits a fraction of a token for a first send.
    pub fn deposit(&self) {
        let step = |balance: i64| {
            (balance < self.max_thousandths)
                .then_some((balance + Self::DEPOSIT_THOUSANDTHS).min(self.max_thousandths))
        };
        let _ = self
            .balance_thousandths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
    }

    /// Withdraws a token for a retry or hedge and returns whether one was available.
    pub fn try_withdraw(&self) -> bool {
        let step = |balance: i64| {
            (balance >= Self::WITHDRAWAL_THOUSANDTHS).then_some(balance - Self::WITHDRAWAL_THOUSANDTHS)
        };
        self.balance_thousandths
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, step)
            .is_ok()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
