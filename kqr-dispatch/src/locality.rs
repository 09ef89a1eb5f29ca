//! Decides how long a task waits for a target on the rack that holds its data.

use std::time::Duration;

/// Largest factor that is taken into account, so that durations stay in range.
const MAX_SLOWDOWN: f32 = 1000.0;

/// Multiple of the expected wait that must fit into the time left on time. Run times are estimated with an error of 40%, and a
/// wait that fails ends with a run elsewhere that is late and takes the additional time as well.
const WAIT_MARGIN: u32 = 2;

/// What a task may expect on the rack of its data, and elsewhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RackChoice {
    /// Expected wait for a target on the rack.
    pub(crate) rack_wait: Duration,
    /// Expected wait for any other target.
    pub(crate) elsewhere_wait: Duration,
    /// Expected run time on the rack.
    pub(crate) run_time: Duration,
    /// Factor on the run time elsewhere.
    pub(crate) slowdown: f32,
    /// Time left until an end of the run counts as late.
    pub(crate) on_time_left: Duration,
    /// Upper bound of the wait.
    pub(crate) max_wait: Duration,
}

impl RackChoice {
    /// Returns whether the task is to wait for the rack.
    pub(crate) fn does_wait_pay(&self) -> bool {
        self.wait_limit().is_some()
    }

    /// Returns how long a wait for the rack pays, or `None` if the task is to take any target at once.
    ///
    /// A wait must be expected to end earlier than a run elsewhere, with a margin for wrong estimates. It ends while the run can still be on time: elsewhere, if
    /// that is possible at all, and otherwise on the rack. A task that is late in any case does not wait.
    pub(crate) fn wait_limit(&self) -> Option<Duration> {
        let slowdown = self.slowdown.clamp(1.0, MAX_SLOWDOWN);
        let run_elsewhere = self.run_time.mul_f64(f64::from(slowdown));
        let gain = self.elsewhere_wait + run_elsewhere.saturating_sub(self.run_time);
        if self.rack_wait >= gain {
            return None;
        }
        let elsewhere = self.on_time_left.checked_sub(self.elsewhere_wait + run_elsewhere);
        let rack = self.on_time_left.checked_sub(self.run_time);
        let latest = elsewhere.or(rack)?;
        let limit = latest.min(gain).min(self.max_wait);
        (self.rack_wait * WAIT_MARGIN <= latest && self.rack_wait < limit).then_some(limit)
    }
}

#[cfg(test)]
mod tests;
