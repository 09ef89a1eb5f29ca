use std::collections::BTreeMap;

use kqr_jobs::{Input, Machine, Member, Options, Output, home_order};
use kqr_types::{AttemptId, Epoch, Incarnation, InstanceId, Instant, JobKey, KeyDigest};

/// An exchange with a target whose end is not known yet.
#[derive(Clone)]
pub struct Exchange {
    pub key: JobKey,
    pub attempt: AttemptId,
    pub target: usize,
    pub incarnation: Incarnation,
    /// True time from which the target is asked, unless its answer arrives before.
    pub ask_from: u64,
}

/// One entry: a machine and the parts of its shell that matter here.
pub struct Node {
    pub id: InstanceId,
    pub incarnation: Incarnation,
    pub machine: Option<Machine>,
    pub exchanges: BTreeMap<AttemptId, Exchange>,
    pub is_cut_off: bool,
    /// Deviation of the clock's rate in parts per million.
    pub drift: i64,
    /// End of the lease on the true clock.
    pub lease_end: u64,
}

impl Node {
    pub fn new(index: usize) -> Self {
        Self {
            id: format!("entry-{index}").parse().unwrap(),
            incarnation: Incarnation(0),
            machine: None,
            exchanges: BTreeMap::new(),
            is_cut_off: false,
            drift: 0,
            lease_end: 0,
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

    /// Returns the reading of the node's clock at the true time `now`.
    pub fn clock(&self, now: u64) -> Instant {
        Instant(now.saturating_add_signed(now.cast_signed() * self.drift / 1_000_000))
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

    /// Returns the home of `key` as this node knows it.
    pub fn home(&self, key: &JobKey) -> Option<InstanceId> {
        let view = self.machine.as_ref()?.view();
        let order = home_order(view, KeyDigest::of(key));
        order.first().map(|member| member.id.clone())
    }
}
