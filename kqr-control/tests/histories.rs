//! Random histories of changes, resends, crashes, partitions and restarts.

mod simulation;

use std::{collections::BTreeMap, time::Duration};

use kqr_control::node::CallId;
use kqr_settings::{Answer, Command, Version};
use kqr_types::InstanceId;
use rand::RngExt;
use simulation::{Outcome, Simulation, control_id, id, set_command};

const HISTORY_COUNT: u64 = 150;
/// Seed of a history in which a follower once never received an update that had been lost.
const REGRESSION_SEED: u64 = 826;
const STEPS_PER_HISTORY: usize = 60;
const FOLLOWER_COUNT: usize = 3;

struct History {
    seed: u64,
    sim: Simulation,
    controls: Vec<InstanceId>,
    crashed: Vec<InstanceId>,
    submitted: Vec<(CallId, Command)>,
}

impl History {
    fn new(seed: u64) -> Self {
        let count = if seed.is_multiple_of(2) { 3 } else { 5 };
        let mut sim = Simulation::new(seed, count);
        let controls: Vec<InstanceId> = (0..count).map(control_id).collect();
        for number in 0..FOLLOWER_COUNT {
            let mut peers = controls.clone();
            peers.rotate_left(number);
            sim.add_follower(&format!("entry-{number}"), peers);
        }
        sim.run_for(Duration::from_secs(3));
        Self {
            seed,
            sim,
            controls,
            crashed: Vec::new(),
            submitted: Vec::new(),
        }
    }

    fn run_step(&mut self) {
        let control = self.controls[self.sim.rng.random_range(0..self.controls.len())].clone();
        match self.sim.rng.random_range(0..12) {
            0 if self.crashed.len() * 2 + 2 < self.controls.len() + 1 => {
                if !self.crashed.contains(&control) {
                    self.sim.crash(&control);
                    self.crashed.push(control);
                }
            }
            1 => {
                if let Some(control) = self.crashed.pop() {
                    self.sim.restart(&control);
                }
            }
            2 => self
                .sim
                .set_partition(std::slice::from_ref(&control), &self.controls, true),
            3 | 4 => self.heal_partitions(),
            5 => {
                let number = self.sim.rng.random_range(0..FOLLOWER_COUNT);
                let mut peers = self.controls.clone();
                peers.rotate_left(number);
                self.sim.restart_follower(&id(&format!("entry-{number}")), peers);
            }
            6 | 7 if !self.submitted.is_empty() => {
                let earlier = self.sim.rng.random_range(0..self.submitted.len());
                let command = self.submitted[earlier].1.clone();
                self.submit(&control, command);
            }
            8 => self.submit_new(&control),
            _ => {
                let leader = self.sim.leader();
                self.submit_new(&leader.unwrap_or(control));
            }
        }
        let pause = self.sim.rng.random_range(1..1500);
        self.sim.run_for(Duration::from_millis(pause));
    }

    fn submit_new(&mut self, control: &InstanceId) {
        if self.crashed.contains(control) {
            return;
        }
        let version = self.sim.node(control).settings().version().0;
        let base = version.saturating_sub(self.sim.rng.random_range(0..3));
        let team = self.sim.rng.random_range(0..4);
        let change = format!("change-{}", self.submitted.len());
        let command = set_command(
            &change,
            base,
            &format!("teams/t{team}/burst"),
            &self.submitted.len().to_string(),
        );
        self.submit(control, command);
    }

    fn submit(&mut self, control: &InstanceId, command: Command) {
        let call = self.sim.submit(control, command.clone());
        self.submitted.push((call, command));
    }

    fn heal_partitions(&mut self) {
        let controls = self.controls.clone();
        self.sim.set_partition(&controls, &controls, false);
    }

    fn recover(&mut self) {
        self.heal_partitions();
        for control in std::mem::take(&mut self.crashed) {
            self.sim.restart(&control);
        }
        self.sim.run_for(Duration::from_secs(15));
    }

    /// Checks the answers against the accepted changes and returns the number of accepted changes.
    fn check_answers(&self) -> usize {
        let seed = self.seed;
        let log = self.sim.node(&self.controls[0]).settings();
        let mut answers: BTreeMap<&str, &Answer> = BTreeMap::new();
        for (call, command) in &self.submitted {
            let Some((_, Outcome::Answered(answer))) = self.sim.outcomes.get(call) else {
                continue;
            };
            let first = answers.entry(command.change.as_str()).or_insert(answer);
            assert_eq!(*first, answer, "seed {seed}: two answers to {}", command.change);
            let Answer::Accepted { version, .. } = answer else {
                continue;
            };
            let change = log.changes_since(Version(version.0 - 1)).next();
            let change = change.unwrap_or_else(|| panic!("seed {seed}: version {version} is lost"));
            assert_eq!(change.change, command.change, "seed {seed}: version {version}");
        }
        log.version().0 as usize
    }

    fn check_replicas(&self) {
        let seed = self.seed;
        let log = self.sim.node(&self.controls[0]).settings();
        for control in &self.controls {
            assert_eq!(self.sim.node(control).settings(), log, "seed {seed}: {control}");
        }
        for entry in self.sim.followers() {
            let mut highest = Version(0);
            for (_, version) in self.sim.applied(&entry) {
                assert!(
                    *version >= highest,
                    "seed {seed}: {entry} went from {highest} to {version}"
                );
                highest = *version;
            }
            assert_eq!(highest, log.version(), "seed {seed}: {entry}");
        }
    }
}

#[test]
fn acknowledged_changes_are_kept_and_versions_never_decrease() {
    let mut accepted = 0;
    for seed in (0..HISTORY_COUNT).chain([REGRESSION_SEED]) {
        let mut history = History::new(seed);
        for _ in 0..STEPS_PER_HISTORY {
            history.run_step();
        }
        history.recover();
        accepted += history.check_answers();
        history.check_replicas();
    }
    assert!(accepted > 1000, "only {accepted} changes were accepted");
}
