//! Jobs of many small tasks or steps, far above the limits that apply by default: no input takes an entry so long that its
//! siblings count it as lost.

mod simulation;

use std::{sync::Arc, time::Duration};

use kqr_dispatch::{EndKind, JobEnd, JobLimits, JobRequest, LoadShedding, Options, StepSpec};
use kqr_fleet::Resources;
use simulation::{Simulation, TaskBehaviour, job, target::RUN_MS_PREFIX};

/// Time without a message after which siblings count an entry as lost.
const MAX_INPUT_TIME: Duration = Duration::from_millis(400);
/// Number of tasks of a job.
const TASKS: u32 = 4_000;
const TARGETS: usize = 3;

const BEHAVIOUR: TaskBehaviour = TaskBehaviour {
    run_ms: 20,
    end: EndKind::Done,
    hangs: false,
};

fn simulation() -> Simulation {
    simulation_with(LoadShedding::default())
}

fn simulation_with(load_shedding: LoadShedding) -> Simulation {
    simulation_of(2, TARGETS, load_shedding)
}

fn simulation_of(entries: usize, targets: usize, load_shedding: LoadShedding) -> Simulation {
    let options = Options {
        load_shedding,
        job_limits: JobLimits {
            tasks: u64::MAX,
            steps: usize::MAX,
            dependencies: usize::MAX,
            ..JobLimits::default()
        },
        max_size: u64::MAX,
        max_open_calls: usize::MAX,
        ..Options::default()
    };
    let mut sim = Simulation::with_options(entries, targets, BEHAVIOUR, options);
    sim.longest_input = Duration::ZERO;
    sim
}

fn step(count: u32, cpu_milli: u64, depends_on: Vec<u32>) -> StepSpec {
    let needs = Resources {
        cpu_milli,
        memory_mib: 1,
        accelerators: 0,
    };
    StepSpec {
        count,
        needs,
        depends_on,
        ..job("template", 1, 20).steps.remove(0)
    }
}

/// Returns a job whose caller waits for long, and which is on time all the while.
fn patient_job(key: &str, steps: Vec<StepSpec>) -> JobRequest {
    JobRequest {
        steps,
        time_left: Duration::from_secs(60),
        objective: Duration::from_secs(60),
        ..job(key, 1, 20)
    }
}

fn assert_short_inputs(sim: &Simulation) {
    assert!(sim.longest_input < MAX_INPUT_TIME, "{:?}", sim.longest_input);
}

fn assert_completes(sim: &mut Simulation, request: JobRequest, millis: u64) {
    let key = request.key.to_string();
    sim.submit(0, request);
    sim.run_for(millis);
    assert_short_inputs(sim);
    assert_eq!(sim.end_of(&key), Some(&JobEnd::Completed));
}

/// Guards against starts that visit all other waiting orders of their job, which held up an entry for a minute.
#[test]
fn many_small_tasks_that_all_fit_do_not_hold_up_their_entry() {
    let mut sim = simulation();
    let request = patient_job("wide", vec![step(TASKS, 1, Vec::new())]);
    assert_completes(&mut sim, request, 300);
}

/// Guards against ends and starts that visit all waiting orders and all runs of a target, if most tasks have to wait.
#[test]
fn many_small_tasks_that_wait_do_not_hold_up_their_entry() {
    let mut sim = simulation();
    let request = patient_job("waiting", vec![step(TASKS, 100, Vec::new())]);
    assert_completes(&mut sim, request, 1_500);
}

/// Guards against orders that name a rack and each visit all orders that wait for it.
#[test]
fn many_tasks_with_data_on_a_rack_do_not_hold_up_their_entry() {
    let mut sim = simulation();
    let on_rack = StepSpec {
        data_rack: Some("rack-0".to_owned()),
        max_per_target: Some(TASKS / 2),
        ..step(TASKS, 100, Vec::new())
    };
    assert_completes(&mut sim, patient_job("near", vec![on_rack]), 1_500);
}

/// Guards against orders that each compare all known targets, when few have the label that they need and none has room.
#[test]
fn many_tasks_that_wait_for_few_of_many_targets_do_not_hold_up_their_entry() {
    let mut sim = simulation_of(20, 304, LoadShedding::AtDeadline);
    let labelled = StepSpec {
        label: Some("rack-37".to_owned()),
        ..step(4 * TASKS, 8_000, Vec::new())
    };
    sim.submit(0, patient_job("labelled", vec![labelled]));
    assert_short_inputs(&sim);
    sim.run_for(50);
    assert_short_inputs(&sim);
}

