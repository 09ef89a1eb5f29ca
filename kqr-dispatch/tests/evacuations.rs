//! Evacuations of data centres in virtual time.

mod simulation;

use std::time::Duration;

use kqr_dispatch::{EndKind, JobEnd, JobRequest, RefusalCause};
use kqr_fleet::Resources;
use kqr_types::DataCentre;
use simulation::{Simulation, TaskBehaviour, job, target_id};

const QUICK: TaskBehaviour = TaskBehaviour {
    run_ms: 50,
    end: EndKind::Done,
    hangs: false,
};
const LONG: TaskBehaviour = TaskBehaviour { run_ms: 900, ..QUICK };
/// Time from a view to the last start that was sent before it.
const ARRIVAL_MS: u64 = 2;
/// Interval of jobs that one target can run.
const JOB_INTERVAL_MS: u64 = 40;
/// Number of entries. The last one owns no targets.
const ENTRIES: usize = 3;
/// Number of tasks that run on a target at the same time.
const SLOTS: usize = 2;

fn lund() -> DataCentre {
    "lund".parse().unwrap()
}

/// Entry 0 owns target 0, which is in Lund, and entry 1 owns target 1.
fn fleet(behaviour: TaskBehaviour) -> Simulation {
    let mut sim = Simulation::new(ENTRIES, 0, behaviour);
    for number in 0..2 {
        sim.add_target(number, behaviour);
        sim.grant_target(number, number);
    }
    sim.targets.get_mut(&target_id(0)).unwrap().record.data_centre = lund();
    sim.publish_views();
    sim.run_for(500);
    sim
}

fn set_evacuated(sim: &mut Simulation, is_evacuated: bool) {
    if is_evacuated {
        sim.evacuated.insert(lund());
    } else {
        sim.evacuated.remove(&lund());
    }
    sim.publish_views();
}

fn starts(sim: &Simulation, target: usize) -> usize {
    sim.targets[&target_id(target)].starts.len()
}

fn patient_job(key: &str, tasks: u32, estimate_ms: u64) -> JobRequest {
    JobRequest {
        time_left: Duration::from_secs(10),
        ..job(key, tasks, estimate_ms)
    }
}

/// Guards against starts by any coordinator: the owner itself, an entry with other targets and one without targets.
#[test]
fn nothing_is_started_between_the_view_and_the_withdrawal() {
    let mut sim = fleet(QUICK);
    for number in 0..30 {
        sim.submit(number % ENTRIES, patient_job(&format!("before-{number}"), 1, 50));
        sim.run_for(10);
    }
    sim.run_for(1_000);
    assert!(starts(&sim, 0) > 0 && starts(&sim, 1) > 0);
    set_evacuated(&mut sim, true);
    sim.run_for(ARRIVAL_MS);
    let (evacuated, other) = (starts(&sim, 0), starts(&sim, 1));
    for number in 0..60 {
        sim.submit(number % ENTRIES, patient_job(&format!("during-{number}"), 1, 50));
        sim.run_for(JOB_INTERVAL_MS);
    }
    sim.run_for(3_000);
    assert_eq!(starts(&sim, 0), evacuated);
    assert_eq!(starts(&sim, 1), other + 60);
    for number in 0..60 {
        let end = sim.end_of(&format!("during-{number}"));
        assert_eq!(end, Some(&JobEnd::Completed), "during-{number}");
    }
    set_evacuated(&mut sim, false);
    sim.run_for(200);
    for number in 0..30 {
        sim.submit(number % ENTRIES, patient_job(&format!("after-{number}"), 1, 50));
        sim.run_for(10);
    }
    sim.run_for(1_000);
    assert!(starts(&sim, 0) > evacuated, "tasks are started there again");
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}

/// Guards against an evacuation that stops runs or lets their lease end, after which they would be repeated.
#[test]
fn runs_that_have_begun_end_on_the_evacuated_target() {
    let mut sim = fleet(LONG);
    for number in 0..2 * SLOTS {
        sim.submit(number % ENTRIES, patient_job(&format!("job-{number}"), 1, 900));
    }
    sim.run_for(100);
    assert_eq!(sim.targets[&target_id(0)].running.len(), SLOTS);
    set_evacuated(&mut sim, true);
    sim.run_for(1_500);
    for number in 0..2 * SLOTS {
        let end = sim.end_of(&format!("job-{number}"));
        assert_eq!(end, Some(&JobEnd::Completed), "job-{number}");
    }
    assert_eq!(
        (starts(&sim, 0), starts(&sim, 1)),
        (SLOTS, SLOTS),
        "no run was repeated"
    );
    assert!(
        sim.dispatcher(0).releasable_targets().is_empty(),
        "the owner keeps the target"
    );
    assert_eq!(sim.dispatcher(0).owned_target_count(), 1);
}

