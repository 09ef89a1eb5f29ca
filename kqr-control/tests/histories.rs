//! Random histories of changes, resends, crashes, cuts and restarts.

mod system;

use std::{collections::BTreeMap, time::Duration};

use kqr_control::node::CallId;
use kqr_settings::{Answer, Command, Version};
use kqr_types::InstanceId;
use rand::RngExt;
use system::{Outcome, System, control_id, id, set};

const HISTORIES: u64 = 150;
/// A history that once left an instance without an update that was lost.
const ONCE_RED: u64 = 826;
const STEPS: usize = 60;
const FOLLOWERS: usize = 3;

struct History {
    seed: u64,
    system: System,
    controls: Vec<InstanceId>,
    down: Vec<InstanceId>,
    sent: Vec<(CallId, Command)>,
}

impl History {
    fn new(seed: u64) -> Self {
        let count = if seed.is_multiple_of(2) { 3 } else { 5 };
        let mut system = System::new(seed, count);
        let controls: Vec<InstanceId> = (0..count).map(control_id).collect();
        for number in 0..FOLLOWERS {
            let mut peers = controls.clone();
            peers.rotate_left(number);
            system.add_follower(&format!("entry-{number}"), peers);
        }
        system.run(Duration::from_secs(3));
        Self {
            seed,
            system,
            controls,
            down: Vec::new(),
            sent: Vec::new(),
        }
    }

    fn step(&mut self) {
        let control = self.controls[self.system.rng.random_range(0..self.controls.len())].clone();
        match self.system.rng.random_range(0..12) {
            0 if self.down.len() * 2 + 2 < self.controls.len() + 1 => {
                if !self.down.contains(&control) {
                    self.system.crash(&control);
                    self.down.push(control);
                }
            }
            1 => {
                if let Some(control) = self.down.pop() {
                    self.system.restart(&control);
                }
            }
            2 => self
                .system
                .cut(std::slice::from_ref(&control), &self.controls, true),
            3 | 4 => self.heal(),
            5 => {
                let number = self.system.rng.random_range(0..FOLLOWERS);
                let mut peers = self.controls.clone();
                peers.rotate_left(number);
                self.system
                    .restart_follower(&id(&format!("entry-{number}")), peers);
            }
            6 | 7 if !self.sent.is_empty() => {
                let earlier = self.system.rng.random_range(0..self.sent.len());
                let command = self.sent[earlier].1.clone();
                self.send(&control, command);
            }
            8 => self.send_new(&control),
            _ => {
                let leader = self.system.leader();
                self.send_new(&leader.unwrap_or(control));
            }
        }
        let pause = self.system.rng.random_range(1..1500);
        self.system.run(Duration::from_millis(pause));
    }

    fn send_new(&mut self, control: &InstanceId) {
        if self.down.contains(control) {
            return;
        }
        let present = self.system.node(control).settings().version().0;
        let base = present.saturating_sub(self.system.rng.random_range(0..3));
        let team = self.system.rng.random_range(0..4);
        let change = format!("change-{}", self.sent.len());
        let command = set(
            &change,
            base,
            &format!("teams/t{team}/burst"),
            &self.sent.len().to_string(),
        );
        self.send(control, command);
    }

    fn send(&mut self, control: &InstanceId, command: Command) {
        let call = self.system.change(control, command.clone());
        self.sent.push((call, command));
    }

    fn heal(&mut self) {
        let controls = self.controls.clone();
        self.system.cut(&controls, &controls, false);
    }

    fn settle(&mut self) {
        self.heal();
        for control in std::mem::take(&mut self.down) {
            self.system.restart(&control);
        }
        self.system.run(Duration::from_secs(15));
    }

    /// Checks the answers against the accepted changes and returns how many were accepted.
    fn check_answers(&self) -> usize {
        let seed = self.seed;
        let log = self.system.node(&self.controls[0]).settings();
        let mut answers: BTreeMap<&str, &Answer> = BTreeMap::new();
        for (call, command) in &self.sent {
            let Some((_, Outcome::Answered(answer))) = self.system.outcomes.get(call) else {
                continue;
            };
            let first = answers.entry(command.change.as_str()).or_insert(answer);
            assert_eq!(*first, answer, "seed {seed}: two answers to {}", command.change);
            let Answer::Accepted { version, .. } = answer else {
                continue;
            };
            let made = log.changes_since(Version(version.0 - 1)).next();
            let made = made.unwrap_or_else(|| panic!("seed {seed}: version {version} is lost"));
            assert_eq!(made.change, command.change, "seed {seed}: version {version}");
        }
        log.version().0 as usize
    }

    fn check_copies(&self) {
        let seed = self.seed;
        let log = self.system.node(&self.controls[0]).settings();
        for control in &self.controls {
            assert_eq!(
                self.system.node(control).settings(),
                log,
                "seed {seed}: {control}"
            );
        }
        for entry in self.system.followers() {
            let mut highest = Version(0);
            for (_, version) in self.system.applied(&entry) {
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
fn nothing_acknowledged_is_lost_and_no_instance_goes_back() {
    let mut accepted = 0;
    for seed in (0..HISTORIES).chain([ONCE_RED]) {
        let mut history = History::new(seed);
        for _ in 0..STEPS {
            history.step();
        }
        history.settle();
        accepted += history.check_answers();
        history.check_copies();
    }
    assert!(accepted > 1000, "only {accepted} changes were accepted");
}
