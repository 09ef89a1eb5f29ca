use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use kqr_membership::{Body, CellMessage, Input, Output, WallClock};
use kqr_types::{CellView, InstanceId, MemberState};

use super::{
    CellFault, CellInvariant,
    history::History,
    node::{Node, member_state},
    packet::{Link, Packet},
    scenario::{CellBudget, CellScenario},
};

/// Time between two ticks of an instance.
const TICK: Duration = Duration::from_millis(50);
/// More messages than this without a passing of time are a storm.
const MOST_AT_ONCE: usize = 1_000;

/// A state of all instances, the network and the history.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CellModelState {
    pub(super) now: Duration,
    pub(super) nodes: Vec<Node>,
    pub(super) budget: CellBudget,
    pub(super) cut: BTreeSet<Link>,
    /// Links whose messages of the next period are held back.
    pub(super) slow: BTreeSet<Link>,
    pub(super) held: Vec<Packet>,
    pub(super) lives: u64,
    pub(super) violation: Option<String>,
    arriving: VecDeque<Packet>,
    history: History,
    checked: Option<CellInvariant>,
    fault: Option<CellFault>,
}

impl CellModelState {
    pub(super) fn new(now: Duration, nodes: Vec<Node>, scenario: &CellScenario) -> Self {
        Self {
            now,
            nodes,
            budget: scenario.budget,
            cut: BTreeSet::new(),
            slow: BTreeSet::new(),
            held: Vec::new(),
            lives: 0,
            violation: None,
            arriving: VecDeque::new(),
            history: History::default(),
            checked: scenario.checked,
            fault: scenario.fault,
        }
    }

    /// Returns whether all instances are full members and hold leases.
    pub fn is_whole(&self) -> bool {
        let is_full = |node: &Node| node.member_state() == Some(MemberState::Full);
        self.nodes
            .iter()
            .all(|node| is_full(node) && self.holds_lease(node))
    }

    /// Returns the position of the instance that leads.
    pub fn leader(&self) -> Option<usize> {
        let leads = |node: &Node| node.cell.as_ref().is_some_and(|cell| cell.is_leader());
        self.nodes.iter().position(leads)
    }

    /// Lets `period` pass.
    pub(super) fn pass(&mut self, period: Duration) {
        let end = self.now + period;
        while self.now < end {
            self.now += TICK;
            for index in 0..self.nodes.len() {
                self.handle(index, Input::Tick);
            }
        }
        self.slow.clear();
    }

    /// Reports the copy of a syncing member complete.
    pub(super) fn sync(&mut self, index: usize) {
        let node = &self.nodes[index];
        let Some(epoch) = node.cell.as_ref().map(|cell| cell.view().epoch) else {
            return;
        };
        self.history.note_synced(node.life(), epoch);
        self.handle(index, Input::Synced { epoch });
    }

    /// Lets the held messages of `link` arrive.
    pub(super) fn release(&mut self, link: Link, is_kept: bool) {
        let is_released = |packet: &Packet| packet.link == link;
        let released: Vec<Packet> = self
            .held
            .iter()
            .filter(|packet| is_released(packet))
            .cloned()
            .collect();
        if !is_kept {
            self.held.retain(|packet| !is_released(packet));
        }
        self.arriving.extend(released);
        self.settle();
    }

    /// Gives `input` to an instance, performs what it puts out, and delivers all that is sent at once.
    pub(super) fn handle(&mut self, index: usize, input: Input) {
        self.handle_one(index, input);
        self.settle();
    }

    fn settle(&mut self) {
        for _ in 0..MOST_AT_ONCE {
            let Some(packet) = self.arriving.pop_front() else {
                return;
            };
            if self.is_echoed() {
                self.arriving.push_back(packet.clone());
            }
            let mut message = packet.message;
            self.spoil_received(packet.link.1, &mut message);
            self.handle_one(packet.link.1, Input::Message(message));
        }
        self.violate(CellInvariant::NoStorm, "no end of messages");
    }

    fn is_echoed(&self) -> bool {
        self.fault == Some(CellFault::EchoesAfterRestart) && self.lives > self.nodes.len() as u64
    }

