//! Jobs whose steps depend on each other, in virtual time.

mod simulation;

use std::{sync::mpsc, thread, time::Duration};

use kqr_dispatch::{EndKind, JobEnd, JobRequest, RefusalCause, StepSpec};
use simulation::{Simulation, TaskBehaviour, job};

const QUICK: TaskBehaviour = TaskBehaviour {
    run_ms: 50,
    end: EndKind::Done,
    hangs: false,
};
const FAILING: TaskBehaviour = TaskBehaviour {
    end: EndKind::Failed,
    ..QUICK
};
/// Time within which a test ends. One that takes longer counts as never ending.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs `test` in a thread of its own, and fails if it does not end.
fn within_timeout<Test>(test: Test)
where
    Test: FnOnce() + Send + 'static,
{
    let (tx, rx) = mpsc::channel();
    let thread = thread::spawn(move || {
        test();
        tx.send(()).ok();
    });
    match rx.recv_timeout(TEST_TIMEOUT) {
        Err(mpsc::RecvTimeoutError::Timeout) => panic!("the entry does not hand back the processor"),
        Ok(()) | Err(mpsc::RecvTimeoutError::Disconnected) => thread.join().unwrap(),
    }
}

/// Returns a job with one step for each of `depends_on`, with `count` tasks.
fn steps_job(key: &str, count: u32, depends_on: &[&[u32]]) -> JobRequest {
    let mut request = job(key, count, 50);
    let step = request.steps.remove(0);
    for earlier in depends_on {
        request.steps.push(StepSpec {
            depends_on: earlier.to_vec(),
            ..step.clone()
        });
    }
    request
}

/// Submits a job and returns the steps of its tasks in the order of their starts.
fn play(sim: &mut Simulation, request: JobRequest, millis: u64) -> Vec<u32> {
    sim.submit(0, request);
    let (mut steps, mut seen) = (Vec::new(), 0);
    for _ in 0..millis {
        sim.run_for(1);
        let starts = sim.targets.values().flat_map(|target| &target.starts);
        let starts: Vec<u32> = starts.map(|run| run.task.step).collect();
        let mut new = starts.clone();
        for step in &steps {
            let position = new.iter().position(|other| other == step).unwrap();
            new.remove(position);
        }
        assert!(starts.len() >= seen);
        seen = starts.len();
        new.sort_unstable();
        steps.extend(new);
    }
    steps
}

/// An entry that read a job with a dependent step placed its tasks in a loop without end.
#[test]
fn a_job_of_dependent_steps_runs_them_in_sequence() {
    within_timeout(|| {
        let mut sim = Simulation::new(2, 4, QUICK);
        let steps = play(&mut sim, steps_job("sequence", 2, &[&[], &[0], &[1]]), 600);
        assert_eq!(sim.end_of("sequence"), Some(&JobEnd::Completed));
        assert_eq!(steps, [0, 0, 1, 1, 2, 2]);
    });
}

#[test]
fn a_step_starts_when_all_of_several_dependencies_are_complete() {
    within_timeout(|| {
        let mut sim = Simulation::new(1, 4, QUICK);
        let diamond: [&[u32]; 4] = [&[], &[0], &[0, 0], &[1, 2, 1]];
        let steps = play(&mut sim, steps_job("diamond", 1, &diamond), 600);
        assert_eq!(sim.end_of("diamond"), Some(&JobEnd::Completed));
        assert_eq!(steps, [0, 1, 2, 3]);
    });
}

#[test]
fn a_step_without_tasks_is_complete_at_once() {
    within_timeout(|| {
        let mut sim = Simulation::new(1, 2, QUICK);
        let mut request = steps_job("empty", 1, &[&[], &[0], &[1]]);
        request.steps[0].count = 0;
        request.steps[2].count = 0;
        let steps = play(&mut sim, request, 300);
        assert_eq!(sim.end_of("empty"), Some(&JobEnd::Completed));
        assert_eq!(steps, [1]);
    });
}

#[test]
fn a_step_whose_dependency_fails_never_starts() {
    within_timeout(|| {
        let mut sim = Simulation::new(1, 4, FAILING);
        let steps = play(&mut sim, steps_job("failing", 1, &[&[], &[0]]), 2_000);
        assert_eq!(sim.end_of("failing"), Some(&JobEnd::Failed));
        assert!(steps.iter().all(|step| *step == 0), "{steps:?}");
    });
}

#[test]
fn a_job_that_waits_for_a_step_is_given_up_in_time() {
    within_timeout(|| {
        let hanging = TaskBehaviour { hangs: true, ..QUICK };
        let mut sim = Simulation::new(2, 4, hanging);
        sim.submit(0, steps_job("hanging", 1, &[&[], &[0]]));
        sim.run_for(10_000);
        assert!(sim.end_of("hanging").is_some());
        assert_eq!(sim.dispatcher(0).job_count(), 0);
    });
}

/// A job was reported as one for which no target is known, or as completed if it had no tasks, so that its caller would
/// submit it again.
#[test]
fn a_job_with_dependencies_that_never_come_due_is_refused_as_invalid() {
    within_timeout(|| {
        let invalid: [(&str, u32, &[&[u32]]); 5] = [
            ("itself", 1, &[&[0]]),
            ("later", 1, &[&[1], &[]]),
            ("missing", 1, &[&[], &[2]]),
            ("far", 1, &[&[], &[u32::MAX]]),
            ("no-tasks", 0, &[&[0]]),
        ];
        let mut sim = Simulation::new(1, 2, QUICK);
        for (key, count, depends_on) in invalid {
            sim.submit(0, steps_job(key, count, depends_on));
            let Some(JobEnd::Refused { cause, .. }) = sim.end_of(key) else {
                panic!("{key}: {:?}", sim.ends);
            };
            assert_eq!(*cause, RefusalCause::InvalidSteps, "{key}");
        }
    });
}

/// Each input examined all tasks of a step again for every step that depends on it.
#[test]
fn many_steps_that_depend_on_a_wide_one_do_not_occupy_the_entry() {
    within_timeout(|| {
        let mut sim = Simulation::new(1, 4, QUICK);
        let mut request = steps_job("wide", 1, &vec![&[0_u32][..]; 3_000]);
        request.steps[0].depends_on.clear();
        request.steps[0].count = 15_000;
        sim.submit(0, request);
        sim.run_for(2_000);
        assert!(sim.end_of("wide").is_some() || sim.dispatcher(0).job_count() == 1);
    });
}
