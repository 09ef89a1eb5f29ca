use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::scenario::{Classes, Scenario};

/// One task as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Arrival in microseconds.
    pub at: u64,
    /// Entry that the balancer gives it to.
    pub entry: usize,
    /// Team, by its place in the scenario.
    pub team: usize,
    /// Number of its class.
    pub class: usize,
    /// Run time at speed 1, in seconds.
    pub work: f64,
    /// Whether it is of the long class.
    pub is_long: bool,
    /// Number of its job. The tasks of a job follow each other.
    pub job: usize,
    /// Number of tasks of its job.
    pub tasks: usize,
}

/// Number of classes of tasks that are not long.
pub const CLASSES: usize = 8;
/// Number of the class of long tasks.
pub const LONG_CLASS: usize = CLASSES;
/// Standard deviation of the logarithm of the run time: one in a hundred tasks is beyond each limit.
const LOG_DEVIATION: f64 = 0.643;
/// Part of the variance that the class tells if classes are distinct.
const CLASS_PART: f64 = 0.6;
/// Run times that the mean is computed over.
const MEAN_SAMPLES: usize = 200_000;

/// Returns all arrivals of a run, in order.
pub fn arrivals(scenario: &Scenario, load: f64, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let end = (scenario.warm_up + scenario.measured).as_secs_f64();
    let crest_start = scenario.warm_up.as_secs_f64();
    let rate = scenario.capacity() / mean_work(scenario);
    if scenario.teams.is_empty() {
        let mut now = 0.0;
        while now < end {
            let crest = scenario.crest.filter(|crest| {
                let until = crest_start + crest.length.as_secs_f64();
                (crest_start..until).contains(&now)
            });
            let present = crest.map_or(load, |crest| crest.load);
            now += exponential(&mut rng) * mean_tasks(scenario) / (rate * present);
            push_job(scenario, &mut rng, now, &mut arrivals);
        }
        return arrivals;
    }
    for (index, team) in scenario.teams.iter().enumerate() {
        let mut now = 0.0;
        while now < end {
            now += exponential(&mut rng) / (rate * team.quota * team.sent);
            arrivals.push(arrival(scenario, &mut rng, now, index));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    for (job, arrival) in arrivals.iter_mut().enumerate() {
        arrival.job = job;
    }
    arrivals
}

/// Adds the tasks of one job, which arrive together at one entry.
fn push_job(scenario: &Scenario, rng: &mut ChaCha8Rng, seconds: f64, arrivals: &mut Vec<Arrival>) {
    let first = arrival(scenario, rng, seconds, 0);
    let tasks = match scenario.most_tasks {
        1 => 1,
        most => (most as f64).powf(rng.random::<f64>()).round() as usize,
    };
    let job = arrivals.last().map_or(0, |last| last.job + 1);
    arrivals.push(Arrival { job, tasks, ..first });
    for _ in 1..tasks {
        let next = arrival(scenario, rng, seconds, 0);
        arrivals.push(Arrival {
            entry: first.entry,
            job,
            tasks,
            ..next
        });
    }
}

/// Returns the mean number of tasks of a job: the logarithm of the number is spread evenly.
fn mean_tasks(scenario: &Scenario) -> f64 {
    let most = scenario.most_tasks as f64;
    if scenario.most_tasks == 1 {
        return 1.0;
    }
    (most - 1.0) / most.ln()
}

/// Returns the mean run time at speed 1, in seconds.
pub fn mean_work(scenario: &Scenario) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let mut sum = 0.0;
    for _ in 0..MEAN_SAMPLES {
        sum += arrival(scenario, &mut rng, 0.0, 0).work;
    }
    sum / MEAN_SAMPLES as f64
}

fn arrival(scenario: &Scenario, rng: &mut ChaCha8Rng, seconds: f64, team: usize) -> Arrival {
    let class = rng.random_range(0..CLASSES);
    let own = normal(rng);
    let of_class = 2.0 * (class as f64 + 0.5) / CLASSES as f64 - 1.0;
    let deviations = match scenario.classes {
        // A uniform spread over [-1, 1] has a variance of a third.
        Classes::Distinct => of_class * (3.0 * CLASS_PART).sqrt() + own * (1.0 - CLASS_PART).sqrt(),
        Classes::Alike | Classes::Long { .. } => own,
    };
    let median = (Scenario::SHORTEST * Scenario::LONGEST).sqrt();
    let work = median * (LOG_DEVIATION * deviations).exp();
    let mut arrival = Arrival {
        at: (seconds * 1e6) as u64,
        entry: rng.random_range(0..scenario.entries),
        team,
        class,
        work: work.clamp(Scenario::SHORTEST, Scenario::LONGEST),
        is_long: false,
        job: 0,
        tasks: 1,
    };
    if let Classes::Long { part, factor } = scenario.classes
        && rng.random_bool(part)
    {
        arrival.is_long = true;
        arrival.class = LONG_CLASS;
        arrival.work *= factor;
    }
    arrival
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}

/// Draws from the standard normal distribution by the method of Box and Muller.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let uniform: f64 = rng.random();
    let angle: f64 = rng.random();
    (-2.0 * (1.0 - uniform).ln()).sqrt() * (std::f64::consts::TAU * angle).cos()
}
