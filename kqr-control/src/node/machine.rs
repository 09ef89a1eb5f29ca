use kqr_agreement::{Index, Input, Machine, Output, ProposalResult, Refusal, RequestId, Role, VoterId};
use kqr_settings::{Command, SettingsLog, Version};
use kqr_types::{InstanceId, Instant};

use super::{
    CallId, NodeInput, NodeOptions, NodeOutput, StreamId,
    pending_requests::{PendingRequests, Purpose},
    streams::{Follow, Streams},
};

/// A control instance without input or output: a voter of the settings log and the streams that it feeds.
#[derive(Clone, Debug)]
pub struct Node {
    options: NodeOptions,
    agreement: Machine,
    settings: SettingsLog,
    calls: PendingRequests,
    streams: Streams,
    leader_heard: Option<Instant>,
    applied: Index,
    compacted: Index,
}

impl Node {
    /// Creates the instance around its voter.
    pub fn new(options: NodeOptions, agreement: Machine) -> Self {
        Self {
            options,
            agreement,
            settings: SettingsLog::new(options.log),
            calls: PendingRequests::default(),
            streams: Streams::default(),
            leader_heard: None,
            applied: Index(0),
            compacted: Index(0),
        }
    }

    /// Returns the settings as far as this instance knows them to be accepted.
    pub fn settings(&self) -> &SettingsLog {
        &self.settings
    }

    /// Returns the voter.
    pub fn agreement(&self) -> &Machine {
        &self.agreement
    }

    /// Returns the following instances with the version that each was sent last.
    pub fn followers(&self) -> impl Iterator<Item = (&InstanceId, Option<Version>)> {
        self.streams.list()
    }

    /// Returns whether this instance heard from a quorum, or from a leader, a short time ago.
    pub fn has_recent_contact(&self, now: Instant) -> bool {
        if self.is_leader() {
            return self.agreement.holds_lease(now);
        }
        self.leader_heard
            .is_some_and(|heard| now.since(heard) < self.options.leader_contact_timeout)
    }

    /// Takes one input and adds what has to be done to `outputs`.
    pub fn handle(&mut self, now: Instant, input: NodeInput, outputs: &mut Vec<NodeOutput>) {
        match input {
            NodeInput::Tick => {
                self.drive(now, Input::Tick, outputs);
                let is_in_touch = self.has_recent_contact(now);
                self.streams
                    .tick(now, &self.options, &self.settings, is_in_touch, outputs);
            }
            NodeInput::Message { from, message } => {
                let sender = from.clone();
                self.drive(now, Input::Message { from, message }, outputs);
                if self.agreement.role().leader == Some(sender) {
                    self.leader_heard = Some(now);
                }
            }
            NodeInput::Change { call, command } => self.change(now, call, &command, outputs),
            NodeInput::ChangeVoters { call, change } => {
                let request = self.calls.open(Purpose::Voters { call });
                self.drive(now, Input::ChangeVoters { request, change }, outputs);
            }
            NodeInput::Confirm { call } => {
                let request = self.calls.open(Purpose::Confirm { call });
                self.drive(now, Input::Read { request }, outputs);
            }
            NodeInput::Follow {
                stream,
                instance,
                since,
                needs_confirmation,
                is_last_resort,
            } => {
                let follow = Follow {
                    instance,
                    since,
                    needs_confirmation,
                    is_last_resort,
                };
                self.follow(stream, follow, outputs);
            }
            NodeInput::StreamConfirmed { stream, version } => {
                self.streams.confirm(stream, version);
                self.streams.advance(&self.settings, outputs);
            }
            NodeInput::Unfollow { stream } => self.streams.close(stream),
            NodeInput::HandOver => self.drive(now, Input::HandOver, outputs),
        }
    }

    /// Opens a stream; a leader leaves it to the other control instances if it can.
    fn follow(&mut self, stream: StreamId, follow: Follow, outputs: &mut Vec<NodeOutput>) {
        if self.is_leader() && !follow.is_last_resort {
            outputs.push(NodeOutput::Close { stream });
            return;
        }
        self.streams.open(stream, follow, outputs);
        self.streams.advance(&self.settings, outputs);
    }

    fn is_leader(&self) -> bool {
        self.agreement.role().role == Role::Leader
    }

    fn change(&mut self, now: Instant, call: CallId, command: &Command, outputs: &mut Vec<NodeOutput>) {
        if let Some(answer) = self.settings.answer(&command.change) {
            let answer = answer.clone();
            outputs.push(NodeOutput::Answered { call, answer });
            return;
        }
        let bytes = match serde_json::to_vec(command) {
            Ok(bytes) => bytes,
            Err(error) => {
                let detail = format!("encoding change {}: {error}", command.change);
                outputs.push(NodeOutput::Failed { detail });
                return;
            }
        };
        let change = command.change.clone();
        let request = self.calls.open(Purpose::Change { call, change });
        let input = Input::Propose {
            request,
            command: bytes,
        };
        self.drive(now, input, outputs);
    }

