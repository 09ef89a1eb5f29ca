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
