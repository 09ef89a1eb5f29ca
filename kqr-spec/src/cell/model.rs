use std::time::Duration;

use kqr_membership::{Cell, CellDurableState, Input, Options, WallClock};
use kqr_types::{Epoch, Incarnation, InstanceId, Instant, MemberState};

use super::{
    CellFault, CellModelState, CellScenario,
    clock::Clock,
    node::Node,
    packet::{Link, Packet},
};
use crate::{Model, Step};

/// When the cell is founded, in the model's time.
const BEGIN: Duration = Duration::from_secs(1_000);
/// How long the cell is left alone before the search begins.
const SETTLING: Duration = Duration::from_secs(6);
/// The instance that leads when the search begins, by the seeds of the election timeouts.
const FIRST_LEADER: usize = 2;
/// Incarnation of the storage of a voter that keeps its identity.
const KEPT: Incarnation = Incarnation(1);

/// The specification of one scenario.
#[derive(Clone, Debug)]
pub struct CellModel {
    scenario: CellScenario,
    ids: Vec<InstanceId>,
}

impl CellModel {
    /// Creates the specification.
    pub fn new(scenario: CellScenario) -> Self {
        let mut ids = Vec::new();
        for number in 0..scenario.rates_per_mille.len() {
            let id: Result<InstanceId, _> = format!("i{number}").parse();
            ids.extend(id);
        }
        Self { scenario, ids }
    }

    fn cell(&self, index: usize, incarnation: Incarnation, now: Duration) -> Cell {
        let fault = self.scenario.fault;
        let mut options = Options::new(self.ids[index].clone(), incarnation, self.ids.iter().cloned());
        options.drift_per_mille = self.scenario.drift_per_mille;
        options.wall_clock = WallClock(u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
        options.seed = self.scenario.seed + incarnation.0;
        let is_restart = now > BEGIN;
        match fault {
            Some(CellFault::NoDriftMargin) => options.drift_per_mille = 0,
            Some(CellFault::ShorterWait) if index == FIRST_LEADER => options.lease *= 2,
            Some(CellFault::CountsOnlyItself) if is_restart => {
                options.voters = [self.ids[index].clone()].into();
            }
            Some(CellFault::KeepsIdentity) => options.storage = KEPT,
            Some(CellFault::WallClockGoesBack) if is_restart => options.wall_clock = WallClock(1),
            _ => {}
        }
        Cell::new(options, CellDurableState::default())
    }

    fn start(&self, state: &mut CellModelState, index: usize) {
        state.lives += 1;
        let incarnation = Incarnation(state.lives);
        state.nodes[index].start(incarnation, self.cell(index, incarnation, state.now));
        state.handle(index, Input::Tick);
    }

    fn lose_all_but(&self, state: &mut CellModelState, survivor: usize) {
        state.cut.clear();
        isolate(state, survivor);
        for index in 0..self.ids.len() {
            if index != survivor {
                state.nodes[index].crash();
            }
        }
        for index in 0..self.ids.len() {
            if index != survivor {
                self.start(state, index);
            }
        }
    }

    fn time_step(&self, state: &CellModelState) -> Option<Step<CellModelState>> {
        let mut next = state.clone();
        next.budget.periods = next.budget.periods.checked_sub(1)?;
        next.pass(self.scenario.period);
        Some(Step::new(format!("{:?} pass", self.scenario.period), next))
    }

    fn link_steps(&self, state: &CellModelState, link: Link, steps: &mut Vec<Step<CellModelState>>) {
        let name = format!("{} -> {}", self.ids[link.0], self.ids[link.1]);
        if state.budget.cuts > 0 && !state.cut.contains(&link) {
            let mut next = state.clone();
            next.budget.cuts -= 1;
            next.cut.insert(link);
            steps.push(Step::new(format!("{name} is cut"), next));
        }
        if state.budget.holds > 0 && !state.slow.contains(&link) {
            let mut next = state.clone();
            next.budget.holds -= 1;
            next.slow.insert(link);
            steps.push(Step::new(format!("{name} is held back for a period"), next));
        }
        if !state.held.iter().any(|packet: &Packet| packet.link == link) {
            return;
        }
        let mut next = state.clone();
        next.release(link, false);
        steps.push(Step::new(format!("what {name} held back arrives"), next));
        if state.budget.duplicates > 0 {
            let mut next = state.clone();
            next.budget.duplicates -= 1;
            next.release(link, true);
            let label = format!("what {name} held back arrives, and will again");
            steps.push(Step::new(label, next));
        }
    }

    fn node_steps(&self, state: &CellModelState, index: usize, steps: &mut Vec<Step<CellModelState>>) {
        let id = &self.ids[index];
        let budget = state.budget;
        if state.nodes[index].cell.is_none() {
            if budget.restarts > 0 {
                let mut next = state.clone();
                next.budget.restarts -= 1;
                self.start(&mut next, index);
                steps.push(Step::new(format!("{id} restarts"), next));
            }
            return;
        }
        if budget.crashes > 0 {
            let mut next = state.clone();
            next.budget.crashes -= 1;
            next.nodes[index].crash();
            steps.push(Step::new(format!("{id} crashes"), next));
        }
        if budget.reboots > 0 {
            let mut next = state.clone();
            next.budget.reboots -= 1;
            next.nodes[index].crash();
            self.start(&mut next, index);
            steps.push(Step::new(format!("{id} crashes and restarts"), next));
        }
        if budget.isolations > 0 {
            let mut next = state.clone();
            next.budget.isolations -= 1;
            next.cut.clear();
            isolate(&mut next, index);
            steps.push(Step::new(format!("{id} alone is cut off"), next));
        }
        if budget.majority_losses > 0 {
            let mut next = state.clone();
            next.budget.majority_losses -= 1;
            self.lose_all_but(&mut next, index);
            let label = format!("{id} alone is cut off, all others crash and restart");
            steps.push(Step::new(label, next));
        }
        if budget.leaves > 0 {
            let mut next = state.clone();
            next.budget.leaves -= 1;
            next.handle(index, Input::Leave);
            steps.push(Step::new(format!("{id} leaves"), next));
        }
        if budget.syncs > 0 && state.nodes[index].member_state() == Some(MemberState::Syncing) {
            let mut next = state.clone();
            next.budget.syncs -= 1;
            next.sync(index);
            steps.push(Step::new(format!("{id} has copied"), next));
        }
    }

    fn cell_steps(&self, state: &CellModelState, steps: &mut Vec<Step<CellModelState>>) {
        if state.budget.heals > 0 && !state.cut.is_empty() {
            let mut next = state.clone();
            next.budget.heals -= 1;
            next.cut.clear();
            steps.push(Step::new("all links heal".to_owned(), next));
        }
        if state.budget.outages > 0 {
            let mut next = state.clone();
            next.budget.outages -= 1;
            for node in &mut next.nodes {
                node.crash();
            }
            for index in 0..self.ids.len() {
                self.start(&mut next, index);
            }
            steps.push(Step::new("all crash and restart".to_owned(), next));
        }
    }
}

impl Model for CellModel {
    type State = CellModelState;

