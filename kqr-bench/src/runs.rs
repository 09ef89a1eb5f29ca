use std::{collections::BTreeMap, time::Duration};

use crate::{
    baseline::{Central, Choice, FreeSlot, Queued},
    measures::{Measures, measures},
    policy::{Policy, run},
    scenario::Scenario,
    system::System,
    workload,
    world::World,
};

/// Time after the last arrival in which tasks may still end.
const DRAIN: Duration = Duration::from_secs(5);
/// Name of the system among the policies.
pub const SYSTEM: &str = "kumquatroad";

/// Measures of all policies of one run, by the policies' names.
pub type Comparison = BTreeMap<&'static str, Measures>;

/// Runs a scenario with one seed: the system, and the baselines if the scenario has any.
pub fn compare(scenario: &Scenario, load: f64, seed: u64) -> Comparison {
    let arrivals = workload::arrivals(scenario, load, seed);
    let (entries, targets) = (scenario.entries, scenario.targets);
    let mut comparison = Comparison::new();
    let mut add = |name, measures| comparison.insert(name, measures);
    let world = || World::new(scenario, arrivals.clone());
    add(
        SYSTEM,
        one(scenario, System::new(scenario, arrivals.len()), world()),
    );
    if scenario.has_baselines {
        for (name, choice) in [("central", FreeSlot::Fastest), ("central-any", FreeSlot::Any)] {
            add(name, one(scenario, Central::new(choice, targets, seed), world()));
        }
        let queued = [
            ("two-probes", Choice::TwoProbes),
            ("least-loaded", Choice::LeastLoaded),
            ("round-robin", Choice::RoundRobin),
            ("random", Choice::Random),
        ];
        for (name, choice) in queued {
            let policy = Queued::new(choice, entries, targets, seed);
            add(name, one(scenario, policy, world()));
        }
    }
    comparison
}

fn one<P>(scenario: &Scenario, mut policy: P, mut world: World) -> Measures
where
    P: Policy,
{
    let end = scenario.warm_up + scenario.measured + DRAIN;
    run(&mut policy, &mut world, end.as_micros() as u64);
    measures(scenario, &world)
}
