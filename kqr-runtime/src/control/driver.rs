use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, mpsc},
    time::Duration,
};

use kqr_agreement::{Configuration, Index, Record, RoleView, VoterId};
use kqr_fleet::{CallId, Catalog, CatalogVersion, FleetInput, FleetNode, FleetOutput, ReportReceipt};
use kqr_store::{FolderDisk, Store};
use kqr_telemetry::{GaugeMetric, Metrics};
use kqr_types::InstanceId;
use tokio::sync::oneshot;

use super::{
    ControlCallFailure, agreement_links::AgreementLinks, driver_state::DriverState, request::Request,
};
use crate::BootClock;

/// Interval between ticks of the node. Several of them fit into a heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of requests that are handled together and share one sync.
const MAX_BATCH_REQUESTS: usize = 256;

/// Channel for the reply of a call that is in progress.
#[derive(Debug)]
enum PendingReply {
    Replace(oneshot::Sender<Result<CatalogVersion, ControlCallFailure>>),
    Read(oneshot::Sender<Result<Option<Arc<Catalog>>, ControlCallFailure>>),
    Evacuate(oneshot::Sender<Result<(), ControlCallFailure>>),
    Report(oneshot::Sender<Result<ReportReceipt, ControlCallFailure>>),
}

/// Runs the state machine of a control instance.
///
/// The driver has a thread of its own, because writes to the disk block.
#[derive(Debug)]
pub(super) struct Driver {
    own: InstanceId,
    node: FleetNode,
    store: Store<FolderDisk>,
    links: AgreementLinks,
    clock: BootClock,
    next_call: u64,
    pending_replies: BTreeMap<CallId, PendingReply>,
    metrics: Arc<Metrics>,
    state: Arc<DriverState>,
}

impl Driver {
    pub(super) fn new(
        own: InstanceId,
        node: FleetNode,
        store: Store<FolderDisk>,
        links: AgreementLinks,
        metrics: Arc<Metrics>,
        state: Arc<DriverState>,
    ) -> Self {
        Self {
            own,
            node,
            store,
            links,
            clock: BootClock,
            next_call: 0,
            pending_replies: BTreeMap::new(),
            metrics,
            state,
        }
    }

    /// Handles requests until a stop is requested, then closes the store.
    ///
    /// # Errors
    ///
    /// Fails if the durable state can't be written, or the node can't continue.
    pub(super) fn run(mut self, rx: &mpsc::Receiver<Request>) -> eyre::Result<()> {
        self.state.end_write();
        let mut last_tick = std::time::Instant::now();
        loop {
            let mut outputs = Vec::new();
            let wait = TICK_INTERVAL.saturating_sub(last_tick.elapsed());
            let mut next = match rx.recv_timeout(wait) {
                Ok(request) => Some(request),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
                Err(mpsc::RecvTimeoutError::Disconnected) => return self.close(),
            };
            for _ in 0..MAX_BATCH_REQUESTS {
                let Some(request) = next.take() else { break };
                if matches!(request, Request::Stop) {
                    return self.close();
                }
                self.handle_request(request, &mut outputs);
                next = rx.try_recv().ok();
            }
            if let Some(request) = next {
                self.handle_request(request, &mut outputs);
            }
            if last_tick.elapsed() >= TICK_INTERVAL {
                last_tick = std::time::Instant::now();
                self.handle_input(FleetInput::Tick, &mut outputs);
                let lost = self.node.lost_voter_count(self.clock.now());
                self.metrics.set_gauge(GaugeMetric::LostVoters, lost as u64);
            }
            self.perform_outputs(outputs)?;
        }
    }

    fn close(self) -> eyre::Result<()> {
        self.store.close().close()?;
        Ok(())
    }

    fn handle_input(&mut self, input: FleetInput, outputs: &mut Vec<FleetOutput>) {
        self.node.handle(self.clock.now(), input, outputs);
    }

