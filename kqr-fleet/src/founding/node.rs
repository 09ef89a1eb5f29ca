use std::collections::BTreeSet;

use kqr_agreement::{Input, Machine, Output, RequestId, Role};
use kqr_types::{InstanceId, Instant};

use super::{FoundingInput, FoundingOutput};

/// State machine of a seed that takes part in the founding.
///
/// The seeds are the voters of a log that is kept in memory, and its first command names the founders. A seed that
/// restarts has lost its votes and must not take part again.
#[derive(Clone, Debug)]
pub struct FoundingNode {
    agreement: Machine,
    candidates: BTreeSet<InstanceId>,
    founder_count: usize,
    requests: u64,
    /// Proposal that has not completed.
    pending: Option<RequestId>,
    founders: Option<Vec<InstanceId>>,
}

impl FoundingNode {
    /// Creates the node with its member of the log, whose founding configuration is the seeds.
    pub const fn new(agreement: Machine) -> Self {
        Self {
            agreement,
            candidates: BTreeSet::new(),
            founder_count: 1,
            requests: 0,
            pending: None,
            founders: None,
        }
    }

    /// Returns the founders once they are agreed.
    pub const fn founders(&self) -> Option<&Vec<InstanceId>> {
        self.founders.as_ref()
    }

    /// Handles `input` at time `now` and appends the effects to `outputs`.
    pub fn handle(&mut self, now: Instant, input: FoundingInput, outputs: &mut Vec<FoundingOutput>) {
        match input {
            FoundingInput::Tick => self.step(now, Input::Tick, outputs),
            FoundingInput::Message { from, message } => {
                self.step(now, Input::Message { from, message }, outputs);
            }
            FoundingInput::Candidate {
                instance,
                founder_count,
            } => {
                self.candidates.insert(instance);
                self.founder_count = self.founder_count.max(founder_count);
            }
        }
        self.propose_founders(now, outputs);
    }

    /// Proposes the first candidates as founders, if this seed leads and enough of them have registered.
    fn propose_founders(&mut self, now: Instant, outputs: &mut Vec<FoundingOutput>) {
        let is_due = self.founders.is_none()
            && self.pending.is_none()
            && self.agreement.role().role == Role::Leader
            && !self.candidates.is_empty()
            && self.candidates.len() >= self.founder_count;
        if !is_due {
            return;
        }
        let founders: Vec<&InstanceId> = self.candidates.iter().take(self.founder_count).collect();
        let Ok(command) = serde_json::to_vec(&founders) else {
            return;
        };
        self.requests += 1;
        let request = RequestId(self.requests);
        self.pending = Some(request);
        self.step(now, Input::Propose { request, command }, outputs);
    }

    fn step(&mut self, now: Instant, input: Input, outputs: &mut Vec<FoundingOutput>) {
        let mut effects = Vec::new();
        self.agreement.handle(now, input, &mut effects);
        for effect in effects {
            match effect {
                Output::Send { to, message } => outputs.push(FoundingOutput::Send { to, message }),
                Output::Apply { command, .. } => self.apply(&command, outputs),
                Output::Proposed { .. } => self.pending = None,
                // The log is kept in memory and serves no reads.
                Output::Persist(_)
                | Output::Restore { .. }
                | Output::ReadReady { .. }
                | Output::ReadFailed { .. }
                | Output::VotersChanged { .. }
                | Output::RoleChanged(_) => {}
            }
        }
    }

    /// Applies a committed command. Only the first one counts.
    fn apply(&mut self, command: &[u8], outputs: &mut Vec<FoundingOutput>) {
        if self.founders.is_some() {
            return;
        }
        let Ok(founders) = serde_json::from_slice::<Vec<InstanceId>>(command) else {
            return;
        };
        self.founders = Some(founders.clone());
        outputs.push(FoundingOutput::Decided(founders));
    }
}
