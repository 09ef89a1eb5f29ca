//! Replays of peaks on a small fleet with three kinds of work and targets of three speeds. The share of the value that is
//! served on time is compared with that of serving by arrival until the deadline.

mod simulation;

use std::{sync::Arc, time::Duration};

use kqr_dispatch::{EndKind, JobEnd, JobRequest, LoadShedding, Options, QueueOrder};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulation::{Simulation, TaskBehaviour, job, target::RUN_MS_PREFIX, target_id};

const ENTRIES: usize = 3;
const TARGETS: usize = 18;
/// Capacities of targets, in thousandths of a core, and run times in relation to the estimates.
const CAPACITIES: [u64; 3] = [24_000, 32_000, 40_000];
const SLOWNESS: [f64; 3] = [1.0 / 0.7, 1.0 / 0.7, 1.0 / 1.7];
/// Largest error of an estimate, as a factor.
const ESTIMATE_ERROR: f64 = 1.4;
/// Spread of run times, as a factor.
const RUN_SPREAD: f64 = 1.5;
const PLAY_MS: u64 = 6_000;
const DEADLINE_MS: u64 = 1_500;
const SLACK: f64 = 1.6;
const OBJECTIVE_MS: f64 = 60.0;

/// A kind of work. The rates are in jobs a second on all targets, the values for an answer on time.
#[derive(Clone, Copy)]
struct Kind {
    priority: u32,
    rate: f64,
    tasks: u32,
    run_ms: f64,
    value: f64,
}

/// The kinds of the first deployment, at about 0.65 of the capacity of the fleet.
const KINDS: [Kind; 3] = [
    Kind {
        priority: 0,
        rate: 10.0,
        tasks: 8,
        run_ms: 51.0,
        value: 0.004_85,
    },
    Kind {
        priority: 2,
        rate: 1.9,
        tasks: 4,
        run_ms: 760.0,
        value: 0.0267,
    },
    Kind {
        priority: 1,
        rate: 30.0,
        tasks: 2,
        run_ms: 170.0,
        value: 0.001_67,
    },
];

struct Sent {
    key: String,
    at: u64,
    on_time_ms: f64,
    value: f64,
    ended_at: Option<u64>,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Shares of the value.
    on_time: f64,
    late: f64,
    /// Share of the jobs that were answered.
    served: f64,
    /// Jobs that were given up after they had begun.
    given_up: usize,
    /// Longest time until a caller heard that its job had not run.
    longest_refusal_ms: u64,
    /// Share of the jobs that were served by kind.
    served_by_kind: [f64; 3],
}

fn request(key: &str, kind: &Kind, rng: &mut ChaCha8Rng) -> (JobRequest, f64) {
    let run_ms = kind.run_ms * RUN_SPREAD.powf(rng.random_range(-1.0..1.0));
    let estimate_ms = run_ms * ESTIMATE_ERROR.powf(rng.random_range(-1.0..1.0));
    let mut request = job(key, kind.tasks, estimate_ms as u64);
    request.priority = kind.priority;
    request.time_left = Duration::from_millis(DEADLINE_MS);
    request.spec = Arc::from(format!("{RUN_MS_PREFIX}{run_ms}"));
    request.steps[0].needs.cpu_milli = 1_000 * rng.random_range(11..22);
    (request, run_ms)
}

/// Plays a load that is `factor` times the usual one of each kind at each time.
fn play<Load>(options: Options, factor: Load, down: usize) -> Outcome
where
    Load: Fn(u64, usize) -> f64,
{
    let (sim, sent) = replay(options, factor, down);
    outcome(&sim, &sent)
}

fn replay<Load>(options: Options, factor: Load, down: usize) -> (Simulation, Vec<Sent>)
where
    Load: Fn(u64, usize) -> f64,
{
    let usual = TaskBehaviour {
        run_ms: 50,
        end: EndKind::Done,
        hangs: false,
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed());
    let mut sim = Simulation::with_options(ENTRIES, TARGETS, usual, options);
    for number in 0..TARGETS {
        let target = sim.targets.get_mut(&target_id(number)).unwrap();
        target.slowness = SLOWNESS[number / ENTRIES % SLOWNESS.len()];
        target.record.capacity.cpu_milli = CAPACITIES[number % CAPACITIES.len()];
        sim.grant_target(number, number % ENTRIES);
    }
    sim.publish_views();
    sim.run_for(1_500);
    let began = sim.now;
    let mut sent: Vec<Sent> = Vec::new();
    let mut open: Vec<usize> = Vec::new();
    while sim.now < began + PLAY_MS + DEADLINE_MS * 2 {
        let at = sim.now - began;
        if at == PLAY_MS / 3 {
            for number in 0..down {
                sim.targets.get_mut(&target_id(number)).unwrap().is_up = false;
            }
        }
        for (number, kind) in KINDS.iter().enumerate() {
            let due = kind.rate * factor(at, number) / 1_000.0;
            if at >= PLAY_MS || rng.random_range(0.0..1.0) >= due {
                continue;
            }
            let key = format!("{number}-{}", sent.len());
            let (request, run_ms) = request(&key, kind, &mut rng);
            sim.submit(rng.next_u32() as usize % ENTRIES, request);
            open.push(sent.len());
            sent.push(Sent {
                key,
                at: sim.now,
                on_time_ms: run_ms * SLACK + OBJECTIVE_MS,
                value: kind.value,
                ended_at: None,
            });
        }
        sim.run_for(1);
        open.retain(|number| {
            let job = &mut sent[*number];
            let is_over = sim.end_of(&job.key).is_some();
            job.ended_at = is_over.then_some(sim.now);
            !is_over
        });
    }
    assert!(open.is_empty(), "{} callers have no answer", open.len());
    (sim, sent)
}

