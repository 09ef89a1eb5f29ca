use kqr_agreement::{Index, Input, Machine, Output, ProposalResult, Refusal, RequestId, Role, VoterId};
use kqr_settings::{Command, SettingsLog, Version};
use kqr_types::{InstanceId, Instant};

use super::{
    CallId, NodeInput, NodeOptions, NodeOutput, StreamId,
    pending_requests::{PendingRequests, Purpose},
    streams::{StreamRequest, Streams},
};

/// State machine of a control instance: a voter of the settings log and the settings streams that it serves.
///
/// It performs no I/O: [`Node::handle`] takes inputs and returns the actions to perform.
#[derive(Clone, Debug)]
pub struct Node {
    options: NodeOptions,
    agreement: Machine,
    settings: SettingsLog,
    requests: PendingRequests,
    streams: Streams,
    last_leader_contact_at: Option<Instant>,
    applied: Index,
    compacted: Index,
}

impl Node {
    /// Creates the instance with its voter.
    pub fn new(options: NodeOptions, agreement: Machine) -> Self {
        Self {
            options,
            agreement,
            settings: SettingsLog::new(options.log),
            requests: PendingRequests::default(),
            streams: Streams::default(),
            last_leader_contact_at: None,
            applied: Index(0),
            compacted: Index(0),
        }
    }

    /// Returns the settings after the accepted changes that this instance has applied.
    pub fn settings(&self) -> &SettingsLog {
        &self.settings
    }

    /// Returns the voter.
    pub fn agreement(&self) -> &Machine {
        &self.agreement
    }

    /// Returns the following instances with the last version sent to each.
    pub fn followers(&self) -> impl Iterator<Item = (&InstanceId, Option<Version>)> {
        self.streams.followers()
    }

    /// Returns whether this instance was recently in contact with a quorum, or with a leader.
    pub fn has_recent_contact(&self, now: Instant) -> bool {
        if self.is_leader() {
            return self.agreement.holds_lease(now);
        }
        self.last_leader_contact_at
            .is_some_and(|contact_at| now.since(contact_at) < self.options.leader_contact_timeout)
    }

    /// Handles `input` at time `now` and appends the resulting actions to `outputs`.
    pub fn handle(&mut self, now: Instant, input: NodeInput, outputs: &mut Vec<NodeOutput>) {
        match input {
            NodeInput::Tick => {
                self.step_agreement(now, Input::Tick, outputs);
                let is_in_touch = self.has_recent_contact(now);
                self.streams
                    .tick(now, &self.options, &self.settings, is_in_touch, outputs);
            }
            NodeInput::Message { from, message } => {
                let sender = from.clone();
                self.step_agreement(now, Input::Message { from, message }, outputs);
                if self.agreement.role().leader == Some(sender) {
                    self.last_leader_contact_at = Some(now);
                }
            }
            NodeInput::Change { call, command } => self.submit_change(now, call, &command, outputs),
            NodeInput::ChangeVoters { call, change } => {
                let request = self.requests.register(Purpose::ChangeVoters { call });
                self.step_agreement(now, Input::ChangeVoters { request, change }, outputs);
            }
            NodeInput::Confirm { call } => {
                let request = self.requests.register(Purpose::Confirm { call });
                self.step_agreement(now, Input::Read { request }, outputs);
            }
            NodeInput::Follow {
                stream,
                instance,
                since,
                needs_confirmation,
                is_last_resort,
            } => {
                let request = StreamRequest {
                    instance,
                    since,
                    needs_confirmation,
                    is_last_resort,
                };
                self.open_stream(stream, request, outputs);
            }
            NodeInput::StreamConfirmed { stream, version } => {
                self.streams.record_confirmation(stream, version);
                self.streams.send_updates(&self.settings, outputs);
            }
            NodeInput::Unfollow { stream } => self.streams.close(stream),
            NodeInput::HandOver => self.step_agreement(now, Input::HandOver, outputs),
        }
    }

