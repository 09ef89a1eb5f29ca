//! Pacing of the messages of this entry to the rate of its link.

use std::time::Duration;

use kqr_types::Instant;

use super::Dispatcher;
use crate::{JobRequest, Link, Options, message_size::START_BYTES};

impl Dispatcher {
    /// Returns the model of the link.
    pub const fn link(&self) -> &Link {
        &self.link
    }

    /// Determines what may be sent while an input is handled.
    pub(super) fn pace(&mut self, now: Instant) {
        if !self.link.is_limited() {
            return;
        }
        self.link.advance(now);
        self.owned.bulk = self.link.bulk_budget();
        let options = &self.options;
        self.owned.poll_wait = self
            .link
            .stretch(options.max_poll_wait, options.max_busy_poll_wait);
    }

    /// Returns the options with the intervals of load reports that the link allows.
    pub(super) fn paced_options(&self) -> Options {
        let options = &self.options;
        Options {
            min_report_interval: self
                .link
                .stretch(options.min_report_interval, options.min_busy_report_interval),
            max_report_interval: self
                .link
                .stretch(options.max_report_interval, options.max_busy_report_interval),
            ..options.clone()
        }
    }

    /// Returns the expected time until the orders and starts of a job have passed. The starts pass the links of the
    /// owners, whose state is taken to be that of the own link.
    pub(super) fn expected_link_time(&self, now: Instant, request: &JobRequest) -> Duration {
        if !self.link.is_limited() {
            return Duration::ZERO;
        }
        let held_orders = self.jobs.held_bytes(now);
        let held_starts = self.owned.held_bytes(now);
        let owners = self.siblings.iter().count() as u64;
        let orders = self
            .link
            .bulk_time(held_orders + held_starts + request.order_bytes(owners));
        let start = START_BYTES + request.spec.len() as u64;
        orders + self.link.bulk_time(held_starts + start)
    }
}
