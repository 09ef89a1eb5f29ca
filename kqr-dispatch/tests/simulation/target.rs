//! A simulated target, which runs tasks under a lease and lists ends until they are acknowledged.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kqr_dispatch::{
    CallFailure, EndKind, EndedRun, PollAnswer, Refusal, RunId, RunProgress, TargetCall, TargetTime, TaskId,
};
use kqr_fleet::{FencingToken, TargetRecord};

/// Payload of a task that crashes each target that starts it.
pub const CRASHING: &str = "crashing";
/// Start of the payload of a task that takes [`Target::remote_slowdown`] times as long without the label that follows, and its
/// run time there in milliseconds after a space.
pub const DATA_ON: &str = "data-on ";
/// Time from the start of such a task to the crash, and from the crash to the next incarnation.
const CRASH_DELAY_MS: u64 = 10;
const DOWN_MS: u64 = 3_000;

/// Prefix of a payload that states the run time of its task on a target of normal speed, in milliseconds.
pub const RUN_MS_PREFIX: &str = "run-ms=";

/// An active run.
#[derive(Clone, Debug)]
pub struct ActiveRun {
    /// When it began, in milliseconds.
    pub began: u64,
    /// When it ends by itself, in milliseconds.
    pub ends: u64,
    /// How it ends by itself.
    pub end: EndKind,
    /// Whether it never makes progress.
    pub hangs: bool,
    /// Payload of its start.
    pub spec: Arc<str>,
}

/// Behaviour of the tasks that a target starts.
#[derive(Clone, Copy, Debug)]
pub struct TaskBehaviour {
    pub run_ms: u64,
    pub end: EndKind,
    pub hangs: bool,
}

/// A simulated target.
#[derive(Clone, Debug)]
pub struct Target {
    pub record: TargetRecord,
    pub behaviour: TaskBehaviour,
    /// Factor on the run time of tasks whose data is on another rack.
    pub remote_slowdown: f64,
    /// Factor on the run times that payloads state.
    pub slowness: f64,
    pub is_up: bool,
    /// Number of crashes.
    pub crashes: usize,
    crashes_at: Option<u64>,
    /// When a crashed target starts again.
    pub restarts_at: Option<u64>,
    pub running: BTreeMap<RunId, ActiveRun>,
    pub starts: Vec<RunId>,
    /// Payloads of the started runs.
    pub specs: BTreeMap<RunId, Arc<str>>,
    /// Tasks whose end `Done` was acknowledged, by payload.
    pub acknowledged: BTreeSet<(TaskId, Arc<str>)>,
    token: FencingToken,
    highest_attempts: BTreeMap<String, u32>,
    ended: Vec<EndedRun>,
    count: u64,
    lease_until: u64,
}

impl Target {
    pub fn new(record: TargetRecord, behaviour: TaskBehaviour) -> Self {
        Self {
            record,
            behaviour,
            remote_slowdown: 1.0,
            slowness: 1.0,
            is_up: true,
            crashes: 0,
            crashes_at: None,
            restarts_at: None,
            running: BTreeMap::new(),
            starts: Vec::new(),
            specs: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            token: FencingToken(0),
            highest_attempts: BTreeMap::new(),
            ended: Vec::new(),
            count: 0,
            lease_until: 0,
        }
    }

    /// Ends the runs that are due. The target's clock shows the virtual time.
    pub fn advance(&mut self, now: u64) {
        if self.crashes_at.is_some_and(|at| at <= now) {
            self.is_up = false;
            self.crashes += 1;
            self.crashes_at = None;
            self.restarts_at = Some(now + DOWN_MS);
            self.running.clear();
            return;
        }
        let due: Vec<RunId> = self.running.keys().cloned().collect();
        for run in due {
            let work = &self.running[&run];
            if self.lease_until <= now {
                self.end(&run, EndKind::Stopped);
            } else if work.ends <= now && !work.hangs {
                let end = work.end;
                self.end(&run, end);
            }
        }
    }

    /// Restarts the target as a new incarnation without any runs.
    pub fn restart(&mut self) {
        let record = TargetRecord {
            life: self.record.life.next(),
            ..self.record.clone()
        };
        let acknowledged = std::mem::take(&mut self.acknowledged);
        let starts = std::mem::take(&mut self.starts);
        *self = Self {
            acknowledged,
            starts,
            crashes: self.crashes,
            remote_slowdown: self.remote_slowdown,
            ..Self::new(record, self.behaviour)
        };
    }

