use std::{collections::BTreeMap, sync::Arc};

use kqr_agreement::{Body, Index, Input, Message, Output, Record, Role, Term, VoterId};

use super::{
    node::Node,
    scenario::{AgreementBudget, AgreementFault, AgreementScenario},
};

/// A message under way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Packet {
    pub(super) to: usize,
    pub(super) from: VoterId,
    pub(super) message: Message,
}

/// A state of all members, the network and the history.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AgreementState {
    pub(super) nodes: Vec<Node>,
    pub(super) network: Vec<Packet>,
    pub(super) budget: AgreementBudget,
    pub(super) fault: Option<AgreementFault>,
    pub(super) proposed: u8,
    capacity: usize,
    pub(super) violation: Option<String>,
    leaders: BTreeMap<Term, VoterId>,
    log: BTreeMap<Index, (Term, Vec<u8>)>,
}

impl AgreementState {
    pub(super) fn new(nodes: Vec<Node>, scenario: &AgreementScenario) -> Self {
        Self {
            nodes,
            network: Vec::new(),
            budget: scenario.budget,
            fault: scenario.fault,
            proposed: 0,
            capacity: scenario.capacity,
            violation: None,
            leaders: BTreeMap::new(),
            log: BTreeMap::new(),
        }
    }

    pub(super) fn is_leader(&self, index: usize) -> bool {
        self.nodes[index].machine.role().role == Role::Leader
    }

    /// Gives `input` to a member and performs what it puts out.
    pub(super) fn handle(&mut self, index: usize, input: Input) {
        let node = &mut self.nodes[index];
        let mut outputs = Vec::new();
        Arc::make_mut(&mut node.machine).handle(node.clock, input, &mut outputs);
        for output in outputs {
            self.perform(index, output);
        }
        self.drop_stale();
        self.network
            .sort_by(|left, right| (left.to, &left.from).cmp(&(right.to, &right.from)));
    }

    fn perform(&mut self, index: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(index, &to, message),
            Output::Persist(record) => self.persist(index, record),
            Output::Apply {
                index: at,
                term,
                command,
            } => self.apply(index, at, term, command),
            Output::Restore { index: at, snapshot } => {
                self.nodes[index].commands = snapshot;
                self.nodes[index].applied = at;
            }
            Output::RoleChanged(view) if view.role == Role::Leader => self.note_leader(index, view.term),
            _ => {}
        }
    }

    fn send(&mut self, index: usize, to: &VoterId, mut message: Message) {
        if self.fault == Some(AgreementFault::CountsRefusals) {
            grant(&mut message.body);
        }
        let Some(to) = self.nodes.iter().position(|node| node.id == *to) else {
            return;
        };
        let from = self.nodes[index].id.clone();
        self.lose_oldest(to, &from);
        self.network.push(Packet { to, from, message });
    }

    fn lose_oldest(&mut self, to: usize, from: &VoterId) {
        let is_between = |packet: &Packet| packet.to == to && packet.from == *from;
        if self.network.iter().filter(|packet| is_between(packet)).count() < self.capacity {
            return;
        }
        if let Some(oldest) = self.network.iter().position(is_between) {
            self.network.remove(oldest);
        }
    }

    fn persist(&mut self, index: usize, record: Record) {
        let is_forgotten = matches!(
            (self.fault, &record),
            (Some(AgreementFault::ForgetsVotes), Record::Vote { .. })
                | (Some(AgreementFault::ForgetsEntries), Record::Append(_))
                | (Some(AgreementFault::KeepsIdentityWithoutDisk), _)
        );
        if !is_forgotten {
            self.nodes[index].disk.apply(record);
        }
    }

    fn apply(&mut self, index: usize, at: Index, term: Term, command: Vec<u8>) {
        let node = &mut self.nodes[index];
        if at <= node.applied {
            self.violation = Some(format!("{} applies entry {at} again or out of order", node.id));
            return;
        }
        node.applied = at;
        node.commands.extend_from_slice(&command);
        let entry = (term, command);
        let known = self.log.entry(at).or_insert_with(|| entry.clone());
        if *known != entry {
            self.violation = Some(format!(
                "{} applies another entry {at} than was applied before",
                node.id
            ));
        }
    }

    fn note_leader(&mut self, index: usize, term: Term) {
        let node = &self.nodes[index];
        let leader = self.leaders.entry(term).or_insert_with(|| node.id.clone());
        if *leader != node.id {
            self.violation = Some(format!("{leader} and {} lead term {term}", node.id));
        }
        let earlier = self.log.iter().rev().find(|(_, entry)| entry.0 < term);
        let applied = earlier.map_or(Index(0), |(at, _)| *at);
        if node.machine.last_index() < applied {
            self.violation = Some(format!(
                "{} leads term {term} without the applied entry {applied}",
                node.id
            ));
        }
    }

    /// Drops replies of earlier terms: their receivers ignore them for ever.
    fn drop_stale(&mut self) {
        let nodes = &self.nodes;
        self.network.retain(|packet| {
            let term = nodes[packet.to].machine.role().term;
            match packet.message.body {
                Body::PreVoteReply { campaign, is_granted } => {
                    packet.message.term > term || (is_granted && campaign > term)
                }
                Body::VoteReply { .. } | Body::Matched { .. } | Body::Mismatched { .. } => {
                    packet.message.term >= term
                }
                _ => true,
            }
        });
    }
}

fn grant(body: &mut Body) {
    match body {
        Body::PreVoteReply { is_granted, .. } | Body::VoteReply { is_granted } => *is_granted = true,
        _ => {}
    }
}
