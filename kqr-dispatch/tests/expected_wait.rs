//! Refusals at a peak, when the queue is longer than the answers are of use.

mod simulation;

use std::time::Duration;

use kqr_dispatch::{EndKind, JobEnd, JobRequest, RefusalCause};
use simulation::{Simulation, TaskBehaviour, job};

const RUN_MS: u64 = 100;
const RUN: TaskBehaviour = TaskBehaviour {
    run_ms: RUN_MS,
    end: EndKind::Done,
    hangs: false,
};
/// Time after which an answer is of no use: three times 1.6 times the run time and 60 ms.
const USEFUL_MS: u64 = 660;

/// Returns a job of tasks that occupy a target of 16 cores each.
fn whole_targets_job(key: &str, count: u32) -> JobRequest {
    let mut request = job(key, count, RUN_MS);
    request.steps[0].needs.cpu_milli = 16_000;
    request
}

fn refusal(sim: &Simulation, key: &str) -> Option<RefusalCause> {
    match sim.end_of(key) {
        Some(JobEnd::Refused { cause, .. }) => Some(*cause),
        _ => None,
    }
}

/// One free core of one target made the expected wait zero, however many tasks the job had.
#[test]
fn a_wide_job_is_refused_that_only_a_part_of_its_tasks_find_room_for() {
    let mut sim = Simulation::new(1, 2, RUN);
    let mut running = job("running", 2, RUN_MS);
    running.steps[0].needs.cpu_milli = 9_000;
    running.steps[0].max_per_target = Some(1);
    sim.submit(0, running);
    let mut waiting = whole_targets_job("waiting", 10);
    waiting.time_left = Duration::from_secs(60);
    sim.submit(0, waiting);
    let mut wide = job("wide", 40, RUN_MS);
    wide.steps[0].needs.cpu_milli = 5_000;
    sim.submit(0, wide);
    assert_eq!(refusal(&sim, "wide"), Some(RefusalCause::Overload));
    sim.run_for(2_000);
    assert_eq!(sim.end_of("waiting"), Some(&JobEnd::Completed));
}

/// Tasks of 11 cores use 11 of the 16 cores of a target, so that their queue drains more slowly than its cores suggest.
#[test]
fn cores_that_no_task_can_use_do_not_count() {
    let mut sim = Simulation::new(1, 4, RUN);
    let mut queue = whole_targets_job("queue", 14);
    queue.steps[0].needs.cpu_milli = 11_000;
    sim.submit(0, queue.clone());
    queue.key = "behind".parse().unwrap();
    sim.submit(0, queue);
    assert_eq!(refusal(&sim, "behind"), Some(RefusalCause::Overload));
}

/// Each job is answered within the time in which its answer is of use, or refused as not run. The others waited until the
/// caller's deadline.
#[test]
fn at_twice_the_load_no_caller_waits_beyond_the_use_of_its_answer() {
    let mut sim = Simulation::new(2, 6, RUN);
    let (mut keys, mut ended) = (Vec::new(), 0);
    for number in 0..240 {
        let key = format!("job-{number}");
        let mut request = whole_targets_job(&key, 2);
        request.time_left = Duration::from_secs(5);
        sim.submit(number % 2, request);
        keys.push((key, sim.now));
        sim.run_for(16);
        for (key, sent_at) in &keys {
            let is_over = sim.now - sent_at > USEFUL_MS * 3 / 2;
            assert!(!is_over || sim.end_of(key).is_some(), "{key} waits");
        }
    }
    sim.run_for(2_000);
    let (mut completed, mut refused) = (0, 0);
    for (key, _) in &keys {
        ended += usize::from(sim.end_of(key).is_some());
        completed += usize::from(sim.end_of(key) == Some(&JobEnd::Completed));
        refused += usize::from(refusal(&sim, key).is_some());
        let starts = sim.targets.values().flat_map(|target| &target.starts);
        let starts = starts.filter(|run| run.task.job.to_string() == *key);
        assert!(refusal(&sim, key).is_none() || starts.count() == 0, "{key} began");
    }
    assert_eq!(ended, keys.len());
    assert_eq!(completed + refused, keys.len(), "{:?}", sim.ends);
    assert!(completed >= 90, "{completed} of {} completed", keys.len());
}
