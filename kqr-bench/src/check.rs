use std::{collections::BTreeMap, sync::Mutex, sync::PoisonError, thread};

use eyre::{OptionExt, eyre};

use crate::{Bound, Bounds, Comparison, SYSTEM, Scenario, compare};

/// Runs that are made at the same time.
const THREADS: usize = 4;

/// One run: scenario, load in millionths and seed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Run {
    scenario: String,
    load_millionths: u64,
    seed: u64,
}

/// The worst value of a bound over all seeds.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The bound.
    pub bound: Bound,
    /// The worst value.
    pub worst: f64,
    /// Seed that gave it.
    pub seed: u64,
}

impl Verdict {
    /// Returns whether the bound holds.
    pub fn holds(&self) -> bool {
        self.bound.holds(self.worst)
    }
}

/// Makes all runs that the bounds need and judges each bound by its worst seed.
///
/// # Errors
///
/// Fails if a bound names an unknown scenario, policy or measure.
pub fn check(bounds: &Bounds) -> eyre::Result<Vec<Verdict>> {
    let mut runs = Vec::new();
    for bound in &bounds.bounds {
        for seed in &bounds.seeds {
            runs.push(Run::of(&bound.scenario, bound.load, *seed));
            if let Some(other) = &bound.over_scenario {
                runs.push(Run::of(other, bound.over_load.unwrap_or(bound.load), *seed));
            }
        }
    }
    runs.sort();
    runs.dedup();
    let results = make(runs)?;
    let mut verdicts = Vec::new();
    for bound in &bounds.bounds {
        verdicts.push(judge(bound, &bounds.seeds, &results)?);
    }
    Ok(verdicts)
}

impl Run {
    fn of(scenario: &str, load: f64, seed: u64) -> Self {
        Self {
            scenario: scenario.to_owned(),
            load_millionths: (load * 1e6).round() as u64,
            seed,
        }
    }

    fn make(&self) -> eyre::Result<Comparison> {
        let scenario = Scenario::find(&self.scenario)?;
        Ok(compare(&scenario, self.load_millionths as f64 / 1e6, self.seed))
    }
}

fn make(runs: Vec<Run>) -> eyre::Result<BTreeMap<Run, Comparison>> {
    let waiting = Mutex::new(runs);
    let results = Mutex::new(BTreeMap::new());
    let work = || -> eyre::Result<()> {
        loop {
            let next = waiting.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let Some(run) = next else { return Ok(()) };
            let comparison = run.make()?;
            let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
            results.insert(run, comparison);
        }
    };
    thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        for worker in workers {
            worker.join().map_err(|_| eyre!("a run panicked"))??;
        }
        Ok::<(), eyre::Report>(())
    })?;
    Ok(results.into_inner().unwrap_or_else(PoisonError::into_inner))
}

fn judge(bound: &Bound, seeds: &[u64], results: &BTreeMap<Run, Comparison>) -> eyre::Result<Verdict> {
    let mut worst: Option<(f64, u64)> = None;
    for seed in seeds {
        let value = value(bound, *seed, results)?;
        let is_worse = worst.is_none_or(|(other, _)| bound.worse(value, other).to_bits() != other.to_bits());
        if is_worse {
            worst = Some((value, *seed));
        }
    }
    let (worst, seed) = worst.ok_or_eyre("the bounds name no seed")?;
    let bound = bound.clone();
    Ok(Verdict { bound, worst, seed })
}

fn value(bound: &Bound, seed: u64, results: &BTreeMap<Run, Comparison>) -> eyre::Result<f64> {
    let own = &results[&Run::of(&bound.scenario, bound.load, seed)];
    let mut value = measure(own, SYSTEM, &bound.measure)?;
    if let Some(policy) = &bound.over_policy {
        value /= measure(own, policy, &bound.measure)?;
    }
    if let Some(scenario) = &bound.over_scenario {
        let load = bound.over_load.unwrap_or(bound.load);
        let other = &results[&Run::of(scenario, load, seed)];
        value /= measure(other, SYSTEM, &bound.measure)?;
    }
    Ok(value)
}

fn measure(comparison: &Comparison, policy: &str, measure: &str) -> eyre::Result<f64> {
    let measures = comparison
        .get(policy)
        .ok_or_else(|| eyre!("no policy {policy} was run"))?;
    let value = measures.get(measure);
    value
        .copied()
        .ok_or_else(|| eyre!("no measure {measure} of {policy}"))
}