    fn register_call(&mut self, pending: PendingReply) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.pending_replies.insert(call, pending);
        call
    }

    fn handle_request(&mut self, request: Request, outputs: &mut Vec<FleetOutput>) {
        let now = self.clock.now();
        match request {
            Request::Message { from, message } => {
                self.handle_input(FleetInput::Message { from, message }, outputs);
            }
            Request::Replace { catalog, reply } => {
                let call = self.register_call(PendingReply::Replace(reply));
                self.handle_input(FleetInput::Replace { call, catalog }, outputs);
            }
            Request::Read { reply } => {
                let call = self.register_call(PendingReply::Read(reply));
                self.handle_input(FleetInput::Read { call }, outputs);
            }
            Request::Evacuate { evacuation, reply } => {
                // The operator of a call that was given up may have reversed it at another instance meanwhile.
                if !reply.is_closed() {
                    let call = self.register_call(PendingReply::Evacuate(reply));
                    self.handle_input(FleetInput::Evacuate { call, evacuation }, outputs);
                }
            }
            Request::Sync { request, reply } => drop(reply.send(self.node.sync(now, &request))),
            Request::Report { report, reply } => {
                let call = self.register_call(PendingReply::Report(reply));
                let report = Box::new(report);
                self.handle_input(FleetInput::Report { call, report }, outputs);
            }
            Request::Join { voter, reply } => {
                let leader = self.node.leader().filter(|leader| *leader != self.own);
                drop(reply.send(leader));
                self.handle_input(FleetInput::Join { voter }, outputs);
            }
            Request::HandOver => self.handle_input(FleetInput::HandOver, outputs),
            Request::Founded(_) | Request::Stop => {}
        }
    }

    /// Persists all records with one sync, then performs the other outputs in order.
    fn perform_outputs(&mut self, outputs: Vec<FleetOutput>) -> eyre::Result<()> {
        let mut records = Vec::new();
        let mut rest = Vec::with_capacity(outputs.len());
        for output in outputs {
            match output {
                FleetOutput::Persist(record) => records.push(record),
                other => rest.push(other),
            }
        }
        self.persist(records)?;
        for output in rest {
            self.perform_output(output)?;
        }
        Ok(())
    }

    fn persist(&mut self, records: Vec<Record>) -> eyre::Result<()> {
        if !records.is_empty() {
            let started = std::time::Instant::now();
            self.state.begin_write();
            self.store.append(records)?;
            self.state.end_write();
            self.metrics.record_sync(started.elapsed());
        }
        Ok(())
    }

    fn perform_output(&mut self, output: FleetOutput) -> eyre::Result<()> {
        match output {
            FleetOutput::Send { to, message } => self.links.send(&to, message),
            FleetOutput::Persist(record) => self.persist(vec![record])?,
            FleetOutput::Accepted { call, version } => {
                if let Some(PendingReply::Replace(reply)) = self.pending_replies.remove(&call) {
                    drop(reply.send(Ok(version)));
                }
            }
            FleetOutput::CatalogRead { call, catalog } => {
                if let Some(PendingReply::Read(reply)) = self.pending_replies.remove(&call) {
                    drop(reply.send(Ok(catalog)));
                }
            }
            FleetOutput::EvacuationRecorded { call } => {
                if let Some(PendingReply::Evacuate(reply)) = self.pending_replies.remove(&call) {
                    drop(reply.send(Ok(())));
                }
            }
            FleetOutput::Reported { call, receipt } => {
                if let Some(PendingReply::Report(reply)) = self.pending_replies.remove(&call) {
                    drop(reply.send(Ok(receipt)));
                }
            }
            FleetOutput::CallFailed {
                call,
                leader,
                is_unknown,
            } => {
                let leader = leader.filter(|leader| *leader != self.own);
                self.fail_call(call, ControlCallFailure { leader, is_unknown });
            }
            FleetOutput::CatalogApplied { version } => {
                self.metrics.set_gauge(GaugeMetric::SettingsVersion, version.0);
                kqr_telemetry::log_decision("catalog-applied", &[("version", version.to_string())]);
            }
            FleetOutput::RoleChanged(view) => {
                self.state.set_has_leader(view.leader.is_some());
                log_role(&view);
            }
            FleetOutput::MembersChanged { index, configuration } => {
                let voters = configuration.voters.len() as u64;
                let learners = configuration.learners.len() as u64;
                self.metrics.set_gauge(GaugeMetric::LogVoters, voters);
                self.metrics.set_gauge(GaugeMetric::LogLearners, learners);
                log_members(index, &configuration);
            }
            FleetOutput::Decision { detail } => kqr_telemetry::log_decision("fleet", &[("detail", detail)]),
            FleetOutput::Failed { detail } => eyre::bail!("the replicated log can't continue: {detail}"),
        }
        Ok(())
    }

    fn fail_call(&mut self, call: CallId, failure: ControlCallFailure) {
        match self.pending_replies.remove(&call) {
            Some(PendingReply::Replace(reply)) => drop(reply.send(Err(failure))),
            Some(PendingReply::Read(reply)) => drop(reply.send(Err(failure))),
            Some(PendingReply::Evacuate(reply)) => drop(reply.send(Err(failure))),
            Some(PendingReply::Report(reply)) => drop(reply.send(Err(failure))),
            None => {}
        }
    }
}

fn log_role(view: &RoleView) {
    let leader = view
        .leader
        .as_ref()
        .map_or_else(|| "none".to_owned(), VoterId::to_string);
    kqr_telemetry::log_decision(
        "role",
        &[
            ("role", format!("{:?}", view.role)),
            ("term", view.term.0.to_string()),
            ("leader", leader),
        ],
    );
}

/// Logs who votes from the entry at `index` on.
fn log_members(index: Index, configuration: &Configuration) {
    let list = |members: &BTreeSet<VoterId>| {
        let names: Vec<_> = members.iter().map(VoterId::to_string).collect();
        names.join(",")
    };
    kqr_telemetry::log_decision(
        "members",
        &[
            ("index", index.to_string()),
            ("voters", list(&configuration.voters)),
            ("learners", list(&configuration.learners)),
            ("outgoing", list(&configuration.outgoing)),
        ],
    );
}
