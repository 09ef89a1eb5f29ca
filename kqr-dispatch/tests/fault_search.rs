//! Random search with long runs, faults of single directions and callers that return: no task runs twice at the
//! same time, and none starts again after its completion was acknowledged.

mod simulation;

use std::{collections::BTreeSet, env, sync::Arc};

use kqr_dispatch::{EndKind, JobEnd, JobRequest, TargetCall};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulation::{CallFault, Simulation, TaskBehaviour, job, target_id};

const ENTRIES: usize = 3;
const TARGETS: usize = 6;
/// Number of seeds for each run time, unless `KQR_SEARCH_SEEDS` is set.
const SEEDS: u64 = 40;
/// Number of steps of a history.
const STEPS: usize = 40;
/// Run times of the tasks in milliseconds; the estimates match.
const RUN_TIMES_MS: [u64; 3] = [800, 1_500, 3_000];
/// Delay of late stops.
const LATE_STOP_MS: u64 = 5_000;
/// Delay before a caller submits its job to another entry.
const RESUBMIT_DELAY_MS: u64 = 1_300;
/// Time after which a caller without an answer gives up its entry.
const CALLER_TIMEOUT_MS: u64 = 2_500;
/// Longest time after the end of an isolation until an entry learns that callers have left.
const MAX_DISCONNECT_DELAY_MS: u64 = 1_000;
/// Interval at which callers act.
const CALLER_INTERVAL_MS: u64 = 5;

/// Faults that are searched besides those of links, entries and calls.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    /// Stops take effect after [`LATE_STOP_MS`] and are not answered.
    late_stops: bool,
    /// Entries are suspended.
    standstills: bool,
    /// Entries are cut off from siblings, targets and callers, and learn late that callers have left.
    isolations: bool,
}

/// What is promised for each task.
#[derive(Clone, Copy, Debug)]
enum Promise {
    /// A coordinator has no two runs of it at the same time.
    OneRunOfACoordinator,
    /// Coordinators of the same job have no two runs of it at the same time.
    OneRunOfAllEntries,
    /// A coordinator does not start it again after its completion was acknowledged to the target.
    NoStartAfterDone,
}

/// A caller that waits for a job.
struct Caller {
    request: JobRequest,
    /// Entry that has the job.
    entry: usize,
    submitted_at: u64,
    /// Number of ends of the job when it was submitted last.
    known_ends: usize,
    submissions: u32,
    /// When the job is submitted to another entry, if it was given up at this one.
    resubmit_at: Option<u64>,
    is_served: bool,
}

/// A simulation with its callers.
struct Search {
    sim: Simulation,
    callers: Vec<Caller>,
    /// Entries that are cut off from their callers.
    isolated: BTreeSet<usize>,
    /// Jobs whose callers have left, with the time at which the entry learns that.
    disconnects: Vec<(u64, usize, String)>,
    rng: ChaCha8Rng,
    run_ms: u64,
    faults: Faults,
}

