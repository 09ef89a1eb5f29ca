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
mod tests {
    use super::*;

    const fn ms(millis: u64) -> Duration {
        Duration::from_millis(millis)
    }

    const fn choice(rack_wait_ms: u64, slowdown: f32) -> RackChoice {
        RackChoice {
            rack_wait: ms(rack_wait_ms),
            elsewhere_wait: ms(0),
            run_time: ms(50),
            slowdown,
            on_time_left: ms(140),
            max_wait: ms(500),
        }
    }

    #[test]
    fn a_wait_ends_when_a_run_elsewhere_would_end_earlier() {
        assert_eq!(choice(10, 1.5).wait_limit(), Some(ms(25)));
        assert_eq!(choice(25, 1.5).wait_limit(), None, "75 ms either way");
    }

    /// With a factor of 3 a run elsewhere is late, so the wait may last as long as the run on the rack is on time.
    #[test]
    fn a_wait_ends_while_the_run_on_the_rack_can_be_on_time() {
        assert_eq!(choice(10, 3.0).wait_limit(), Some(ms(90)));
        assert_eq!(choice(45, 3.0).wait_limit(), Some(ms(90)));
        assert_eq!(choice(46, 3.0).wait_limit(), None);
    }

    #[test]
    fn a_task_that_is_on_time_elsewhere_does_not_risk_that_by_waiting() {
        let tight = RackChoice {
            on_time_left: ms(85),
            ..choice(5, 1.5)
        };
        assert_eq!(tight.wait_limit(), Some(ms(10)));
        let tighter = RackChoice {
            rack_wait: ms(6),
            ..tight
        };
        assert_eq!(tighter.wait_limit(), None);
    }

    #[test]
    fn a_late_task_takes_any_target() {
        let late = RackChoice {
            on_time_left: ms(40),
            ..choice(5, 3.0)
        };
        assert_eq!(late.wait_limit(), None);
    }

    #[test]
    fn a_queue_elsewhere_makes_the_wait_pay_for_longer() {
        let queued = RackChoice {
            elsewhere_wait: ms(30),
            on_time_left: ms(500),
            ..choice(40, 1.5)
        };
        assert_eq!(queued.wait_limit(), Some(ms(55)));
        let bounded = RackChoice {
            max_wait: ms(45),
            ..queued
        };
        assert_eq!(bounded.wait_limit(), Some(ms(45)));
        let never = RackChoice {
            max_wait: ms(0),
            ..queued
        };
        assert_eq!(never.wait_limit(), None);
        let no_slowdown = RackChoice {
            slowdown: 1.0,
            elsewhere_wait: ms(0),
            ..queued
        };
        assert_eq!(no_slowdown.wait_limit(), None);
    }
}
