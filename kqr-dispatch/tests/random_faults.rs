//! Random faults in virtual time: no task runs twice at the same time, and jobs complete once the faults end.

mod simulation;

use kqr_dispatch::{EndKind, JobEnd, TargetCall};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulation::{CallFault, Simulation, TaskBehaviour, job, target_id};

const ENTRIES: usize = 3;
const TARGETS: usize = 6;
/// Number of random histories.
const SEEDS: u64 = 200;

/// One step of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Submit {
        entry: usize,
        tasks: u32,
    },
    /// The caller of the latest job disconnects, and submits it to another entry after the retry delay of
    /// callers.
    MoveCaller {
        entry: usize,
    },
    CutEntries(usize, usize),
    CutTarget(usize, usize),
    Heal,
    Suspend(usize),
    Resume(usize),
    KillAndRestart(usize),
    RestartTarget(usize),
    /// Control grants a target to an entry, and notifies only this entry.
    HandOver {
        target: usize,
        entry: usize,
    },
    Wait(u16),
}

impl Step {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        let entry = rng.random_range(0..ENTRIES);
        let other = rng.random_range(0..ENTRIES);
        let target = rng.random_range(0..TARGETS);
        match rng.random_range(0..16) {
            0..4 => Self::Submit {
                entry,
                tasks: rng.random_range(1..=6),
            },
            4 => Self::MoveCaller { entry },
            5 => Self::CutEntries(entry, other),
            6 => Self::CutTarget(entry, target),
            7 | 8 => Self::Heal,
            9 => Self::Suspend(entry),
            10 => Self::Resume(entry),
            11 => Self::KillAndRestart(entry),
            12 => Self::RestartTarget(target),
            13 => Self::HandOver { target, entry },
            _ => Self::Wait(rng.random_range(0..800)),
        }
    }
}

/// Runs a history, ends all faults and returns the simulation.
fn run_history(steps: &[Step], faults: &[u8]) -> Simulation {
    let behaviour = TaskBehaviour {
        run_ms: 300,
        end: EndKind::Done,
        hangs: false,
    };
    let mut sim = Simulation::new(ENTRIES, TARGETS, behaviour);
    let faults = faults.to_vec();
    let mut calls = 0;
    sim.call_fault = Box::new(move |call| {
        calls += 1;
        let fault = faults.get(calls % faults.len().max(1)).copied().unwrap_or(0);
        match (call, fault) {
            (TargetCall::Poll(_), 0..250) => CallFault::Normal,
            (_, 200..225) => CallFault::AnswerLost,
            (_, 225..) => CallFault::Late(u64::from(fault) * 20),
            _ => CallFault::Normal,
        }
    });
    let mut jobs = 0;
    let mut latest = None;
    for step in steps {
        match *step {
            Step::Submit { entry, tasks } => {
                jobs += 1;
                let key = format!("job-{jobs}");
                sim.submit(entry, job(&key, tasks, 300));
                latest = Some((entry, key, tasks));
            }
            Step::MoveCaller { entry } => {
                if let Some((former, key, tasks)) = latest.take()
                    && former != entry
                    && sim.end_of(&key).is_none()
                {
                    sim.abandon(former, &key);
                    sim.run_for(1_300);
                    sim.submit(entry, job(&key, tasks, 300));
                }
            }
            Step::CutEntries(one, other) => sim.cut_links.push((one, other)),
            Step::CutTarget(entry, target) => sim.cut_target_links.push((entry, target_id(target))),
            Step::Heal => {
                sim.cut_links.clear();
                sim.cut_target_links.clear();
            }
            Step::Suspend(entry) => sim.suspend(entry),
            Step::Resume(entry) => sim.resume(entry),
            Step::KillAndRestart(entry) => {
                sim.kill(entry);
                sim.run_for(50);
                sim.restart(entry);
                sim.publish_views();
            }
            Step::RestartTarget(target) => sim.targets.get_mut(&target_id(target)).unwrap().restart(),
            Step::HandOver { target, entry } => {
                sim.grant_target(target, entry);
                sim.publish_view(entry);
            }
            Step::Wait(millis) => sim.run_for(u64::from(millis)),
        }
        sim.run_for(5);
    }
    heal_and_verify(&mut sim);
    sim
}

/// Ends all faults, and asserts that each entry completes a job.
fn heal_and_verify(sim: &mut Simulation) {
    sim.cut_links.clear();
    sim.cut_target_links.clear();
    sim.call_fault = Box::new(|_| CallFault::Normal);
    for entry in 0..ENTRIES {
        sim.resume(entry);
    }
    sim.publish_views();
    sim.run_for(8_000);
    for entry in 0..ENTRIES {
        let key = format!("calm-{entry}");
        sim.submit(entry, job(&key, 3, 300));
        sim.run_for(1_500);
        assert_eq!(sim.end_of(&key), Some(&JobEnd::Completed), "{key}");
    }
}

/// Runs the history of a seed, which consists of steps and a table of faults for calls.
fn run_seed(seed: u64) -> Simulation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let steps: Vec<Step> = (0..30).map(|_| Step::draw(&mut rng)).collect();
    let faults: Vec<u8> = (0..97).map(|_| rng.random()).collect();
    run_history(&steps, &faults)
}

#[test]
fn no_task_runs_twice_at_the_same_time() {
    for seed in 0..SEEDS {
        let sim = run_seed(seed);
        if let Some(task) = sim.duplicate_runs.first() {
            let decisions = sim.decisions.iter().filter(|decision| {
                decision.contains(job_key_of(task)) || decision.contains("SiblingChanged")
            });
            let decisions: Vec<&str> = decisions.map(String::as_str).collect();
            panic!(
                "seed {seed}: {task} ran twice at the same time:\n{}",
                decisions.join("\n")
            );
        }
    }
}

/// Returns the key of a task's job as it appears in logged decisions.
fn job_key_of(task: &str) -> &str {
    task.split_once('.').map_or(task, |(job, _)| job)
}
