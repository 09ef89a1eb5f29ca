use std::time::Duration;

use super::*;
use crate::{OrderId, RunId, TaskId};

fn order(job: &str, cpu_milli: u64, label: Option<&str>) -> RunOrder {
    let task = TaskId {
        job: job.parse().unwrap(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    RunOrder {
        id: OrderId(1),
        run: RunId { task, attempt: 1 },
        service: "press".parse().unwrap(),
        needs: Resources {
            cpu_milli,
            memory_mib: 64,
            accelerators: 0,
        },
        estimate: Duration::from_millis(50),
        stated_estimate: Duration::from_millis(50),
        label: label.map(str::to_owned),
        data_rack: None,
        max_per_target: None,
        priority: 0,
        time_left: Duration::from_secs(1),
        on_time_left: Duration::from_millis(140),
        start_left: Duration::from_millis(90),
        has_job_begun: false,
        is_returning: false,
        expected_wait: Duration::ZERO,
        preferred_target: None,
        avoided_targets: Vec::new(),
        failures: 0,
        target_losses: 0,
    }
}

/// A pass ended at the 24th order that fitted nowhere, whatever was queued behind it.
#[test]
fn a_large_task_hides_only_equal_and_larger_ones() {
    let mut misfits = Misfits::default();
    misfits.record(&order("large", 16_000, None));
    assert!(misfits.covers(&order("equal", 16_000, None)));
    assert!(misfits.covers(&order("larger", 24_000, None)));
    assert!(misfits.covers(&order("larger", 24_000, Some("ssd"))));
    assert!(!misfits.covers(&order("smaller", 11_000, None)));
}

#[test]
fn a_task_for_a_label_hides_none_without_it() {
    let mut misfits = Misfits::default();
    misfits.record(&order("labelled", 8_000, Some("ssd")));
    assert!(misfits.covers(&order("same", 8_000, Some("ssd"))));
    assert!(!misfits.covers(&order("other", 8_000, Some("gpu"))));
    assert!(!misfits.covers(&order("any", 16_000, None)));
}

#[test]
fn a_task_that_avoids_targets_hides_none_of_other_jobs() {
    let mut misfits = Misfits::default();
    let mut avoiding = order("avoiding", 8_000, None);
    avoiding.avoided_targets.push("target-1".parse().unwrap());
    for _ in 0..MAX_SEARCHES_PER_JOB {
        assert!(!misfits.covers(&avoiding));
        misfits.record(&avoiding);
    }
    assert!(misfits.covers(&avoiding));
    let mut other = avoiding.clone();
    other.run.task.job = "other".parse().unwrap();
    assert!(!misfits.covers(&other));
    assert!(!misfits.covers(&order("avoiding", 8_000, None)));
}

#[test]
fn failed_searches_of_a_class_are_bounded() {
    let mut misfits = Misfits::default();
    let mut searches = 0;
    for cpu_milli in (0..10_000).rev() {
        let order = order("shrinking", cpu_milli, None);
        if !misfits.covers(&order) {
            misfits.record(&order);
            searches += 1;
        }
    }
    assert_eq!(searches, MAX_SEARCHES_PER_CLASS);
}
