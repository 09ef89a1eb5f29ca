use std::time::Duration;

use kqr_types::Instant;

use crate::{LinkRate, Traffic, bulk_budget::BulkBudget};

/// Longest queue of the link to which bulk messages are added. A message of control traffic waits behind no more than
/// this and one bulk message. In a simulation at 2 Mbit/s, 20 ms doubled the waits of starts at their owners.
const MAX_BULK_QUEUE_MS: f64 = 10.0;
/// Time over which the utilisation is averaged.
const AVERAGING_MS: f64 = 250.0;
/// Utilisation from which on control traffic gets rarer, and at which it is at its rarest.
const EASY_UTILISATION: f64 = 0.5;
const FULL_UTILISATION: f64 = 0.9;
/// Share of the link above which control traffic is at its rarest.
const CONTROL_SHARE: f64 = 0.4;
/// Least share of the link on which the forecast for bulk messages counts.
const MIN_BULK_SHARE: f64 = 0.25;
/// Longest time by which a timeout is extended. A lost target must still be noticed before the leases of its runs end.
const MAX_EXTENSION: Duration = Duration::from_millis(100);

/// Bytes of the two classes of messages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ByClass {
    control: f64,
    bulk: f64,
}

impl ByClass {
    fn total(self) -> f64 {
        self.control + self.bulk
    }

    fn class_of(&mut self, traffic: Traffic) -> &mut f64 {
        match traffic {
            Traffic::Orders | Traffic::Starts => &mut self.bulk,
            _ => &mut self.control,
        }
    }
}

/// Model of the sending side of the machine's link: a server with a rate and a queue.
///
/// Orders and starts, which carry payloads, are bulk; everything else is control traffic. Without a rate, the queue is
/// always empty.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Link {
    rate: Option<LinkRate>,
    queued: ByClass,
    /// Sent bytes, each of which counts less as time passes.
    recent: ByClass,
    updated_at: Instant,
}

impl Link {
    /// Creates the model of an idle link.
    pub fn new(rate: Option<LinkRate>) -> Self {
        Self {
            rate,
            ..Self::default()
        }
    }

    /// Returns whether the link has a rate.
    pub const fn is_limited(&self) -> bool {
        self.rate.is_some()
    }

    /// Adds a message to the queue.
    pub fn send(&mut self, now: Instant, traffic: Traffic, bytes: u64) {
        if self.rate.is_none() {
            return;
        }
        self.advance(now);
        *self.queued.class_of(traffic) += bytes as f64;
        *self.recent.class_of(traffic) += bytes as f64;
    }

    /// Removes what the link has carried until `now`. Control traffic leaves the queue first.
    pub fn advance(&mut self, now: Instant) {
        let passed = now.since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let Some(rate) = self.rate else { return };
        let passed_ms = passed.as_secs_f64() * 1000.0;
        let carried = rate.bytes_per_ms() * passed_ms;
        let left = (carried - self.queued.control).max(0.0);
        self.queued.control = (self.queued.control - carried).max(0.0);
        self.queued.bulk = (self.queued.bulk - left).max(0.0);
        let kept = (-passed_ms / AVERAGING_MS).exp();
        self.recent.control *= kept;
        self.recent.bulk *= kept;
    }

    /// Returns the queued bytes of control traffic and of bulk.
    pub const fn queued_bytes(&self) -> (u64, u64) {
        (self.queued.control as u64, self.queued.bulk as u64)
    }

    /// Returns how long a message waits that is sent now.
    pub fn expected_wait(&self) -> Duration {
        self.rate.map_or(Duration::ZERO, |rate| {
            milliseconds(self.queued.total() / rate.bytes_per_ms())
        })
    }

    /// Returns the time by which the timeout of a call is extended, in whole milliseconds.
    pub fn timeout_extension(&self) -> Duration {
        let wait = self.expected_wait().min(MAX_EXTENSION);
        Duration::from_millis(wait.as_millis() as u64)
    }

    /// Returns the part of the link's rate that was used lately. It exceeds 1 while the queue grows.
    pub fn utilisation(&self) -> f64 {
        self.share_of(self.recent.total())
    }

    /// Returns how far control traffic must be slowed down, from 0 (not at all) to 1.
    pub fn pressure(&self) -> f64 {
        let range = FULL_UTILISATION - EASY_UTILISATION;
        let by_utilisation = (self.utilisation() - EASY_UTILISATION) / range;
        let by_control = self.share_of(self.recent.control) * 2.0 / CONTROL_SHARE - 1.0;
        by_utilisation.max(by_control).clamp(0.0, 1.0)
    }

    /// Returns the duration between `usual` and `longest` that the pressure asks for.
    pub fn stretch(&self, usual: Duration, longest: Duration) -> Duration {
        usual + longest.saturating_sub(usual).mul_f64(self.pressure())
    }

    /// Returns the bulk that may be sent now.
    pub(crate) fn bulk_budget(&self) -> BulkBudget {
        let Some(rate) = self.rate else {
            return BulkBudget::default();
        };
        let free = MAX_BULK_QUEUE_MS * rate.bytes_per_ms() - self.queued.total();
        BulkBudget::limited(free.max(0.0) as u64)
    }

    /// Returns the time until the queue and `bytes` more of bulk have passed, beside the control traffic.
    pub fn bulk_time(&self, bytes: u64) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        let share = (1.0 - self.share_of(self.recent.control)).max(MIN_BULK_SHARE);
        milliseconds((self.queued.total() + bytes as f64 / share) / rate.bytes_per_ms())
    }

    fn share_of(&self, recent: f64) -> f64 {
        self.rate
            .map_or(0.0, |rate| recent / (rate.bytes_per_ms() * AVERAGING_MS))
    }
}

fn milliseconds(millis: f64) -> Duration {
    Duration::from_secs_f64(millis / 1000.0)
}
