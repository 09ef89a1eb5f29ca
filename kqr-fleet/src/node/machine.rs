mod leading;
mod views;

use kqr_agreement::{Index, Input, Machine, Output, ProposalResult, Refusal, RequestId, Role, VoterId};
use kqr_types::{Incarnation, InstanceId, Instant, TargetId};

use super::{
    CallId, FleetInput, FleetOptions, FleetOutput,
    observed_fleet::ObservedFleet,
    pending_requests::{PendingRequests, Purpose},
    reachability::Reachability,
    voter_planner::VoterPlanner,
};
use crate::{
    Catalog, CatalogVersion, Command, Evacuation, FleetState, PackedCatalog, ReportReceipt, TargetReport,
};

/// State machine of a control instance: a member of the replicated log that assigns targets to entries.
#[derive(Clone, Debug)]
pub struct FleetNode {
    options: FleetOptions,
    agreement: Machine,
    state: FleetState,
    requests: PendingRequests,
    observed: ObservedFleet,
    voters: VoterPlanner,
    /// When this instance was elected, if it leads.
    elected_at: Option<Instant>,
    reachability: Reachability,
    /// Whether the process is about to end.
    is_ending: bool,
    applied: Index,
    compacted: Index,
    /// The catalog in the form that entries receive.
    packed: Option<PackedCatalog>,
    /// Why the catalog could not be packed, to be logged with the next tick.
    pack_failure: Option<String>,
}

impl FleetNode {
    /// Creates the instance with its member of the log.
    pub fn new(options: FleetOptions, agreement: Machine) -> Self {
        Self {
            options,
            agreement,
            state: FleetState::default(),
            requests: PendingRequests::default(),
            observed: ObservedFleet::default(),
            voters: VoterPlanner::default(),
            elected_at: None,
            reachability: Reachability::default(),
            is_ending: false,
            applied: Index(0),
            compacted: Index(0),
            packed: None,
            pack_failure: None,
        }
    }

    /// Returns the state after the commands that this instance has applied.
    pub const fn state(&self) -> &FleetState {
        &self.state
    }

    /// Returns the member of the log.
    pub const fn agreement(&self) -> &Machine {
        &self.agreement
    }

    /// Returns the leader, if one is known.
    pub fn leader(&self) -> Option<InstanceId> {
        self.agreement.role().leader.map(|leader| leader.instance)
    }