    fn initial(&self) -> CellModelState {
        let mut nodes = Vec::with_capacity(self.ids.len());
        for (id, rate_per_mille) in self.ids.iter().zip(self.scenario.rates_per_mille) {
            nodes.push(Node {
                id: id.clone(),
                incarnation: Incarnation(0),
                clock: Clock { rate_per_mille },
                cell: None,
                epoch: Epoch(0),
                leased_epoch: Epoch(0),
                leased_until: Instant(0),
            });
        }
        let mut state = CellModelState::new(BEGIN, nodes, &self.scenario);
        for index in 0..self.ids.len() {
            self.start(&mut state, index);
        }
        while state.now < BEGIN + SETTLING {
            state.pass(self.scenario.period);
            for index in 0..self.ids.len() {
                if state.nodes[index].member_state() == Some(MemberState::Syncing) {
                    state.sync(index);
                }
            }
        }
        state
    }

    fn steps(&self, state: &CellModelState) -> Vec<Step<CellModelState>> {
        let mut steps: Vec<_> = self.time_step(state).into_iter().collect();
        for from in 0..self.ids.len() {
            self.node_steps(state, from, &mut steps);
            for to in 0..self.ids.len() {
                if from != to {
                    self.link_steps(state, (from, to), &mut steps);
                }
            }
        }
        self.cell_steps(state, &mut steps);
        steps
    }

    fn violation(&self, state: &CellModelState) -> Option<String> {
        state.violation.clone()
    }
}

fn isolate(state: &mut CellModelState, index: usize) {
    for other in 0..state.nodes.len() {
        if other != index {
            state.cut.insert((index, other));
            state.cut.insert((other, index));
        }
    }
}