    /// Hands `input` to the voter and performs what it puts out as far as it concerns this instance alone.
    fn drive(&mut self, now: Instant, input: Input, outputs: &mut Vec<NodeOutput>) {
        let mut effects = Vec::new();
        self.agreement.handle(now, input, &mut effects);
        let before = self.settings.version();
        for effect in effects {
            self.perform(effect, outputs);
        }
        if self.settings.version() > before {
            let version = self.settings.version();
            outputs.push(NodeOutput::Applied { version });
            self.streams.advance(&self.settings, outputs);
        }
        if self.applied.0 >= self.compacted.0 + self.options.compact_after_commands {
            self.compact(now, outputs);
        }
    }

    fn perform(&mut self, effect: Output, outputs: &mut Vec<NodeOutput>) {
        match effect {
            Output::Send { to, message } => outputs.push(NodeOutput::Send { to, message }),
            Output::Persist(record) => outputs.push(NodeOutput::Persist(record)),
            Output::Apply { index, command, .. } => self.apply(index, &command, outputs),
            Output::Restore { index, snapshot } => self.restore(index, &snapshot, outputs),
            Output::Proposed { request, result } => self.proposed(request, result, outputs),
            Output::ReadReady { request, .. } => {
                if let Some(Purpose::Confirm { call }) = self.calls.close(request) {
                    let version = self.settings.version();
                    outputs.push(NodeOutput::Confirmed { call, version });
                }
            }
            Output::ReadFailed { request, leader } => {
                if let Some(Purpose::Confirm { call }) = self.calls.close(request) {
                    let leader = leader.map(instance_of);
                    outputs.push(NodeOutput::NotConfirmed { call, leader });
                }
            }
            Output::RoleChanged(view) => {
                if view.role == Role::Leader {
                    self.streams.shed(outputs);
                }
                outputs.push(NodeOutput::RoleChanged(view));
            }
            Output::VotersChanged { .. } => {}
        }
    }

    fn apply(&mut self, index: Index, command: &[u8], outputs: &mut Vec<NodeOutput>) {
        self.applied = index;
        match serde_json::from_slice::<Command>(command) {
            Ok(command) => drop(self.settings.apply(command)),
            Err(error) => {
                let detail = format!("decoding the command at index {index}: {error}");
                outputs.push(NodeOutput::Failed { detail });
            }
        }
    }

    fn restore(&mut self, index: Index, snapshot: &[u8], outputs: &mut Vec<NodeOutput>) {
        match SettingsLog::restore(self.options.log, snapshot) {
            Ok(settings) => {
                self.settings = settings;
                self.applied = index;
                self.compacted = index;
            }
            Err(error) => outputs.push(NodeOutput::Failed {
                detail: error.to_string(),
            }),
        }
    }

    fn proposed(&mut self, request: RequestId, result: ProposalResult, outputs: &mut Vec<NodeOutput>) {
        let (call, change) = match self.calls.close(request) {
            Some(Purpose::Change { call, change }) => (call, change),
            Some(Purpose::Voters { call }) => {
                outputs.push(NodeOutput::VotersAnswered { call, result });
                return;
            }
            Some(Purpose::Confirm { .. }) | None => return,
        };
        let output = match result {
            ProposalResult::Committed { .. } => match self.settings.answer(&change) {
                Some(answer) => NodeOutput::Answered {
                    call,
                    answer: answer.clone(),
                },
                None => NodeOutput::Unknown { call, leader: None },
            },
            ProposalResult::Unknown { leader } => NodeOutput::Unknown {
                call,
                leader: leader.map(instance_of),
            },
            ProposalResult::Refused(Refusal::NotLeader { leader }) => NodeOutput::NotLeader {
                call,
                leader: leader.map(instance_of),
            },
            ProposalResult::Refused(_) => NodeOutput::NotLeader { call, leader: None },
        };
        outputs.push(output);
    }

    fn compact(&mut self, now: Instant, outputs: &mut Vec<NodeOutput>) {
        self.compacted = self.applied;
        match self.settings.snapshot() {
            Ok(snapshot) => {
                let index = self.applied;
                self.drive(now, Input::Compact { index, snapshot }, outputs);
            }
            Err(error) => outputs.push(NodeOutput::Failed {
                detail: format!("encoding a snapshot: {error}"),
            }),
        }
    }
}

fn instance_of(voter: VoterId) -> InstanceId {
    voter.instance
}
