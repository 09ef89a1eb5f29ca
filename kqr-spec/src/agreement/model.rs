use std::{sync::Arc, time::Duration};

use kqr_agreement::{Configuration, DurableState, Index, Input, Machine, Options, RequestId, VoterId};
use kqr_types::{Incarnation, InstanceId, Instant};

use super::{
    node::Node,
    scenario::{AgreementFault, AgreementScenario},
    state::{AgreementState, Packet},
};
use crate::{Model, Step};

const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);

/// The specification of one scenario.
#[derive(Clone, Debug)]
pub struct Agreement {
    scenario: AgreementScenario,
    voters: Vec<VoterId>,
}

impl Agreement {
    /// Creates the specification.
    pub fn new(scenario: AgreementScenario) -> Self {
        let mut voters = Vec::with_capacity(scenario.voters);
        for number in 0..scenario.voters {
            let name: Result<InstanceId, _> = format!("i{number}").parse();
            voters.extend(name.map(|name| VoterId::new(name, Incarnation(1))));
        }
        Self { scenario, voters }
    }

    fn machine(&self, id: &VoterId, disk: DurableState) -> Arc<Machine> {
        let founding = match self.scenario.fault {
            Some(AgreementFault::CountsOnlyItself) => Configuration::of_voters([id.clone()]),
            _ => Configuration::of_voters(self.voters.iter().cloned()),
        };
        let options = Options {
            founding,
            election_timeout: ELECTION_TIMEOUT,
            ..Options::default()
        };
        Arc::new(Machine::new(id.clone(), options, disk))
    }

    fn arrive(state: &AgreementState, position: usize, is_kept: bool) -> Step<AgreementState> {
        let mut next = state.clone();
        let packet = next.network[position].clone();
        if !is_kept {
            next.network.remove(position);
        }
        let label = format!(
            "{}: {} -> {}: {:?}",
            arrival(is_kept),
            packet.from,
            next.nodes[packet.to].id,
            packet.message
        );
        let Packet { to, from, message } = packet;
        next.handle(to, Input::Message { from, message });
        Step { label, state: next }
    }

    fn network_steps(state: &AgreementState, steps: &mut Vec<Step<AgreementState>>) {
        for position in 0..state.network.len() {
            if position > 0 && state.network[position] == state.network[position - 1] {
                continue;
            }
            steps.push(Self::arrive(state, position, false));
            if state.budget.duplicates > 0 {
                let mut step = Self::arrive(state, position, true);
                step.state.budget.duplicates -= 1;
                steps.push(step);
            }
        }
    }

    fn node_steps(&self, state: &AgreementState, index: usize, steps: &mut Vec<Step<AgreementState>>) {
        let id = &state.nodes[index].id;
        let budget = state.budget;
        let is_leader = state.is_leader(index);
        if budget.timeouts > 0 && index < self.scenario.campaigners && !is_leader {
            let mut next = state.clone();
            next.budget.timeouts -= 1;
            next.nodes[index].clock = next.nodes[index].clock + 2 * ELECTION_TIMEOUT;
            next.handle(index, Input::Tick);
            steps.push(Step {
                label: format!("timeout of {id}"),
                state: next,
            });
        }
        if budget.crashes > 0 {
            let mut next = state.clone();
            next.budget.crashes -= 1;
            self.restart(&mut next, index);
            steps.push(Step {
                label: format!("{id} crashes and restarts"),
                state: next,
            });
        }
        if budget.compactions > 0 && state.nodes[index].applied > Index(0) {
            let mut next = state.clone();
            next.budget.compactions -= 1;
            let (index_applied, snapshot) = (next.nodes[index].applied, next.nodes[index].commands.clone());
            next.handle(
                index,
                Input::Compact {
                    index: index_applied,
                    snapshot,
                },
            );
            steps.push(Step {
                label: format!("{id} compacts"),
                state: next,
            });
        }
        if is_leader {
            Self::leader_steps(state, index, steps);
        }
    }

    fn leader_steps(state: &AgreementState, index: usize, steps: &mut Vec<Step<AgreementState>>) {
        let id = &state.nodes[index].id;
        if state.budget.heartbeats > 0 {
            let mut next = state.clone();
            next.budget.heartbeats -= 1;
            next.nodes[index].clock = next.nodes[index].clock + ELECTION_TIMEOUT / 2;
            next.handle(index, Input::Tick);
            steps.push(Step {
                label: format!("heartbeat of {id}"),
                state: next,
            });
        }
        if state.budget.proposals > 0 {
            let mut next = state.clone();
            next.budget.proposals -= 1;
            next.proposed += 1;
            let request = RequestId(u64::from(next.proposed));
            let command = vec![next.proposed];
            next.handle(index, Input::Propose { request, command });
            steps.push(Step {
                label: format!("{id} proposes {request}"),
                state: next,
            });
        }
        if state.budget.handovers > 0 {
            let mut next = state.clone();
            next.budget.handovers -= 1;
            next.handle(index, Input::HandOver);
            steps.push(Step {
                label: format!("{id} hands over"),
                state: next,
            });
        }
    }

    fn restart(&self, state: &mut AgreementState, index: usize) {
        let node = &mut state.nodes[index];
        node.machine = self.machine(&node.id, node.disk.clone());
        node.applied = Index(0);
        node.commands.clear();
        begin(state, index);
    }
}

impl Model for Agreement {
    type State = AgreementState;

    fn initial(&self) -> AgreementState {
        let mut nodes = Vec::with_capacity(self.voters.len());
        for id in &self.voters {
            nodes.push(Node {
                id: id.clone(),
                machine: self.machine(id, DurableState::default()),
                disk: DurableState::default(),
                clock: Instant(0),
                applied: Index(0),
                commands: Vec::new(),
            });
        }
        let mut state = AgreementState::new(nodes, &self.scenario);
        for index in 0..self.voters.len() {
            begin(&mut state, index);
        }
        state
    }

    fn steps(&self, state: &AgreementState) -> Vec<Step<AgreementState>> {
        let mut steps = Vec::new();
        Self::network_steps(state, &mut steps);
        for index in 0..state.nodes.len() {
            self.node_steps(state, index, &mut steps);
        }
        steps
    }

    fn violation(&self, state: &AgreementState) -> Option<String> {
        state.violation.clone()
    }
}

/// Begins a life; the time in which a member gives no vote after its begin passes.
fn begin(state: &mut AgreementState, index: usize) {
    state.handle(index, Input::Tick);
    let node = &mut state.nodes[index];
    node.clock = node.clock + ELECTION_TIMEOUT;
}

fn arrival(is_kept: bool) -> &'static str {
    if is_kept {
        "arrives, and will again"
    } else {
        "arrives"
    }
}
