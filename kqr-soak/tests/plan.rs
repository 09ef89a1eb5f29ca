//! A plan depends on its seed only, and its faults stay within what the system tolerates.

use std::time::Duration;

use kqr_soak::{ClusterSize, Fault, Plan, PlanOptions, PlannedFault};

const CLUSTER_SIZE: ClusterSize = ClusterSize {
    controls: 3,
    entries: 3,
    targets: 6,
};
const OPTIONS: PlanOptions = PlanOptions {
    cluster_size: CLUSTER_SIZE,
    length: Duration::from_secs(12),
    replaces_controls: false,
};
const REPLACEMENT_OPTIONS: PlanOptions = PlanOptions {
    replaces_controls: true,
    ..OPTIONS
};

/// Returns whether a control instance is down because of the fault.
fn disrupts_control(planned: &PlannedFault) -> bool {
    matches!(
        planned.fault,
        Fault::KillControl(_)
            | Fault::WipeControl(_)
            | Fault::TearControl(_)
            | Fault::PauseControl(_)
            | Fault::TermControl(_)
            | Fault::ReplaceControl(_)
            | Fault::ReplaceControlPlanned(_)
            | Fault::ControlLink(_, _)
    )
}

fn is_replacement(planned: &PlannedFault) -> bool {
    matches!(
        planned.fault,
        Fault::ReplaceControl(_) | Fault::ReplaceControlPlanned(_)
    )
}

#[test]
fn a_seed_always_draws_the_same_faults() {
    for options in [OPTIONS, REPLACEMENT_OPTIONS] {
        assert_eq!(Plan::draw(7, options), Plan::draw(7, options));
        assert_ne!(Plan::draw(7, options), Plan::draw(8, options));
    }
}

#[test]
fn no_control_instance_is_stopped_while_another_recovers_from_a_lost_disk() {
    for (seed, options) in (0..200).flat_map(|seed| [(seed, OPTIONS), (seed, REPLACEMENT_OPTIONS)]) {
        let plan = Plan::draw(seed, options);
        for (index, planned) in plan.faults.iter().enumerate() {
            if !matches!(planned.fault, Fault::WipeControl(_)) {
                continue;
            }
            let recovered_at = planned.at + planned.duration + Duration::from_secs(8);
            let others = plan.faults.iter().skip(index + 1);
            let mut others = others.take_while(|other| other.at < recovered_at);
            assert!(!others.any(disrupts_control), "seed {seed}: {plan:?}");
        }
    }
}

#[test]
fn no_control_instance_is_disrupted_before_the_successor_of_another_has_caught_up() {
    for seed in 0..200 {
        let plan = Plan::draw(seed, REPLACEMENT_OPTIONS);
        for (index, planned) in plan.faults.iter().enumerate() {
            let successor_start = match planned.fault {
                Fault::ReplaceControl(_) => planned.at + Duration::from_secs(1),
                Fault::ReplaceControlPlanned(_) => planned.at,
                _ => continue,
            };
            let caught_up_at = successor_start + Duration::from_secs(4);
            let others = plan.faults.iter().skip(index + 1);
            let mut others = others.take_while(|other| other.at < caught_up_at);
            assert!(!others.any(disrupts_control), "seed {seed}: {plan:?}");
        }
    }
}

#[test]
fn no_control_instance_is_replaced_while_another_is_down() {
    for seed in 0..200 {
        let plan = Plan::draw(seed, REPLACEMENT_OPTIONS);
        for (index, planned) in plan.faults.iter().enumerate() {
            if !disrupts_control(planned) || is_replacement(planned) {
                continue;
            }
            let ended_at = planned.at + planned.duration + Duration::from_secs(4);
            let others = plan.faults.iter().skip(index + 1);
            let mut others = others.take_while(|other| other.at < ended_at);
            assert!(!others.any(is_replacement), "seed {seed}: {plan:?}");
        }
    }
}

#[test]
fn control_instances_are_replaced_in_series_between_other_faults() {
    let (mut series, mut unplanned, mut planned) = (0, 0, 0);
    for seed in 0..200 {
        let plan = Plan::draw(seed, REPLACEMENT_OPTIONS);
        let disruptions: Vec<_> = plan
            .faults
            .iter()
            .filter(|fault| disrupts_control(fault))
            .collect();
        let has_series = disruptions.windows(2).any(|pair| {
            is_replacement(pair[0])
                && is_replacement(pair[1])
                && pair[1].at < pair[0].at + Duration::from_secs(6)
        });
        series += u32::from(has_series);
        unplanned += u32::from(
            disruptions
                .iter()
                .any(|planned| matches!(planned.fault, Fault::ReplaceControl(_))),
        );
        planned += u32::from(
            disruptions
                .iter()
                .any(|planned| matches!(planned.fault, Fault::ReplaceControlPlanned(_))),
        );
        assert!(disruptions.len() < plan.faults.len() / 2, "seed {seed}: {plan:?}");
    }
    assert!(series >= 100, "{series} of 200");
    assert!(unplanned >= 100, "{unplanned} of 200");
    assert!(planned >= 100, "{planned} of 200");
}

#[test]
fn control_instances_are_replaced_only_if_the_options_say_so() {
    for seed in 0..200 {
        let plan = Plan::draw(seed, OPTIONS);
        assert!(!plan.faults.iter().any(is_replacement), "seed {seed}: {plan:?}");
    }
}
