use kqr_types::{Instant, Rate};

/// Tokens that accrue at a rate and are kept up to a burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: Rate,
    burst: f64,
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Instant, rate: Rate, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            filled: now,
        }
    }

    /// Changes rate and burst; the tokens are kept as far as the new burst allows.
    pub fn set_limits(&mut self, now: Instant, rate: Rate, burst: f64) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes `count` tokens and returns whether they were there. A full bucket gives more tokens than its burst once,
    /// and is in debt afterwards; otherwise a job larger than the burst could never be served.
    pub fn take(&mut self, now: Instant, count: f64) -> bool {
        self.fill(now);
        let is_full = self.tokens >= self.burst;
        if self.tokens < count && !is_full {
            return false;
        }
        self.tokens -= count;
        true
    }

    /// Gives tokens back that were taken and not used.
    pub fn refund(&mut self, count: f64) {
        self.tokens = (self.tokens + count).min(self.burst);
    }

    /// Returns the time until `count` tokens, or a full bucket, will be there.
    pub fn time_until(&self, count: f64) -> std::time::Duration {
        let missing = (count.min(self.burst) - self.tokens).max(0.0);
        let longest = std::time::Duration::from_secs(3600);
        std::time::Duration::try_from_secs_f64(missing / self.rate.0)
            .map_or(longest, |time| time.min(longest))
    }

    fn fill(&mut self, now: Instant) {
        let gained = now.since(self.filled).as_secs_f64() * self.rate.0;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled = self.filled.max(now);
    }
}
