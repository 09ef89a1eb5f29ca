use std::collections::BTreeMap;

use kqr_jobs::{Input, Machine, Member, Options, Output, home_order};
use kqr_types::{AttemptId, Epoch, Incarnation, InstanceId, Instant, JobKey, KeyDigest};

/// An attempt at a target whose result is not yet known.
#[derive(Clone)]
pub struct Exchange {
    pub key: JobKey,
    pub attempt: AttemptId,
    pub target: usize,
    pub incarnation: Incarnation,
    /// True time in microseconds from which the target is queried, unless its result arrives before.
    pub query_from: u64,
}

/// One entry: a job machine and the surrounding state that the tests need.
pub struct Node {
    pub id: InstanceId,
    pub incarnation: Incarnation,
    pub machine: Option<Machine>,
    pub exchanges: BTreeMap<AttemptId, Exchange>,
    pub is_isolated: bool,
    /// Deviation of the clock's rate, in parts per million.
    pub drift_ppm: i64,
    /// End of the lease on the true clock, in microseconds.
    pub lease_end_us: u64,
}

impl Node {
    pub fn new(index: usize) -> Self {
        Self {
            id: format!("entry-{index}").parse().unwrap(),
            incarnation: Incarnation(0),
            machine: None,
            exchanges: BTreeMap::new(),
            is_isolated: false,
            drift_ppm: 0,
            lease_end_us: 0,
        }
    }

    pub fn start(&mut self, options: Options) {
        self.incarnation = self.incarnation.next();
        let member = Member {
            id: self.id.clone(),
            incarnation: self.incarnation,
        };
        self.machine = Some(Machine::new(member, options));
        self.exchanges.clear();
    }

    /// Returns the time on the node's clock at the true time `now`.
    pub fn clock(&self, now: u64) -> Instant {
        Instant(now.saturating_add_signed(now.cast_signed() * self.drift_ppm / 1_000_000))
    }

    pub fn handle(&mut self, now: u64, inputs: Vec<Input>) -> Vec<Output> {
        let clock = self.clock(now);
        let mut outputs = Vec::new();
        if let Some(machine) = &mut self.machine {
            for input in inputs {
                machine.handle(clock, input, &mut outputs);
            }
        }
        outputs
    }

    pub fn epoch(&self) -> Epoch {
        self.machine
            .as_ref()
            .map(|machine| machine.view().epoch)
            .unwrap_or_default()
    }

    /// Returns the home of `key` in the view of this node.
    pub fn home(&self, key: &JobKey) -> Option<InstanceId> {
        let view = self.machine.as_ref()?.view();
        let order = home_order(view, KeyDigest::of(key));
        order.first().map(|member| member.id.clone())
    }
}
