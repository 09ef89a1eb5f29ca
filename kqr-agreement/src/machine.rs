use std::{collections::BTreeSet, time::Duration};

use kqr_types::Instant;

use crate::{
    Body, Configuration, DurableState, Index, Input, Message, Options, Output, Payload, ProposalResult,
    Record, Refusal, Role, RoleView, VoterId, leader_state::LeaderState, log::Log,
};

/// One member of a replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    pub(crate) id: VoterId,
    pub(crate) options: Options,
    pub(crate) log: Log,
    pub(crate) role: Role,
    pub(crate) leader: Option<VoterId>,
    pub(crate) leader_state: Option<LeaderState>,
    pub(crate) votes: BTreeSet<VoterId>,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    /// When the last message of a leader arrived. No vote is granted until an election timeout later.
    pub(crate) last_leader_contact: Instant,
    pub(crate) election_deadline: Instant,
    reported_role: RoleView,
    is_started: bool,
}

impl Machine {
    /// Creates the member `id` from the state that it persisted before a restart.
    pub fn new(id: VoterId, options: Options, restored: DurableState) -> Self {
        let log = Log::new(restored, options.founding.clone());
        let base = log.base();
        let reported_role = RoleView {
            role: Role::Follower,
            term: log.term(),
            leader: None,
        };
        Self {
            id,
            options,
            log,
            role: Role::Follower,
            leader: None,
            leader_state: None,
            votes: BTreeSet::new(),
            commit: base,
            applied: base,
            last_leader_contact: Instant(0),
            election_deadline: Instant(0),
            reported_role,
            is_started: false,
        }
    }

    /// Handles `input` at time `now` and appends the effects to `outputs`.
    pub fn handle(&mut self, now: Instant, input: Input, outputs: &mut Vec<Output>) {
        if !self.is_started {
            self.start(now, outputs);
        }
        match input {
            Input::Tick => self.tick(now, outputs),
            Input::Message { from, message } => self.receive(now, &from, message, outputs),
            Input::Propose { request, command } => {
                self.propose(now, request, Payload::Command(command), outputs);
            }
            Input::Read { request } => self.read(now, request, outputs),
            Input::ChangeVoters { request, change } => self.change_voters(now, request, &change, outputs),
            Input::HandOver => self.transfer_leadership(now, outputs),
            Input::AnnounceEnd => self.announce_end(outputs),
            Input::Compact { index, snapshot } => self.compact(index, snapshot, outputs),
        }
        self.report_role_change(outputs);
    }

    /// Consumes the machine and returns the state that its [`Output::Persist`] records add up to.
    pub fn into_durable(self) -> DurableState {
        self.log.into_durable()
    }

    /// Returns the identity of this member.
    pub const fn id(&self) -> &VoterId {
        &self.id
    }

    /// Returns the role, the term and the known leader.
    pub fn role(&self) -> RoleView {
        RoleView {
            role: self.role,
            term: self.log.term(),
            leader: self.leader.clone(),
        }
    }

    /// Returns the highest index known to be committed.
    pub const fn committed(&self) -> Index {
        self.commit
    }

    /// Returns the index of the last entry of the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Returns the latest configuration in the log, committed or not.
    pub fn configuration(&self) -> &Configuration {
        self.log.configuration()
    }

    /// Returns whether this member leads, has committed an entry of its term, and no other leader can have
    /// been elected by `now`, provided that clock drift stays within [`Options::drift_per_mille`].
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.has_quorum_contact_within(now, self.options.lease_duration())
    }

    /// Returns whether this member leads, has committed an entry of its term, and a majority has acknowledged
    /// a message that was sent less than `window` ago.
    pub fn has_quorum_contact_within(&self, now: Instant, window: Duration) -> bool {
        let Some(leader_state) = &self.leader_state else {
            return false;
        };
        self.commit >= leader_state.first_index && self.quorum_contact(now) + window > now
    }

    fn start(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.is_started = true;
        self.last_leader_contact = now;
        self.reset_election_deadline(now);
        if let Some(snapshot) = self.log.snapshot() {
            outputs.push(Output::Restore {
                index: snapshot.index,
                snapshot: snapshot.state.clone(),
            });
        }
        self.report_voters(outputs);
    }

    /// Emits the configuration that the start of the log holds, unless this member has none yet.
    pub(crate) fn report_voters(&self, outputs: &mut Vec<Output>) {
        let index = self.log.base();
        let configuration = self.log.configuration_at(index);
        if configuration.voters.is_empty() {
            return;
        }
        outputs.push(Output::VotersChanged {
            index,
            configuration: configuration.clone(),
        });
    }

    fn tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if self.leader_state.is_some() {
            self.tick_leader(now, outputs);
            return;
        }
        if now >= self.election_deadline {
            self.start_pre_vote(now, outputs);
        }
    }

    fn announce_end(&self, outputs: &mut Vec<Output>) {
        if let Some(leader) = self.leader.as_ref().filter(|leader| **leader != self.id) {
            self.send(leader, Body::Leave, outputs);
        }
    }

    pub(crate) fn not_leader(&self) -> ProposalResult {
        ProposalResult::Refused(Refusal::NotLeader {
            leader: self.leader.clone(),
        })
    }

    pub(crate) fn persist(&mut self, record: Record, outputs: &mut Vec<Output>) {
        outputs.push(Output::Persist(record.clone()));
        self.log.apply(record);
    }

    pub(crate) fn send(&self, to: &VoterId, body: Body, outputs: &mut Vec<Output>) {
        let message = Message {
            to: to.clone(),
            term: self.log.term(),
            body,
        };
        outputs.push(Output::Send {
            to: to.clone(),
            message,
        });
    }

    fn report_role_change(&mut self, outputs: &mut Vec<Output>) {
        let view = self.role();
        if view != self.reported_role {
            self.reported_role = view.clone();
            outputs.push(Output::RoleChanged(view));
        }
    }
}
