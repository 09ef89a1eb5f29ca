//! Random faults in virtual time: no task is at work twice at the same time, and calm returns service.

mod world;

use kqr_dispatch::{EndKind, JobEnd, TargetCall};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::{CallFate, Manner, World, job, target_id};

const ENTRIES: usize = 3;
const TARGETS: usize = 6;
/// Histories that are played.
const SEEDS: u64 = 200;

/// One step of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Submit {
        entry: usize,
        tasks: u32,
    },
    /// The caller of the latest job leaves, and asks another entry after the time that callers wait.
    MoveCaller {
        entry: usize,
    },
    CutEntries(usize, usize),
    CutTarget(usize, usize),
    Heal,
    Freeze(usize),
    Thaw(usize),
    KillAndRestart(usize),
    RestartTarget(usize),
    /// Control gives a target to an entry, which alone hears of it.
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
            9 => Self::Freeze(entry),
            10 => Self::Thaw(entry),
            11 => Self::KillAndRestart(entry),
            12 => Self::RestartTarget(target),
            13 => Self::HandOver { target, entry },
            _ => Self::Wait(rng.random_range(0..800)),
        }
    }
}

/// Plays a history and returns the tasks that were at work twice.
fn play(steps: &[Step], losses: &[u8]) -> World {
    let manner = Manner {
        run_ms: 300,
        end: EndKind::Done,
        hangs: false,
    };
    let mut world = World::new(ENTRIES, TARGETS, manner);
    let losses = losses.to_vec();
    let mut calls = 0;
    world.fate = Box::new(move |call| {
        calls += 1;
        let loss = losses.get(calls % losses.len().max(1)).copied().unwrap_or(0);
        match (call, loss) {
            (TargetCall::Poll(_), 0..250) => CallFate::Normal,
            (_, 200..225) => CallFate::AnswerLost,
            (_, 225..) => CallFate::Late(u64::from(loss) * 20),
            _ => CallFate::Normal,
        }
    });
    let mut jobs = 0;
    let mut latest = None;
    for step in steps {
        match *step {
            Step::Submit { entry, tasks } => {
                jobs += 1;
                let key = format!("job-{jobs}");
                world.submit(entry, job(&key, tasks, 300));
                latest = Some((entry, key, tasks));
            }
            Step::MoveCaller { entry } => {
                if let Some((former, key, tasks)) = latest.take()
                    && former != entry
                    && world.end_of(&key).is_none()
                {
                    world.abandon(former, &key);
                    world.run(1_300);
                    world.submit(entry, job(&key, tasks, 300));
                }
            }
            Step::CutEntries(one, other) => world.cuts.push((one, other)),
            Step::CutTarget(entry, target) => world.target_cuts.push((entry, target_id(target))),
            Step::Heal => {
                world.cuts.clear();
                world.target_cuts.clear();
            }
            Step::Freeze(entry) => world.freeze(entry),
            Step::Thaw(entry) => world.thaw(entry),
            Step::KillAndRestart(entry) => {
                world.kill(entry);
                world.run(50);
                world.restart(entry);
                world.tell_views();
            }
            Step::RestartTarget(target) => world.targets.get_mut(&target_id(target)).unwrap().restart(),
            Step::HandOver { target, entry } => {
                world.give(target, entry);
                world.tell_view(entry);
            }
            Step::Wait(millis) => world.run(u64::from(millis)),
        }
        world.run(5);
    }
    calm(&mut world);
    world
}

/// Ends all faults and expects that a job is served.
fn calm(world: &mut World) {
    world.cuts.clear();
    world.target_cuts.clear();
    world.fate = Box::new(|_| CallFate::Normal);
    for entry in 0..ENTRIES {
        world.thaw(entry);
    }
    world.tell_views();
    world.run(8_000);
    for entry in 0..ENTRIES {
        let key = format!("calm-{entry}");
        world.submit(entry, job(&key, 3, 300));
        world.run(1_500);
        assert_eq!(world.end_of(&key), Some(&JobEnd::Completed), "{key}");
    }
}

/// Plays the history of a seed: some steps, and a table of what happens to calls.
fn play_seed(seed: u64) -> World {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let steps: Vec<Step> = (0..30).map(|_| Step::draw(&mut rng)).collect();
    let losses: Vec<u8> = (0..97).map(|_| rng.random()).collect();
    play(&steps, &losses)
}

#[test]
fn no_task_is_at_work_twice() {
    for seed in 0..SEEDS {
        let world = play_seed(seed);
        if let Some(task) = world.doubles.first() {
            let notes = world
                .notes
                .iter()
                .filter(|note| note.contains(job_of(task)) || note.contains("SiblingChanged"));
            let notes: Vec<&str> = notes.map(String::as_str).collect();
            panic!("seed {seed}: {task} was at work twice:\n{}", notes.join("\n"));
        }
    }
}

/// Returns how the job of a task stands in notes.
fn job_of(task: &str) -> &str {
    task.split_once('.').map_or(task, |(job, _)| job)
}