/// Orders that wait at the owner would wait until their callers give up.
#[test]
fn waiting_orders_go_elsewhere() {
    let mut sim = fleet(LONG);
    for number in 0..4 * SLOTS {
        sim.submit(number % ENTRIES, patient_job(&format!("job-{number}"), 1, 900));
    }
    sim.run_for(100);
    assert_eq!(sim.targets[&target_id(0)].running.len(), SLOTS);
    assert!(sim.dispatcher(0).waiting_order_count() > 0);
    set_evacuated(&mut sim, true);
    sim.run_for(ARRIVAL_MS);
    assert_eq!(sim.dispatcher(0).waiting_order_count(), 0);
    sim.run_for(5_000);
    for number in 0..4 * SLOTS {
        let end = sim.end_of(&format!("job-{number}"));
        assert_eq!(end, Some(&JobEnd::Completed), "job-{number}");
    }
    assert_eq!((starts(&sim, 0), starts(&sim, 1)), (SLOTS, 3 * SLOTS));
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
}

/// Coordinators that still placed orders at the owner would place them there again and again.
#[test]
fn coordinators_send_no_more_orders_to_an_owner_of_evacuated_targets_only() {
    let mut sim = fleet(LONG);
    set_evacuated(&mut sim, true);
    // Reports of loads reach all entries.
    sim.run_for(500);
    let refused = sim.decisions.len();
    for number in 0..4 * SLOTS {
        let mut request = patient_job(&format!("job-{number}"), 1, 900);
        // Tasks without needs fit on a target that offers no capacity.
        if number % 2 == 1 {
            request.steps[0].needs = Resources::default();
        }
        sim.submit(number % ENTRIES, request);
        sim.run_for(10);
    }
    sim.run_for(5_000);
    let refused = sim.decisions[refused..].iter();
    let refused: Vec<_> = refused.filter(|line| line.contains("OrderRefused")).collect();
    assert!(refused.is_empty(), "{refused:#?}");
}

/// A job that no other target can run was held until its caller gave up, or was sent to the evacuated target.
#[test]
fn a_job_without_a_target_elsewhere_is_refused_at_once() {
    let mut sim = fleet(QUICK);
    sim.targets.get_mut(&target_id(0)).unwrap().record.labels = vec!["only-here".to_owned()];
    sim.grant_target(0, 0);
    set_evacuated(&mut sim, true);
    sim.run_for(500);
    let started = starts(&sim, 0);
    let mut request = patient_job("stranded", 1, 50);
    request.steps[0].label = Some("only-here".to_owned());
    sim.submit(1, request);
    sim.run_for(500);
    let end = sim.end_of("stranded");
    let is_refused = matches!(
        end,
        Some(JobEnd::Refused {
            cause: RefusalCause::NoTarget,
            ..
        })
    );
    assert!(is_refused, "{end:?}");
    assert_eq!(starts(&sim, 0), started);
}

/// An entry that restarts, and the next owner of a target, know only what the grant says.
#[test]
fn a_new_owner_starts_nothing_on_a_target_that_is_granted_as_evacuated() {
    let mut sim = fleet(QUICK);
    set_evacuated(&mut sim, true);
    sim.run_for(100);
    sim.kill(0);
    sim.restart(0);
    sim.grant_target(0, 0);
    sim.publish_views();
    sim.run_for(2_000);
    for number in 0..12 {
        sim.submit(
            number % ENTRIES,
            patient_job(&format!("restarted-{number}"), 1, 50),
        );
    }
    sim.run_for(1_000);
    sim.grant_target(0, 1);
    sim.publish_views();
    sim.run_for(200);
    for number in 0..12 {
        sim.submit(number % ENTRIES, patient_job(&format!("moved-{number}"), 1, 50));
    }
    sim.run_for(2_000);
    assert_eq!(starts(&sim, 0), 0);
    assert_eq!(starts(&sim, 1), 24);
}
