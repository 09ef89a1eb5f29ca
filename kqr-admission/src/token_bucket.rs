use kqr_types::{Instant, Rate};

/// Token bucket that refills at a constant rate up to a burst size.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: Rate,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Instant, rate: Rate, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Changes the rate and the burst size. Tokens beyond the new burst size are dropped.
    pub fn set_limits(&mut self, now: Instant, rate: Rate, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes `count` tokens and returns whether they were available. A full bucket allows a `count` above its
    /// burst size and goes into debt, because a job larger than the burst could never be admitted otherwise.
    pub fn take(&mut self, now: Instant, count: f64) -> bool {
        self.refill(now);
        let is_full = self.tokens >= self.burst;
        if self.tokens < count && !is_full {
            return false;
        }
        self.tokens -= count;
        true
    }

    /// Refunds tokens that were taken and not used.
    pub fn refund(&mut self, count: f64) {
        self.tokens = (self.tokens + count).min(self.burst);
    }

    /// Returns the time until `count` tokens are available or the bucket is full, at most one hour.
    pub fn time_until(&self, count: f64) -> std::time::Duration {
        let missing = (count.min(self.burst) - self.tokens).max(0.0);
        let max_wait = std::time::Duration::from_secs(3600);
        std::time::Duration::try_from_secs_f64(missing / self.rate.0)
            .map_or(max_wait, |wait| wait.min(max_wait))
    }

    fn refill(&mut self, now: Instant) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate.0;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