    /// Opens a stream. A leader serves it only as the last resort and otherwise closes it, so that another
    /// control instance serves it.
    fn open_stream(&mut self, stream: StreamId, request: StreamRequest, outputs: &mut Vec<NodeOutput>) {
        if self.is_leader() && !request.is_last_resort {
            outputs.push(NodeOutput::Close { stream });
            return;
        }
        self.streams.open(stream, request, outputs);
        self.streams.send_updates(&self.settings, outputs);
    }

    fn is_leader(&self) -> bool {
        self.agreement.role().role == Role::Leader
    }

    fn submit_change(
        &mut self,
        now: Instant,
        call: CallId,
        command: &Command,
        outputs: &mut Vec<NodeOutput>,
    ) {
        if let Some(answer) = self.settings.answer(&command.change) {
            let answer = answer.clone();
            outputs.push(NodeOutput::Answered { call, answer });
            return;
        }
        let bytes = match serde_json::to_vec(command) {
            Ok(bytes) => bytes,
            Err(error) => {
                let detail = format!("can't encode change {}: {error}", command.change);
                outputs.push(NodeOutput::Failed { detail });
                return;
            }
        };
        let change = command.change.clone();
        let request = self.requests.register(Purpose::Change { call, change });
        let input = Input::Propose {
            request,
            command: bytes,
        };
        self.step_agreement(now, input, outputs);
    }

    /// Passes `input` to the voter, applies committed commands and appends the remaining effects to
    /// `outputs`.
    fn step_agreement(&mut self, now: Instant, input: Input, outputs: &mut Vec<NodeOutput>) {
        let mut effects = Vec::new();
        self.agreement.handle(now, input, &mut effects);
        let before = self.settings.version();
        for effect in effects {
            self.perform_agreement_output(effect, outputs);
        }
        if self.settings.version() > before {
            let version = self.settings.version();
            outputs.push(NodeOutput::Applied { version });
            self.streams.send_updates(&self.settings, outputs);
        }
        if self.applied.0 >= self.compacted.0 + self.options.compact_after_commands {
            self.compact(now, outputs);
        }
    }

    fn perform_agreement_output(&mut self, effect: Output, outputs: &mut Vec<NodeOutput>) {
        match effect {
            Output::Send { to, message } => outputs.push(NodeOutput::Send { to, message }),
            Output::Persist(record) => outputs.push(NodeOutput::Persist(record)),
            Output::Apply { index, command, .. } => self.apply(index, &command, outputs),
            Output::Restore { index, snapshot } => self.restore(index, &snapshot, outputs),
            Output::Proposed { request, result } => self.complete_proposal(request, result, outputs),
            Output::ReadReady { request, .. } => {
                if let Some(Purpose::Confirm { call }) = self.requests.complete(request) {
                    let version = self.settings.version();
                    outputs.push(NodeOutput::Confirmed { call, version });
                }
            }
            Output::ReadFailed { request, leader } => {
                if let Some(Purpose::Confirm { call }) = self.requests.complete(request) {
                    let leader = leader.map(voter_instance);
                    outputs.push(NodeOutput::NotConfirmed { call, leader });
                }
            }
            Output::RoleChanged(view) => {
                if view.role == Role::Leader {
                    self.streams.close_redirectable(outputs);
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
                let detail = format!("can't decode the command at index {index}: {error}");
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

    fn complete_proposal(
        &mut self,
        request: RequestId,
        result: ProposalResult,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let (call, change) = match self.requests.complete(request) {
            Some(Purpose::Change { call, change }) => (call, change),
            Some(Purpose::ChangeVoters { call }) => {
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
                leader: leader.map(voter_instance),
            },
            ProposalResult::Refused(Refusal::NotLeader { leader }) => NodeOutput::NotLeader {
                call,
                leader: leader.map(voter_instance),
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
                self.step_agreement(now, Input::Compact { index, snapshot }, outputs);
            }
            Err(error) => outputs.push(NodeOutput::Failed {
                detail: format!("can't encode a snapshot: {error}"),
            }),
        }
    }
}

fn voter_instance(voter: VoterId) -> InstanceId {
    voter.instance
}
