//! Tasks whose data is on a rack: they wait for a target there while that pays, and hold up no others.

mod simulation;

use std::{sync::Arc, time::Duration};

use kqr_dispatch::{EndKind, JobEnd, JobRequest, Options};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulation::{Simulation, TaskBehaviour, job, target::DATA_ON};

const ENTRIES: usize = 3;
const TARGETS: usize = 16;
const TARGETS_PER_RACK: usize = 2;
/// Part of the capacity that the mean load uses if all tasks run near their data.
const MEAN_UTILISATION: f64 = 0.506;
/// Tasks that fit on a target.
const PLACES_PER_TARGET: usize = 2;
const LOAD_MS: u64 = 2_500;
/// Number of plays of each load.
const SEEDS: u64 = 12;

/// A kind of jobs.
#[derive(Clone, Copy, Debug)]
struct Kind {
    name: &'static str,
    priority: u32,
    tasks: u32,
    run_ms: u64,
    value: f64,
}

const SHORT: Kind = Kind {
    name: "short",
    priority: 0,
    tasks: 4,
    run_ms: 51,
    value: 0.00485,
};
const MIDDLE: Kind = Kind {
    name: "middle",
    priority: 1,
    tasks: 2,
    run_ms: 170,
    value: 0.00167,
};

/// Load on the fleet.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Multiple of the mean load, half of it for each kind.
    factor: f64,
    /// Part of the short jobs with data on some racks, and of the others.
    short_bound: f64,
    middle_bound: f64,
    /// Number of racks with the data.
    racks: usize,
    /// Factor on the run time elsewhere.
    slowdown: f32,
}

/// Share of the value that was answered on time.
#[derive(Clone, Copy, Debug)]
struct Share {
    all: f64,
    bound: f64,
    unbound: f64,
}

fn request(kind: Kind, key: &str, rack: Option<&str>) -> JobRequest {
    let mut request = job(key, kind.tasks, kind.run_ms);
    request.priority = kind.priority;
    request.spec = Arc::from(format!("{DATA_ON}{} {}", rack.unwrap_or("any"), kind.run_ms));
    request.steps[0].data_rack = rack.map(str::to_owned);
    request
}

fn fleet(slowdown: f32, max_rack_wait: Duration) -> Simulation {
    let behaviour = TaskBehaviour {
        run_ms: 50,
        end: EndKind::Done,
        hangs: false,
    };
    let options = Options {
        remote_slowdown: slowdown,
        max_rack_wait,
        ..Options::default()
    };
    let mut sim = Simulation::with_options(ENTRIES, 0, behaviour, options);
    for number in 0..TARGETS {
        sim.add_target(number, behaviour);
        let target = sim
            .targets
            .values_mut()
            .find(|target| target.record.id == simulation::target_id(number));
        let target = target.unwrap();
        target.record.labels = vec![format!("rack-{}", number / TARGETS_PER_RACK)];
        target.remote_slowdown = f64::from(slowdown);
        sim.grant_target(number, number % ENTRIES);
    }
    sim.publish_views();
    sim.run_for(500);
    sim
}

/// A submitted job.
struct Sent {
    key: String,
    kind: Kind,
    is_bound: bool,
    at: u64,
}

/// Plays a load, in which tasks wait for a rack for at most `max_rack_wait`, and returns the share of the value on time.
fn play(load: Load, max_rack_wait: Duration, seed: u64) -> Share {
    let mut sim = fleet(load.slowdown, max_rack_wait);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let places = (TARGETS * PLACES_PER_TARGET) as f64;
    let mut open: Vec<Sent> = Vec::new();
    let (mut count, mut sent, mut on_time) = (0, [0.0; 2], [0.0; 2]);
    for ms in 0..LOAD_MS + 2_000 {
        for (kind, part) in [(SHORT, load.short_bound), (MIDDLE, load.middle_bound)] {
            let work_ms = f64::from(kind.tasks) * kind.run_ms as f64;
            let rate = load.factor * MEAN_UTILISATION / 2.0 * places / work_ms;
            if ms >= LOAD_MS || !rng.random_bool(rate.min(1.0)) {
                continue;
            }
            count += 1;
            let key = format!("{}-{count}", kind.name);
            let is_bound = rng.random_bool(part);
            let rack = format!("rack-{}", count % load.racks);
            let rack = is_bound.then_some(rack.as_str());
            sim.submit(rng.random_range(0..ENTRIES), request(kind, &key, rack));
            sent[usize::from(is_bound)] += kind.value;
            let at = sim.now;
            open.push(Sent {
                key,
                kind,
                is_bound,
                at,
            });
        }
        sim.run_for(1);
        open.retain(|job| {
            let Some(end) = sim.end_of(&job.key) else {
                return true;
            };
            let limit = job.kind.run_ms * 16 / 10 + 60;
            if *end == JobEnd::Completed && sim.now - job.at <= limit {
                on_time[usize::from(job.is_bound)] += job.kind.value;
            }
            false
        });
    }
    assert!(open.is_empty(), "a job never ended");
    assert!(sim.duplicate_runs.is_empty());
    let share = |on_time: f64, sent: f64| on_time / sent.max(f64::MIN_POSITIVE);
    Share {
        all: share(on_time[0] + on_time[1], sent[0] + sent[1]),
        bound: share(on_time[1], sent[1]),
        unbound: share(on_time[0], sent[0]),
    }
}

