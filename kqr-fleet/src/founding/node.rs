use std::{collections::BTreeSet, time::Duration};

use kqr_agreement::{Input, Machine, Output, RequestId, Role};
use kqr_types::{InstanceId, Instant};

use super::{FoundingInput, FoundingOutput};

/// Number of founders if there are as many candidates: the loss of one then stops nothing, whatever the system has to
/// tolerate.
const PREFERRED_FOUNDERS: usize = 3;
/// Time for which the seeds wait for the preferred number once enough candidates have registered.
const GATHERING_TIME: Duration = Duration::from_secs(2);

/// State machine of a seed that takes part in the founding.
///
/// The seeds are the voters of a log that is kept in memory, and its first command names the founders. A seed that
/// restarts has lost its votes and must not take part again.
#[derive(Clone, Debug)]
pub struct FoundingNode {
    agreement: Machine,
    candidates: BTreeSet<InstanceId>,
    /// Smallest number of founders.
    min_founders: usize,
    /// When the first candidate registered here.
    gathering_since: Option<Instant>,
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
            min_founders: 1,
            gathering_since: None,
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
                min_founders,
            } => {
                self.candidates.insert(instance);
                self.min_founders = self.min_founders.max(min_founders);
                self.gathering_since.get_or_insert(now);
            }
        }
        self.propose_founders(now, outputs);
    }

    /// Proposes the first candidates as founders, if this seed leads and enough of them have registered.
    fn propose_founders(&mut self, now: Instant, outputs: &mut Vec<FoundingOutput>) {
        let is_free = self.founders.is_none() && self.pending.is_none();
        if !is_free || self.agreement.role().role != Role::Leader {
            return;
        }
        let Some(count) = self.founder_count(now) else {
            return;
        };
        let founders: Vec<&InstanceId> = self.candidates.iter().take(count).collect();
        let Ok(command) = serde_json::to_vec(&founders) else {
            return;
        };
        self.requests += 1;
        let request = RequestId(self.requests);
        self.pending = Some(request);
        self.step(now, Input::Propose { request, command }, outputs);
    }

    /// Returns the number of founders, once enough candidates have registered. It is odd, as another voter would only
    /// enlarge the majority.
    fn founder_count(&self, now: Instant) -> Option<usize> {
        let preferred = self.min_founders.max(PREFERRED_FOUNDERS);
        let has_waited = now.since(self.gathering_since?) >= GATHERING_TIME;
        let count = self.candidates.len().min(preferred);
        let is_enough = count == preferred || (has_waited && count >= self.min_founders);
        is_enough.then_some(count - usize::from(count.is_multiple_of(2)))
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