impl Search {
    fn new(seed: u64, run_ms: u64, faults: Faults) -> Self {
        let behaviour = TaskBehaviour {
            run_ms,
            end: EndKind::Done,
            hangs: false,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut sim = Simulation::new(ENTRIES, TARGETS, behaviour);
        let table: Vec<(u8, u64)> = (0..97)
            .map(|_| (rng.random(), rng.random_range(20..5_000)))
            .collect();
        let mut calls = 0;
        sim.call_fault = Box::new(move |call| {
            calls += 1;
            let (fault, delay) = table[calls % table.len()];
            match (call, fault) {
                (TargetCall::Stop(_), _) if faults.late_stops => CallFault::Late(LATE_STOP_MS),
                (_, 225..235) => CallFault::AnswerLost,
                (TargetCall::Poll(_), 250..) | (TargetCall::Start(_), 235..) => CallFault::Late(delay),
                _ => CallFault::Normal,
            }
        });
        Self {
            sim,
            callers: Vec::new(),
            isolated: BTreeSet::new(),
            disconnects: Vec::new(),
            rng,
            run_ms,
            faults,
        }
    }

    fn run_history(&mut self) {
        for _ in 0..STEPS {
            self.step();
            self.run_for(5);
        }
        self.heal();
        for entry in 0..ENTRIES {
            self.sim.resume(entry);
        }
        self.sim.call_fault = Box::new(|_| CallFault::Normal);
        self.sim.publish_views();
        self.run_for(8_000);
    }

    fn step(&mut self) {
        let entry = self.rng.random_range(0..ENTRIES);
        let other = (entry + self.rng.random_range(1..ENTRIES)) % ENTRIES;
        let target = self.rng.random_range(0..TARGETS);
        match self.rng.random_range(0..22) {
            0..4 => self.submit_new(entry),
            4 => self.sim.cut_links.push((entry, other)),
            5 | 6 => self.sim.cut_paths.push((entry, other)),
            7 => self.sim.lost_answers.push((entry, other)),
            8 => {
                let delay = self.rng.random_range(2..300);
                self.sim.delays.insert((entry, other), delay);
            }
            9 => self.sim.cut_target_links.push((entry, target_id(target))),
            10 | 11 => self.heal(),
            12 if self.faults.standstills => self.sim.suspend(entry),
            13 if self.faults.standstills => self.sim.resume(entry),
            14 => {
                self.sim.kill(entry);
                self.disconnect_callers_of(entry);
                self.run_for(50);
                self.sim.restart(entry);
                self.sim.publish_views();
            }
            15 => self.sim.restart_target(target),
            16 => {
                self.sim.grant_target(target, entry);
                self.sim.publish_view(entry);
            }
            17 => self.move_a_caller(),
            18 if self.faults.isolations => self.isolate(entry),
            _ => {
                let millis = self.rng.random_range(0..800);
                self.run_for(millis);
            }
        }
    }

    /// Cuts all links of an entry. Its callers notice it at once.
    fn isolate(&mut self, entry: usize) {
        for other in (0..ENTRIES).filter(|other| *other != entry) {
            self.sim.cut_links.push((entry, other));
        }
        for target in 0..TARGETS {
            self.sim.cut_target_links.push((entry, target_id(target)));
        }
        self.isolated.insert(entry);
        self.disconnect_callers_of(entry);
    }

    fn heal(&mut self) {
        for entry in std::mem::take(&mut self.isolated) {
            for (at, of, _) in &mut self.disconnects {
                if *of == entry {
                    *at = self.sim.now + self.rng.random_range(0..MAX_DISCONNECT_DELAY_MS);
                }
            }
        }
        self.sim.cut_links.clear();
        self.sim.cut_paths.clear();
        self.sim.lost_answers.clear();
        self.sim.delays.clear();
        self.sim.cut_target_links.clear();
    }

    fn submit_new(&mut self, entry: usize) {
        if self.isolated.contains(&entry) {
            return;
        }
        let tasks = self.rng.random_range(1..=6);
        let request = job(&format!("job-{}", self.callers.len()), tasks, self.run_ms);
        self.callers.push(Caller {
            request,
            entry,
            submitted_at: 0,
            known_ends: 0,
            submissions: 0,
            resubmit_at: None,
            is_served: false,
        });
        self.submit(self.callers.len() - 1, entry);
    }

    /// Submits a job with a payload of its own, by which its runs are told from those of other submissions.
    fn submit(&mut self, number: usize, entry: usize) {
        let caller = &mut self.callers[number];
        caller.submissions += 1;
        caller.entry = entry;
        caller.submitted_at = self.sim.now;
        caller.resubmit_at = None;
        caller.known_ends = self.sim.ends.get(caller.request.key.as_str()).map_or(0, Vec::len);
        caller.request.spec = Arc::from(format!("submission-{}", caller.submissions));
        self.sim.submit(entry, caller.request.clone());
    }

    /// Disconnects a caller, which submits its job to another entry later.
    fn disconnect(&mut self, number: usize) {
        let caller = &mut self.callers[number];
        if caller.is_served || caller.resubmit_at.is_some() {
            return;
        }
        caller.resubmit_at = Some(self.sim.now + RESUBMIT_DELAY_MS);
        let (entry, key) = (caller.entry, caller.request.key.to_string());
        if self.isolated.contains(&entry) {
            self.disconnects.push((u64::MAX, entry, key));
        } else {
            self.sim.abandon(entry, &key);
        }
    }

    fn disconnect_callers_of(&mut self, entry: usize) {
        for number in 0..self.callers.len() {
            if self.callers[number].entry == entry {
                self.disconnect(number);
            }
        }
    }

    fn move_a_caller(&mut self) {
        if !self.callers.is_empty() {
            let number = self.rng.random_range(0..self.callers.len());
            self.disconnect(number);
        }
    }

    fn run_for(&mut self, millis: u64) {
        let end = self.sim.now + millis;
        while self.sim.now < end {
            self.sim.run_for(CALLER_INTERVAL_MS.min(end - self.sim.now));
            self.act_for_callers();
        }
    }

    fn act_for_callers(&mut self) {
        let now = self.sim.now;
        for (at, entry, key) in std::mem::take(&mut self.disconnects) {
            if at > now {
                self.disconnects.push((at, entry, key));
            } else {
                self.sim.abandon(entry, &key);
            }
        }
        for number in 0..self.callers.len() {
            let caller = &mut self.callers[number];
            if caller.is_served {
                continue;
            }
            if let Some(at) = caller.resubmit_at {
                let mut others = (1..ENTRIES).map(|step| (caller.entry + step) % ENTRIES);
                let reachable = others.find(|entry| !self.isolated.contains(entry));
                if let Some(entry) = reachable.filter(|_| at <= now) {
                    self.submit(number, entry);
                }
                continue;
            }
            let ends = self.sim.ends.get(caller.request.key.as_str());
            let new_ends = ends.and_then(|ends| ends.get(caller.known_ends..));
            let mut answers = new_ends.unwrap_or_default().iter();
            let answer = answers.find(|(entry, _)| *entry == caller.entry);
            match answer {
                Some((_, JobEnd::Completed | JobEnd::Failed)) => caller.is_served = true,
                Some((_, JobEnd::GivenUp(_) | JobEnd::Refused { .. })) => {
                    caller.resubmit_at = Some(now + RESUBMIT_DELAY_MS);
                }
                None if now >= caller.submitted_at + CALLER_TIMEOUT_MS + self.run_ms => {
                    self.disconnect(number);
                }
                None => {}
            }
        }
    }

    /// Returns the tasks that broke a promise.
    fn broken(&self, promise: Promise) -> BTreeSet<String> {
        let of_one_coordinator = &self.sim.duplicates_of_one_payload;
        match promise {
            Promise::OneRunOfACoordinator => of_one_coordinator.clone(),
            Promise::OneRunOfAllEntries => &self.sim.duplicate_runs - of_one_coordinator,
            Promise::NoStartAfterDone => self.sim.restarts_after_done.clone(),
        }
    }

    fn log_of(&self, task: &str) -> String {
        let job = format!("{},", task.split_once('.').map_or(task, |(job, _)| job));
        let mut log = Vec::new();
        for line in &self.sim.decisions {
            if line.contains(&job) || line.contains("SiblingChanged") || line.contains("TargetChanged") {
                log.push(line.as_str());
            }
        }
        log.join("\n")
    }
}

/// Checks that fail for a known reason, by name.
const KNOWN_FAILURES: &str = include_str!("../../KNOWN-RED.txt");

/// Plays all seeds, and asserts that none breaks one of the promises.
fn search(faults: Faults, promises: &[Promise]) {
    let found = find_broken(faults, promises);
    assert!(found.is_empty(), "{} finds:\n{}", found.len(), found.join("\n"));
}

/// Plays all seeds for a test that is listed as failing, and asserts that it does fail: once it passes, its entry
/// has to go.
fn search_known_failure(test: &str, faults: Faults, promises: &[Promise]) {
    let entry = format!("test {test}:");
    if !KNOWN_FAILURES.lines().any(|line| line.starts_with(&entry)) {
        search(faults, promises);
        return;
    }
    let found = find_broken(faults, promises);
    assert!(!found.is_empty(), "{test} passes, but is listed as failing");
    println!(
        "FAILS, known: {test}: {} finds:\n{}",
        found.len(),
        found.join("\n")
    );
}

/// Plays all seeds, and returns those that break one of the promises.
fn find_broken(faults: Faults, promises: &[Promise]) -> Vec<String> {
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("KQR_SEARCH_FIRST_SEED").unwrap_or(0);
    let count = number("KQR_SEARCH_SEEDS").unwrap_or(SEEDS);
    let mut found = Vec::new();
    for run_ms in RUN_TIMES_MS {
        for seed in first..first + count {
            let mut search = Search::new(seed, run_ms, faults);
            search.run_history();
            for &promise in promises {
                let tasks = search.broken(promise);
                let Some(task) = tasks.first() else {
                    continue;
                };
                if found.is_empty() {
                    eprintln!("{}", search.log_of(task));
                }
                found.push(format!("{promise:?}: runs of {run_ms} ms, seed {seed}: {task}"));
            }
        }
    }
    found
}

const ONE_RUN: [Promise; 2] = [Promise::OneRunOfACoordinator, Promise::OneRunOfAllEntries];

#[test]
fn no_task_runs_twice_despite_faults_of_links_entries_and_calls() {
    search(Faults::default(), &ONE_RUN);
}

#[test]
fn no_task_starts_again_after_its_acknowledged_completion() {
    search_known_failure(
        "no_task_starts_again_after_its_acknowledged_completion",
        Faults::default(),
        &[Promise::NoStartAfterDone],
    );
}

#[test]
fn no_task_runs_twice_despite_late_stops() {
    let faults = Faults {
        late_stops: true,
        ..Faults::default()
    };
    search(faults, &ONE_RUN);
}

#[test]
fn no_task_runs_twice_despite_standstills() {
    let faults = Faults {
        standstills: true,
        ..Faults::default()
    };
    search(faults, &ONE_RUN);
}

#[test]
fn no_task_runs_twice_despite_isolations() {
    let faults = Faults {
        isolations: true,
        ..Faults::default()
    };
    search(faults, &ONE_RUN);
}