    /// Returns whether this instance leads and no other leader can have been elected by `now`.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.agreement.holds_lease(now)
    }

    /// Returns the number of voters that wait to be replaced, at the leader.
    pub fn lost_voter_count(&self, now: Instant) -> usize {
        if !self.holds_lease(now) {
            return 0;
        }
        self.voters.lost_voter_count(now, &self.agreement, &self.options)
    }

    /// Handles `input` at time `now` and appends the effects to `outputs`.
    pub fn handle(&mut self, now: Instant, input: FleetInput, outputs: &mut Vec<FleetOutput>) {
        match input {
            FleetInput::Tick => {
                self.step_agreement(now, Input::Tick, outputs);
                if self.is_ending {
                    self.step_agreement(now, Input::AnnounceEnd, outputs);
                }
                self.tick_leader(now, outputs);
                if let Some(detail) = self.pack_failure.take() {
                    outputs.push(FleetOutput::Decision { detail });
                }
            }
            FleetInput::Message { from, message } => {
                self.voters.record_message(now, &from, &message);
                self.step_agreement(now, Input::Message { from, message }, outputs);
            }
            FleetInput::Replace { call, catalog } => self.replace_catalog(now, call, catalog, outputs),
            FleetInput::Read { call } => {
                let request = self.requests.register(Purpose::Read(call));
                self.step_agreement(now, Input::Read { request }, outputs);
            }
            FleetInput::Evacuate { call, evacuation } => self.evacuate(now, call, evacuation, outputs),
            FleetInput::Report { call, report } => self.handle_report(now, call, *report, outputs),
            FleetInput::Join { voter } => {
                self.voters
                    .record_join(now, voter, self.agreement.configuration());
            }
            FleetInput::HandOver => {
                self.is_ending = true;
                self.step_agreement(now, Input::HandOver, outputs);
                self.step_agreement(now, Input::AnnounceEnd, outputs);
            }
        }
        if self.applied.0 >= self.compacted.0 + self.options.compact_after_commands {
            self.compact(now, outputs);
        }
    }

    /// Records the report of a target. The answer is a promise to a target that leaves, which the next leader and the next
    /// owner have to keep: it is given when the log holds it.
    fn handle_report(
        &mut self,
        now: Instant,
        call: CallId,
        report: TargetReport,
        outputs: &mut Vec<FleetOutput>,
    ) {
        if !self.holds_lease(now) {
            outputs.push(FleetOutput::CallFailed {
                call,
                leader: self.leader(),
                is_unknown: false,
            });
            return;
        }
        let leaving = self.unrecorded_departure(&report);
        let target = report.target().clone();
        self.observed.record_report(now, report);
        let Some(life) = leaving else {
            let receipt = self.receipt(&target);
            outputs.push(FleetOutput::Reported { call, receipt });
            return;
        };
        let detail = format!("recording that target {target} leaves");
        outputs.push(FleetOutput::Decision { detail });
        let command = Command::Leave(target.clone(), life);
        self.propose(now, Purpose::Leave(call, target), &command, outputs);
    }

    /// Returns the incarnation of a target that reports that it leaves, unless the log holds that or a later incarnation.
    fn unrecorded_departure(&self, report: &TargetReport) -> Option<Incarnation> {
        let TargetReport::Present {
            record,
            is_leaving: true,
            ..
        } = report
        else {
            return None;
        };
        let owned = self.state.targets().get(&record.id);
        let is_outdated = owned.is_some_and(|owned| owned.record.life > record.life);
        let is_known = is_outdated || self.state.is_leaving(record);
        (!is_known && report.check().is_ok()).then_some(record.life)
    }

    fn receipt(&self, target: &TargetId) -> ReportReceipt {
        let owned = self.state.targets().get(target);
        let entry = owned.and_then(|owned| self.observed.entries.get(&owned.owner.entry));
        ReportReceipt {
            report_to: entry.map(|entry| entry.info.reports),
        }
    }

    fn replace_catalog(
        &mut self,
        now: Instant,
        call: CallId,
        catalog: Box<Catalog>,
        outputs: &mut Vec<FleetOutput>,
    ) {
        // The catalog in force was committed, so it confirms itself and all lower versions.
        if let Some(version) = self.state.catalog_version()
            && catalog.version <= version
        {
            outputs.push(FleetOutput::Accepted { call, version });
            return;
        }
        self.propose(now, Purpose::Replace(call), &Command::Replace(catalog), outputs);
    }

    /// Proposes the change of an evacuation, also one that is in force: a pending command may be about to reverse it, and only
    /// the order of the log tells which of two changes is the last.
    fn evacuate(
        &mut self,
        now: Instant,
        call: CallId,
        evacuation: Evacuation,
        outputs: &mut Vec<FleetOutput>,
    ) {
        if self.holds_lease(now) {
            let detail = match &evacuation {
                Evacuation::Begin(data_centre) => format!("evacuating data centre {data_centre}"),
                Evacuation::Finish(data_centre) => {
                    format!("finishing the evacuation of data centre {data_centre}")
                }
            };
            outputs.push(FleetOutput::Decision { detail });
        }
        let command = Command::Evacuate(evacuation);
        self.propose(now, Purpose::Evacuate(call), &command, outputs);
    }

    fn propose(&mut self, now: Instant, purpose: Purpose, command: &Command, outputs: &mut Vec<FleetOutput>) {
        match serde_json::to_vec(command) {
            Ok(command) => {
                let request = self.requests.register(purpose);
                self.step_agreement(now, Input::Propose { request, command }, outputs);
            }
            Err(error) => outputs.push(FleetOutput::Failed {
                detail: format!("can't encode a command: {error}"),
            }),
        }
    }

    fn step_agreement(&mut self, now: Instant, input: Input, outputs: &mut Vec<FleetOutput>) {
        let mut effects = Vec::new();
        self.agreement.handle(now, input, &mut effects);
        for effect in effects {
            self.handle_effect(now, effect, outputs);
        }
    }

    fn handle_effect(&mut self, now: Instant, effect: Output, outputs: &mut Vec<FleetOutput>) {
        match effect {
            Output::Send { to, message } => outputs.push(FleetOutput::Send { to, message }),
            Output::Persist(record) => outputs.push(FleetOutput::Persist(record)),
            Output::Apply { index, command, .. } => self.apply(index, &command, outputs),
            Output::Restore { index, snapshot } => self.restore(index, &snapshot, outputs),
            Output::Proposed { request, result } => self.end_proposal(request, result, outputs),
            Output::ReadReady { request, .. } => {
                if let Some(Purpose::Read(call)) = self.requests.complete(request) {
                    let catalog = self.state.catalog().cloned();
                    outputs.push(FleetOutput::CatalogRead { call, catalog });
                }
            }
            Output::ReadFailed { request, leader } => {
                if let Some(Purpose::Read(call)) = self.requests.complete(request) {
                    outputs.push(FleetOutput::CallFailed {
                        call,
                        leader: leader.map(instance_of),
                        is_unknown: false,
                    });
                }
            }
            Output::RoleChanged(view) => {
                if view.role == Role::Leader {
                    self.elected_at = Some(now);
                    self.observed = ObservedFleet::default();
                    self.reachability = Reachability::default();
                    self.voters.reset(now, self.agreement.configuration());
                } else {
                    self.elected_at = None;
                }
                outputs.push(FleetOutput::RoleChanged(view));
            }
            Output::VotersChanged { index, configuration } => {
                // The views of entries name the members.
                self.observed.change_count += 1;
                outputs.push(FleetOutput::MembersChanged { index, configuration });
            }
        }
    }

    fn apply(&mut self, index: Index, command: &[u8], outputs: &mut Vec<FleetOutput>) {
        self.applied = index;
        let before = self.state.catalog_version();
        match serde_json::from_slice::<Command>(command) {
            Ok(command) => self.state.apply(command),
            Err(error) => {
                let detail = format!("can't decode the command at index {index}: {error}");
                outputs.push(FleetOutput::Failed { detail });
            }
        }
        self.report_catalog(before, outputs);
    }

    /// Reports the catalog in force, if it is another one than that of version `before`.
    fn report_catalog(&self, before: Option<CatalogVersion>, outputs: &mut Vec<FleetOutput>) {
        let version = self.state.catalog_version();
        if let Some(version) = version.filter(|_| version != before) {
            outputs.push(FleetOutput::CatalogApplied { version });
        }
    }

    fn restore(&mut self, index: Index, snapshot: &[u8], outputs: &mut Vec<FleetOutput>) {
        let before = self.state.catalog_version();
        match FleetState::restore(snapshot) {
            Ok(state) => {
                self.state = state;
                self.applied = index;
                self.compacted = index;
            }
            Err(error) => outputs.push(FleetOutput::Failed {
                detail: format!("can't decode the snapshot at index {index}: {error}"),
            }),
        }
        self.report_catalog(before, outputs);
    }

    fn end_proposal(&mut self, request: RequestId, result: ProposalResult, outputs: &mut Vec<FleetOutput>) {
        let (call, accepted) = match self.requests.complete(request) {
            Some(Purpose::Replace(call)) => {
                let version = self.state.catalog_version();
                let accepted = version.map(|version| FleetOutput::Accepted { call, version });
                (call, accepted)
            }
            Some(Purpose::Evacuate(call)) => (call, Some(FleetOutput::EvacuationRecorded { call })),
            Some(Purpose::Leave(call, target)) => {
                let receipt = self.receipt(&target);
                (call, Some(FleetOutput::Reported { call, receipt }))
            }
            Some(Purpose::Read(_) | Purpose::Plan | Purpose::Voters) | None => return,
        };
        let (leader, is_unknown) = match result {
            ProposalResult::Committed { .. } => match accepted {
                Some(accepted) => {
                    outputs.push(accepted);
                    return;
                }
                // The command could not be applied.
                None => (None, true),
            },
            ProposalResult::Unknown { leader } => (leader, true),
            ProposalResult::Refused(Refusal::NotLeader { leader }) => (leader, false),
            ProposalResult::Refused(_) => (None, false),
        };
        outputs.push(FleetOutput::CallFailed {
            call,
            leader: leader.map(instance_of),
            is_unknown,
        });
    }

    fn compact(&mut self, now: Instant, outputs: &mut Vec<FleetOutput>) {
        self.compacted = self.applied;
        match self.state.snapshot() {
            Ok(snapshot) => {
                let index = self.applied;
                self.step_agreement(now, Input::Compact { index, snapshot }, outputs);
            }
            Err(error) => outputs.push(FleetOutput::Failed {
                detail: format!("can't encode a snapshot: {error}"),
            }),
        }
    }
}

fn instance_of(voter: VoterId) -> InstanceId {
    voter.instance
}