/// Returns the mean shares over some seeds, without waits for a rack and with them.
fn compare(load: Load) -> (Share, Share) {
    let mean = |max_rack_wait: Duration| {
        let shares: Vec<Share> = (0..SEEDS).map(|seed| play(load, max_rack_wait, seed)).collect();
        let mean = |part: fn(&Share) -> f64| shares.iter().map(part).sum::<f64>() / shares.len() as f64;
        Share {
            all: mean(|share| share.all),
            bound: mean(|share| share.bound),
            unbound: mean(|share| share.unbound),
        }
    };
    let (without, with) = (mean(Duration::ZERO), mean(Options::default().max_rack_wait));
    println!("{load:?}\n  without waits: {without:?}\n  with waits:    {with:?}");
    (without, with)
}

/// Deviation of a share that the choice of seeds explains.
const SPREAD: f64 = 0.02;

/// Tasks that took any free target ran 1.5 or 3 times as long there, although their rack was free soon.
#[test]
fn with_many_short_jobs_bound_to_few_racks_more_is_on_time() {
    for (slowdown, gain) in [(1.5, 0.005), (3.0, 0.03)] {
        let (without, with) = compare(Load {
            factor: 1.3,
            short_bound: 0.6,
            middle_bound: 0.0,
            racks: 3,
            slowdown,
        });
        assert!(with.all >= without.all + gain, "slowdown {slowdown}");
        assert!(with.unbound >= without.unbound - SPREAD, "slowdown {slowdown}");
    }
}

fn nearly_all_on_one_rack(slowdown: f32) -> Load {
    Load {
        factor: 1.2,
        short_bound: 0.95,
        middle_bound: 0.95,
        racks: 1,
        slowdown,
    }
}

/// Orders that wait for a full rack must not hold up the others.
#[test]
fn with_nearly_all_work_on_one_rack_a_wait_does_not_lower_the_rest() {
    let (without, with) = compare(nearly_all_on_one_rack(1.5));
    assert!(with.unbound >= without.unbound - SPREAD);
    assert!(with.all >= without.all - SPREAD);
}

/// The same with a slowdown of 3, with which the work is 1.7 times the capacity. Late work that waited for the rack lowered the
/// rest before late orders were served last.
#[test]
fn with_nearly_all_work_on_one_rack_and_a_slowdown_of_3_a_wait_does_not_lower_the_rest() {
    let (without, with) = compare(nearly_all_on_one_rack(3.0));
    assert!(with.unbound >= without.unbound - SPREAD);
}

/// Creates an entry with a target on each of two racks. Two tasks fit on a target.
fn two_racks(slowdown: f32) -> Simulation {
    let behaviour = TaskBehaviour {
        run_ms: 50,
        end: EndKind::Done,
        hangs: false,
    };
    let options = Options {
        remote_slowdown: slowdown,
        max_rack_wait: Duration::from_secs(5),
        ..Options::default()
    };
    let mut sim = Simulation::with_options(1, 0, behaviour, options);
    for number in 0..2 {
        sim.add_target(number, behaviour);
        let target = sim.targets.get_mut(&simulation::target_id(number)).unwrap();
        target.record.labels = vec![format!("rack-{number}")];
        target.remote_slowdown = f64::from(slowdown);
        sim.grant_target(number, 0);
    }
    sim.publish_views();
    sim.run_for(500);
    sim
}

fn started(sim: &Simulation, key: &str, place: &str) -> usize {
    let lines = sim.decisions.iter();
    let lines = lines.filter(|line| line.contains("RunStarted") && line.contains(key));
    lines.filter(|line| line.contains(place)).count()
}

#[test]
fn a_task_waits_for_its_rack_while_that_pays() {
    let mut sim = two_racks(3.0);
    let short = |key: &str, tasks| request(Kind { tasks, ..SHORT }, key, Some("rack-0"));
    sim.submit(0, short("first", 2));
    sim.run_for(20);
    sim.submit(0, short("second", 1));
    sim.run_for(200);
    assert_eq!(started(&sim, "first", "OnRack { has_waited: false }"), 2);
    assert_eq!(started(&sim, "second", "OnRack { has_waited: true }"), 1);
    assert_eq!(sim.end_of("second"), Some(&JobEnd::Completed));
}

/// The runs ahead took far longer than estimated. A wait without an end lasted until the order expired.
#[test]
fn a_wait_for_a_rack_ends_when_it_no_longer_pays() {
    let mut sim = two_racks(3.0);
    let short = |key: &str, tasks| request(Kind { tasks, ..SHORT }, key, Some("rack-0"));
    let overrun = JobRequest {
        spec: Arc::from(format!("{DATA_ON}rack-0 1000")),
        ..short("first", 2)
    };
    sim.submit(0, overrun);
    sim.run_for(20);
    sim.submit(0, short("second", 1));
    sim.run_for(20);
    assert_eq!(started(&sim, "second", "run"), 0, "it waits");
    sim.run_for(300);
    assert_eq!(started(&sim, "second", "Elsewhere { has_waited: true }"), 1);
}

/// The pass over the queue ended after 24 orders that fit nowhere, and the orders behind them waited although a target was free.
#[test]
fn orders_that_wait_for_a_rack_hold_up_no_others() {
    let mut sim = two_racks(20.0);
    for number in 0..30 {
        let many = JobRequest {
            slack_factor: 60.0,
            time_left: Duration::from_secs(20),
            ..request(
                Kind { tasks: 1, ..SHORT },
                &format!("bound-{number}"),
                Some("rack-0"),
            )
        };
        sim.submit(0, many);
    }
    sim.run_for(5);
    let free = Kind { tasks: 2, ..MIDDLE };
    sim.submit(0, request(free, "free", None));
    sim.run_for(5);
    assert!(
        sim.dispatcher(0).waiting_order_count() >= 24,
        "the queue is too short"
    );
    assert_eq!(started(&sim, "free", "NoRack"), 2);
}