    pub fn has_ends(&self, cursor: u64) -> bool {
        self.ended.iter().any(|ended| ended.number > cursor)
    }

    /// Performs a call. Callers use only the clock in the answer to a start or a stop.
    pub fn call(
        &mut self,
        now: u64,
        token: FencingToken,
        call: &TargetCall,
    ) -> Result<PollAnswer, CallFailure> {
        self.advance(now);
        if token < self.token {
            return Err(CallFailure::Refused(Refusal::Fenced));
        }
        self.token = token;
        match call {
            TargetCall::Start(start) => {
                let name = start.run.task.to_string();
                let known = self.highest_attempts.get(&name).copied().unwrap_or(0);
                if self.running.contains_key(&start.run) {
                } else if start.run.attempt <= known {
                    return Err(CallFailure::Refused(Refusal::Superseded));
                } else if start.lease_until.0 <= now {
                    return Err(CallFailure::Refused(Refusal::Late));
                } else {
                    let TaskBehaviour { end, hangs, .. } = self.behaviour;
                    let run_ms = self.run_ms(&start.spec);
                    let (began, ends) = (now, now + run_ms);
                    self.running.insert(
                        start.run.clone(),
                        ActiveRun {
                            began,
                            ends,
                            end,
                            hangs,
                            spec: start.spec.clone(),
                        },
                    );
                    if &*start.spec == CRASHING {
                        self.crashes_at.get_or_insert(now + CRASH_DELAY_MS);
                    }
                    self.specs.insert(start.run.clone(), start.spec.clone());
                    self.starts.push(start.run.clone());
                }
                self.lease_until = self.lease_until.max(start.lease_until.0.min(now + 1000));
            }
            TargetCall::Stop(stop) => {
                let name = stop.run.task.to_string();
                let known = self.highest_attempts.entry(name).or_default();
                *known = (*known).max(stop.run.attempt);
                if self.running.contains_key(&stop.run) {
                    self.end(&stop.run, EndKind::Stopped);
                }
            }
            TargetCall::Poll(poll) => {
                for ended in std::mem::take(&mut self.ended) {
                    if ended.number > poll.ack_cursor {
                        self.ended.push(ended);
                    } else if ended.kind == EndKind::Done
                        && let Some(spec) = self.specs.get(&ended.run)
                    {
                        self.acknowledged.insert((ended.run.task, spec.clone()));
                    }
                }
                if let Some(until) = poll.lease_until {
                    self.lease_until = self.lease_until.max(until.0.min(now + 1000));
                }
            }
        }
        Ok(self.answer(now))
    }

    /// Returns the run time of a task with the given payload.
    fn run_ms(&self, spec: &str) -> u64 {
        let named = spec.strip_prefix(DATA_ON).and_then(|rest| rest.split_once(' '));
        let Some((rack, run_ms)) = named else {
            let stated = spec.strip_prefix(RUN_MS_PREFIX);
            let stated = stated.and_then(|millis| millis.parse::<f64>().ok());
            return stated.map_or(self.behaviour.run_ms, |millis| (millis * self.slowness) as u64);
        };
        let run_ms: f64 = run_ms.parse().unwrap();
        if rack == "any" || self.record.has_label(rack) {
            run_ms as u64
        } else {
            (run_ms * self.remote_slowdown) as u64
        }
    }

    fn answer(&self, now: u64) -> PollAnswer {
        let mut running = Vec::new();
        for (run, work) in &self.running {
            let done = if work.hangs {
                0
            } else {
                (now - work.began) * 100 / (work.ends - work.began).max(1)
            };
            running.push(RunProgress {
                run: run.clone(),
                percent: done.min(100) as u8,
            });
        }
        PollAnswer {
            incarnation: Some(self.record.life),
            clock: TargetTime(now),
            running,
            ended: self.ended.clone(),
        }
    }

    fn end(&mut self, run: &RunId, kind: EndKind) {
        self.running.remove(run);
        self.count += 1;
        let name = run.task.to_string();
        let known = self.highest_attempts.entry(name).or_default();
        *known = (*known).max(run.attempt);
        self.ended.push(EndedRun {
            number: self.count,
            run: run.clone(),
            kind,
        });
    }
}