    fn handle_one(&mut self, index: usize, input: Input) {
        let node = &mut self.nodes[index];
        let now = node.clock.read(self.now);
        let Some(cell) = &mut node.cell else {
            return;
        };
        let mut outputs = Vec::new();
        Arc::make_mut(cell).handle(now, input, &mut outputs);
        for output in outputs {
            self.perform(index, output);
        }
    }

    fn perform(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(index, &to, message),
            Output::Epoch { view, since } => self.install(index, &view, since),
            Output::Lease { until } => {
                let node = &mut self.nodes[index];
                node.leased_epoch = node.epoch;
                node.leased_until = until;
                self.check_lease(index);
            }
            Output::Persist(_) | Output::Suspicion { .. } | Output::Left => {}
        }
    }

    fn send(&mut self, from: usize, to: &InstanceId, mut message: Box<CellMessage>) {
        let Some(to) = self.nodes.iter().position(|node| node.id == *to) else {
            return;
        };
        let link = (from, to);
        for body in &mut message.bodies {
            spoil_sent(self.fault, body);
        }
        if self.cut.contains(&link) {
            return;
        }
        let packet = Packet { link, message };
        if self.slow.contains(&link) {
            self.held.push(packet);
            return;
        }
        self.arriving.push_back(packet);
    }

    /// Turns `message` into what the instance at `index` takes it for.
    fn spoil_received(&self, index: usize, message: &mut CellMessage) {
        let node = &self.nodes[index];
        for body in &mut message.bodies {
            match (self.fault, body) {
                (Some(CellFault::CountsFromArrival), Body::Grant(grant)) => {
                    grant.asked = node.clock.read(self.now);
                }
                (Some(CellFault::IgnoresLife), Body::Grant(grant)) => grant.incarnation = node.incarnation,
                _ => {}
            }
        }
    }

    fn install(&mut self, index: usize, view: &CellView, since: WallClock) {
        let node = &mut self.nodes[index];
        let (life, earlier) = (node.life(), node.epoch);
        node.epoch = view.epoch;
        if view.epoch <= earlier {
            let what = format!("{life} installs epoch {} after {earlier}", view.epoch);
            self.violate(CellInvariant::InstalledEpochsGrow, &what);
        }
        if let Some((invariant, what)) = self.history.note_view(view, since) {
            self.violate(invariant, &what);
        }
        let is_outside = |other: &&Node| {
            self.holds_lease(other)
                && other.leased_epoch < view.epoch
                && member_state(view, &other.life()).is_none()
        };
        if let Some(other) = self.nodes.iter().find(is_outside).map(Node::life) {
            let what = format!("{other} holds one when {life} installs epoch {}", view.epoch);
            self.violate(CellInvariant::LeaseInView, &what);
        }
    }

    fn check_lease(&mut self, index: usize) {
        let node = &self.nodes[index];
        if !self.holds_lease(node) {
            return;
        }
        let (life, epoch) = (node.life(), node.leased_epoch);
        if node.member_state().is_none() {
            let what = format!("{life} holds one of epoch {epoch} and is not in it");
            self.violate(CellInvariant::LeaseInView, &what);
        }
        let is_other = |other: &&Node| self.holds_lease(other) && other.leased_epoch != epoch;
        if let Some(other) = self.nodes.iter().find(is_other) {
            let what = format!("{life} of {epoch}, {} of {}", other.life(), other.leased_epoch);
            self.violate(CellInvariant::OneLeasedEpoch, &what);
        }
        if let Some((invariant, what)) = self.history.note_lease(&life, epoch) {
            self.violate(invariant, &what);
        }
    }

    fn holds_lease(&self, node: &Node) -> bool {
        node.cell.is_some() && node.leased_until > node.clock.read(self.now)
    }

    fn violate(&mut self, invariant: CellInvariant, what: &str) {
        if self.checked.is_some_and(|checked| checked != invariant) {
            return;
        }
        self.violation
            .get_or_insert_with(|| format!("{invariant}: {what}"));
    }
}

fn spoil_sent(fault: Option<CellFault>, body: &mut Body) {
    match (fault, body) {
        (Some(CellFault::LongerLease), Body::Grant(grant)) => grant.lease *= 2,
        (Some(CellFault::SaysSynced), Body::Renew(renewal)) => renewal.synced = Some(renewal.epoch),
        _ => {}
    }
}