fn outcome(sim: &Simulation, sent: &[Sent]) -> Outcome {
    let mut outcome = Outcome::default();
    let total: f64 = sent.iter().map(|job| job.value).sum();
    let mut by_kind = [0.0; 3];
    for job in sent {
        let kind = job.key[..1].parse::<usize>().unwrap();
        by_kind[kind] += 1.0;
        let after = job.ended_at.unwrap() - job.at;
        match sim.end_of(&job.key) {
            Some(JobEnd::Completed) => {
                outcome.served += 1.0 / sent.len() as f64;
                outcome.served_by_kind[kind] += 1.0;
                if after as f64 <= job.on_time_ms {
                    outcome.on_time += job.value / total;
                } else if after as f64 <= 3.0 * job.on_time_ms {
                    outcome.late += job.value / total;
                }
            }
            Some(JobEnd::Refused { .. }) => {
                let starts = sim.targets.values().flat_map(|target| &target.starts);
                let starts = starts.filter(|run| run.task.job.to_string() == job.key);
                assert_eq!(starts.count(), 0, "{} was refused and began", job.key);
                outcome.longest_refusal_ms = outcome.longest_refusal_ms.max(after);
            }
            _ => outcome.given_up += 1,
        }
    }
    for (served, all) in outcome.served_by_kind.iter_mut().zip(by_kind) {
        *served /= all;
    }
    assert!(sim.duplicate_runs.is_empty(), "{:?}", sim.duplicate_runs);
    outcome
}

fn earlier() -> Options {
    Options {
        load_shedding: LoadShedding::AtDeadline,
        queue_order: QueueOrder::Arrival,
        learns_run_times: false,
        ..Options::default()
    }
}

/// Plays the load with the earlier rules, with each option of its own, and with both. Returns the first and the last.
fn compare<Load>(name: &str, factor: Load, down: usize) -> (Outcome, Outcome)
where
    Load: Fn(u64, usize) -> f64 + Copy,
{
    let before = play(earlier(), factor, down);
    let shedding = Options {
        load_shedding: LoadShedding::WhenUseless,
        ..earlier()
    };
    let order = Options {
        queue_order: QueueOrder::OnTimeFirst,
        ..earlier()
    };
    println!("{name}: before   {before:?}");
    println!("{name}: shedding {:?}", play(shedding, factor, down));
    println!("{name}: order    {:?}", play(order, factor, down));
    let stated = Options {
        learns_run_times: false,
        ..Options::default()
    };
    println!("{name}: both     {:?}", play(stated, factor, down));
    let after = play(Options::default(), factor, down);
    println!("{name}: all      {after:?}");
    (before, after)
}

/// While no job has to wait, the options make no difference to any decision.
#[test]
fn an_idle_fleet_decides_as_before() {
    let (before, _) = replay(earlier(), |_, _| 0.15, 0);
    let (after, _) = replay(Options::default(), |_, _| 0.15, 0);
    assert_eq!(before.decisions, after.decisions);
}

/// Late orders were served before those that could still be on time, so that nearly all answers were late.
#[test]
fn a_peak_of_all_kinds_leaves_more_on_time() {
    let (before, after) = compare("all kinds", |_, _| 2.2, 0);
    assert!(after.on_time > before.on_time, "{after:?}");
    assert!(after.given_up <= before.given_up, "{after:?}");
    assert!(after.longest_refusal_ms < before.longest_refusal_ms, "{after:?}");
    for (number, served) in after.served_by_kind.iter().enumerate() {
        assert!(*served > 0.5, "kind {number}: {after:?}");
    }
}

#[test]
fn a_peak_of_one_kind_leaves_more_on_time() {
    let factor = |at, kind| if kind == 0 && at % 4_000 > 1_000 { 4.0 } else { 1.0 };
    let (before, after) = compare("one kind", factor, 0);
    assert!(after.on_time > 1.3 * before.on_time, "{after:?}");
    assert!(after.served > 0.9, "{after:?}");
}

#[test]
fn the_loss_of_a_third_of_the_targets_leaves_more_on_time() {
    let (before, after) = compare("a third of the targets is gone", |_, _| 1.2, TARGETS / 3);
    assert!(after.on_time > before.on_time, "{after:?}");
    assert!(after.served > 0.95, "{after:?}");
}

/// A swing whose crests are just above the capacity needs hardly any refusal.
#[test]
fn nearly_all_jobs_of_a_swing_are_served() {
    let factor = |at, _| 1.2 + 0.55 * (at as f64 / 900.0).sin();
    let (_, after) = compare("swing", factor, 0);
    assert!(after.served > 0.98, "{after:?}");
    assert_eq!(after.given_up, 0, "{after:?}");
}

fn seed() -> u64 {
    std::env::var("KQR_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(17)
}
