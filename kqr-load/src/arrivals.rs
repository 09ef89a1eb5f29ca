use std::time::Duration;

use kqr_types::Rate;
use rand::{Rng, RngExt};

use crate::Experiment;

/// What arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// A job of the kind at this position.
    Job(usize),
    /// A single request of the kind at this position.
    Request(usize),
}

/// One arrival of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time from the begin of the run.
    pub at: Duration,
    /// Position of the phase.
    pub phase: usize,
    /// What arrives.
    pub work: Work,
}

/// Returns all arrivals of an experiment in the order of their times: a Poisson process in each phase. The schedule does not
/// depend on how earlier arrivals are answered.
pub fn arrivals<R>(experiment: &Experiment, rng: &mut R) -> Vec<Arrival>
where
    R: Rng,
{
    let mut arrivals = Vec::new();
    let mut begin = Duration::ZERO;
    let job_weights: Vec<u64> = experiment.jobs.iter().map(|mix| mix.weight).collect();
    let request_weights: Vec<u64> = experiment.requests.iter().map(|mix| mix.weight).collect();
    for (index, phase) in experiment.phases.iter().enumerate() {
        let end = begin + phase.length.0;
        for at in times(begin, end, phase.jobs, rng) {
            let work = Work::Job(pick(&job_weights, rng));
            arrivals.push(Arrival {
                at,
                phase: index,
                work,
            });
        }
        for at in times(begin, end, phase.requests, rng) {
            let work = Work::Request(pick(&request_weights, rng));
            arrivals.push(Arrival {
                at,
                phase: index,
                work,
            });
        }
        begin = end;
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn times<R>(begin: Duration, end: Duration, rate: Rate, rng: &mut R) -> Vec<Duration>
where
    R: Rng,
{
    let mut times = Vec::new();
    let mut at = begin;
    if rate.0 <= 0.0 {
        return times;
    }
    loop {
        let uniform: f64 = rng.random();
        at += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate.0);
        if at >= end {
            return times;
        }
        times.push(at);
    }
}

/// Picks a position by weight.
fn pick<R>(weights: &[u64], rng: &mut R) -> usize
where
    R: Rng,
{
    let mut left = rng.random_range(0..weights.iter().sum::<u64>().max(1));
    for (index, weight) in weights.iter().enumerate() {
        if left < *weight {
            return index;
        }
        left -= weight;
    }
    0
}
