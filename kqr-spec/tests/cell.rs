//! The cell keeps its promises in each scenario, and each broken variant is found out.

use std::time::Duration;

use kqr_spec::{
    Model, Verdict,
    cell::{CellBudget, CellFault, CellInvariant, CellModel, CellScenario},
    search,
};

/// Position of the instance that leads at first, by the seeds of the election timeouts.
const FIRST_LEADER: usize = 2;
/// Clocks and seed of the election timeouts, of which the first leader's gains.
const FAST_LEADER: ([u64; 3], u64) = ([900, 1_000, 1_100], 0);
/// Clocks and seed of the election timeouts, of which the first leader's loses.
const SLOW_LEADER: ([u64; 3], u64) = ([1_100, 1_000, 900], 1);
/// Most states of one search.
const MOST: usize = 200_000;

/// Time between two points at which events may happen.
const PERIOD: Duration = Duration::from_millis(200);

const NOTHING: CellBudget = CellBudget {
    periods: 14,
    isolations: 0,
    cuts: 0,
    heals: 0,
    holds: 0,
    duplicates: 0,
    crashes: 0,
    restarts: 0,
    reboots: 0,
    majority_losses: 0,
    outages: 0,
    syncs: 0,
    leaves: 0,
};

const ISOLATION: CellBudget = CellBudget {
    isolations: 1,
    heals: 1,
    ..NOTHING
};

const HELD: CellBudget = CellBudget {
    periods: 13,
    isolations: 1,
    holds: 1,
    duplicates: 1,
    ..NOTHING
};

const RESTART: CellBudget = CellBudget {
    crashes: 1,
    restarts: 1,
    syncs: 1,
    ..NOTHING
};

const RESTART_WITH_HELD: CellBudget = CellBudget {
    periods: 10,
    holds: 1,
    crashes: 1,
    restarts: 1,
    ..NOTHING
};

const LEAVE: CellBudget = CellBudget {
    periods: 13,
    leaves: 1,
    crashes: 1,
    restarts: 1,
    ..NOTHING
};

const CUTS: CellBudget = CellBudget {
    cuts: 2,
    heals: 1,
    ..NOTHING
};

const COLD_START: CellBudget = CellBudget {
    periods: 18,
    isolations: 1,
    majority_losses: 1,
    heals: 1,
    ..NOTHING
};

const OUTAGE: CellBudget = CellBudget {
    outages: 1,
    isolations: 1,
    heals: 1,
    ..NOTHING
};

const LOST_REPAIR: CellBudget = CellBudget {
    periods: 15,
    isolations: 2,
    reboots: 1,
    ..NOTHING
};

fn scenario(name: &'static str, budget: CellBudget) -> CellScenario {
    CellScenario {
        name,
        rates_per_mille: FAST_LEADER.0,
        seed: FAST_LEADER.1,
        drift_per_mille: 100,
        period: PERIOD,
        budget,
        checked: None,
        fault: None,
    }
}

fn verdict(scenario: CellScenario) -> Verdict {
    let model = CellModel::new(scenario);
    assert!(
        model.initial().is_whole(),
        "{}: not whole at first",
        scenario.name
    );
    assert_eq!(model.initial().leader(), Some(FIRST_LEADER));
    let verdict = search(&model, MOST);
    let CellScenario {
        name,
        fault,
        rates_per_mille,
        ..
    } = scenario;
    println!("{name}, clocks {rates_per_mille:?}, fault {fault:?}: {verdict}");
    verdict
}

fn holds(name: &'static str, budget: CellBudget) {
    for (rates_per_mille, seed) in [FAST_LEADER, SLOW_LEADER] {
        let scenario = CellScenario {
            rates_per_mille,
            seed,
            ..scenario(name, budget)
        };
        let verdict = verdict(scenario);
        assert!(matches!(verdict, Verdict::Holds { .. }), "{name}: {verdict}");
    }
}

fn is_violated(expected: CellInvariant, broken: CellScenario) {
    let scenario = CellScenario {
        checked: Some(expected),
        ..broken
    };
    let verdict = verdict(scenario);
    let is_found = matches!(&verdict, Verdict::Violated { invariant, trace, .. }
        if invariant.starts_with(expected.as_str()) && !trace.is_empty());
    assert!(is_found, "{expected} with {:?}: {verdict}", scenario.fault);
}

fn broken(fault: CellFault, budget: CellBudget) -> CellScenario {
    CellScenario {
        fault: Some(fault),
        ..scenario("broken", budget)
    }
}

#[test]
fn an_instance_is_cut_off_and_returns() {
    holds("cut off and back", ISOLATION);
}

#[test]
fn messages_are_held_back_and_arrive_twice() {
    holds("cut off, messages held back", HELD);
}

#[test]
fn an_instance_restarts_and_copies() {
    holds("restart and copy", RESTART);
}

#[test]
fn messages_reach_a_later_life() {
    holds("restart, messages held back", RESTART_WITH_HELD);
}

#[test]
fn an_instance_leaves_and_another_restarts() {
    holds("leave and restart", LEAVE);
}

#[test]
fn links_are_cut_in_one_direction() {
    holds("one-way cuts", CUTS);
}

#[test]
fn all_restart_at_once() {
    holds("outage, then cut off", OUTAGE);
}

#[test]
fn a_second_instance_is_lost_after_a_restart() {
    holds("cut off, restart, another cut off", LOST_REPAIR);
}

#[test]
fn an_instance_is_cut_off_while_the_others_restart() {
    holds("cut off, the others restart", COLD_START);
}

#[test]
fn leases_of_two_epochs_are_found_out() {
    let invariant = CellInvariant::OneLeasedEpoch;
    let slow = CellScenario {
        rates_per_mille: SLOW_LEADER.0,
        seed: SLOW_LEADER.1,
        ..broken(CellFault::ShorterWait, ISOLATION)
    };
    is_violated(invariant, broken(CellFault::CountsOnlyItself, RESTART));
    is_violated(invariant, broken(CellFault::KeepsIdentity, LOST_REPAIR));
    is_violated(invariant, slow);
}

#[test]
fn leases_outside_the_view_are_found_out() {
    let invariant = CellInvariant::LeaseInView;
    is_violated(invariant, broken(CellFault::NoDriftMargin, ISOLATION));
    is_violated(invariant, broken(CellFault::LongerLease, ISOLATION));
    is_violated(invariant, broken(CellFault::CountsFromArrival, HELD));
    is_violated(invariant, broken(CellFault::IgnoresLife, RESTART_WITH_HELD));
}

#[test]
fn two_views_of_an_epoch_are_found_out() {
    is_violated(
        CellInvariant::OneView,
        broken(CellFault::KeepsIdentity, LOST_REPAIR),
    );
}

#[test]
fn epochs_that_go_back_are_found_out() {
    let fault = CellFault::WallClockGoesBack;
    is_violated(CellInvariant::LeasedEpochsGrow, broken(fault, OUTAGE));
    is_violated(CellInvariant::InstalledEpochsGrow, broken(fault, COLD_START));
}

#[test]
fn a_member_that_counts_without_a_copy_is_found_out() {
    is_violated(
        CellInvariant::CopiedBeforeFull,
        broken(CellFault::SaysSynced, RESTART),
    );
}

#[test]
fn a_storm_of_messages_is_found_out() {
    is_violated(
        CellInvariant::NoStorm,
        broken(CellFault::EchoesAfterRestart, RESTART),
    );
}