/// Guards against ends of tasks that visit all steps of their job.
#[test]
fn many_steps_do_not_hold_up_their_entry_whether_they_depend_on_one_or_on_none() {
    for depends_on in [Vec::new(), vec![0]] {
        let mut sim = simulation();
        let mut steps = vec![step(1, 1, Vec::new())];
        steps.extend((1..TASKS).map(|_| step(1, 1, depends_on.clone())));
        assert_completes(&mut sim, patient_job("steps", steps), 400);
    }
}

/// Guards against ends of steps that visit all dependencies of their job.
#[test]
fn many_steps_on_which_one_depends_do_not_hold_up_their_entry() {
    let mut sim = simulation();
    let mut steps: Vec<StepSpec> = (0..TASKS).map(|_| step(1, 1, Vec::new())).collect();
    let all: Vec<u32> = (0..TASKS).collect();
    steps.push(step(1, 1, all.repeat(5)));
    assert_completes(&mut sim, patient_job("steps", steps), 400);
}

#[test]
fn each_step_of_a_chain_begins_after_all_steps_before_it() {
    let mut sim = simulation();
    let steps = (0..40).map(|number| step(2, 1, (0..number).collect()));
    sim.submit(0, patient_job("chain", steps.collect()));
    sim.run_for(400);
    assert_eq!(sim.end_of("chain"), None, "40 runs of 20 ms in turn take 800 ms");
    sim.run_for(1_600);
    assert_eq!(sim.end_of("chain"), Some(&JobEnd::Completed));
}

/// Guards against stops, cancelled orders and ends that each visit all runs or all tasks.
#[test]
fn a_large_job_whose_caller_leaves_does_not_hold_up_its_entry() {
    for cpu_milli in [1, 100] {
        let mut sim = simulation();
        sim.submit(0, patient_job("left", vec![step(TASKS, cpu_milli, Vec::new())]));
        sim.run_for(10);
        sim.abandon(0, "left");
        sim.run_for(300);
        assert_short_inputs(&sim);
        assert!(sim.dispatcher(0).is_idle());
    }
}

/// Guards against ends of cancelled orders that each visit all tasks, when the time of a waiting job passes.
#[test]
fn a_large_job_that_is_too_late_does_not_hold_up_its_entry() {
    let mut sim = simulation_with(LoadShedding::AtDeadline);
    let late = JobRequest {
        time_left: Duration::from_millis(500),
        ..patient_job("late", vec![step(4 * TASKS, 16_000, Vec::new())])
    };
    let ahead = JobRequest {
        spec: Arc::from(format!("{RUN_MS_PREFIX}1500")),
        ..patient_job("ahead", vec![step(TARGETS as u32, 16_000, Vec::new())])
    };
    sim.submit(1, ahead);
    sim.run_for(300);
    sim.submit(0, late);
    sim.run_for(2_000);
    assert_short_inputs(&sim);
    assert!(matches!(sim.end_of("late"), Some(JobEnd::Refused { .. })));
}

/// Guards against many orders that are lost with their owner and each visit all tasks of their job.
#[test]
fn a_large_job_whose_owner_is_lost_does_not_hold_up_its_entry() {
    let mut sim = simulation();
    sim.submit(0, patient_job("lost", vec![step(TASKS, 100, Vec::new())]));
    sim.run_for(60);
    sim.kill(1);
    sim.run_for(3_000);
    assert_short_inputs(&sim);
}

/// Guards against bounds on open calls that leave starts or stops behind.
#[test]
fn starts_and_stops_beyond_the_open_calls_follow_as_those_are_answered() {
    let options = Options {
        max_open_calls: 4,
        ..Options::default()
    };
    let behaviour = TaskBehaviour {
        run_ms: 5_000,
        ..BEHAVIOUR
    };
    let mut sim = Simulation::with_options(1, 2, behaviour, options);
    sim.submit(0, patient_job("wide", vec![step(100, 1, Vec::new())]));
    sim.run_for(10);
    let running = sim.dispatcher(0).run_count();
    assert!((8..100).contains(&running), "{running}");
    sim.run_for(200);
    assert_eq!(sim.dispatcher(0).run_count(), 100);
    sim.abandon(0, "wide");
    sim.run_for(300);
    assert!(sim.dispatcher(0).is_idle());
    let is_withheld = |line: &&String| line.contains("lease-withheld");
    assert_eq!(sim.decisions.iter().filter(is_withheld).count(), 0);
}
