use std::{
    collections::BTreeMap,
    sync::{Arc, mpsc},
    time::Duration,
};

use kqr_agreement::Record;
use kqr_fleet::{CallId, Catalog, CatalogVersion, FleetInput, FleetNode, FleetOutput};
use kqr_store::{FolderDisk, Store};
use kqr_telemetry::{GaugeMetric, Metrics};
use kqr_types::InstanceId;
use tokio::sync::oneshot;

use super::{NotHere, agreement_links::AgreementLinks, request::Request};
use crate::BootClock;

/// Time between two ticks of the node: several fit into a heartbeat.
const TICK: Duration = Duration::from_millis(40);
/// Requests that are handled together and share one sync.
const BATCH: usize = 256;

/// Who waits for the end of a call.
#[derive(Debug)]
enum Waiter {
    Replace(oneshot::Sender<Result<CatalogVersion, NotHere>>),
    Read(oneshot::Sender<Result<Option<Arc<Catalog>>, NotHere>>),
}

/// Drives a control instance in a thread of its own, as the disk may keep it waiting.
#[derive(Debug)]
pub(super) struct Driver {
    own: InstanceId,
    node: FleetNode,
    store: Store<FolderDisk>,
    links: AgreementLinks,
    clock: BootClock,
    next_call: u64,
    waiters: BTreeMap<CallId, Waiter>,
    metrics: Arc<Metrics>,
}

impl Driver {
    pub(super) fn new(
        own: InstanceId,
        node: FleetNode,
        store: Store<FolderDisk>,
        links: AgreementLinks,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            own,
            node,
            store,
            links,
            clock: BootClock,
            next_call: 0,
            waiters: BTreeMap::new(),
            metrics,
        }
    }

    /// Handles requests until it is told to stop, then closes the store.
    ///
    /// # Errors
    ///
    /// Fails if the durable state can't be written, or the node can't continue.
    pub(super) fn run(mut self, rx: &mpsc::Receiver<Request>) -> eyre::Result<()> {
        let mut ticked = std::time::Instant::now();
        loop {
            let mut outputs = Vec::new();
            let wait = TICK.saturating_sub(ticked.elapsed());
            let mut next = match rx.recv_timeout(wait) {
                Ok(request) => Some(request),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
                Err(mpsc::RecvTimeoutError::Disconnected) => return self.close(),
            };
            for _ in 0..BATCH {
                let Some(request) = next.take() else { break };
                if matches!(request, Request::Stop) {
                    return self.close();
                }
                self.take(request, &mut outputs);
                next = rx.try_recv().ok();
            }
            if let Some(request) = next {
                self.take(request, &mut outputs);
            }
            if ticked.elapsed() >= TICK {
                ticked = std::time::Instant::now();
                self.handle(FleetInput::Tick, &mut outputs);
            }
            self.perform(outputs)?;
        }
    }

    fn close(self) -> eyre::Result<()> {
        self.store.close().close()?;
        Ok(())
    }

    fn handle(&mut self, input: FleetInput, outputs: &mut Vec<FleetOutput>) {
        self.node.handle(self.clock.now(), input, outputs);
    }

    fn open_call(&mut self, waiter: Waiter) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.waiters.insert(call, waiter);
        call
    }

    fn take(&mut self, request: Request, outputs: &mut Vec<FleetOutput>) {
        let now = self.clock.now();
        match request {
            Request::Message { from, message } => self.handle(FleetInput::Message { from, message }, outputs),
            Request::Replace { catalog, reply } => {
                let call = self.open_call(Waiter::Replace(reply));
                self.handle(FleetInput::Replace { call, catalog }, outputs);
            }
            Request::Read { reply } => {
                let call = self.open_call(Waiter::Read(reply));
                self.handle(FleetInput::Read { call }, outputs);
            }
            Request::Sync { request, reply } => drop(reply.send(self.node.sync(now, &request))),
            Request::Report { report, reply } => drop(reply.send(self.node.report(now, report))),
            Request::Join { voter, reply } => {
                let leader = self.node.leader().filter(|leader| *leader != self.own);
                drop(reply.send(leader));
                self.handle(FleetInput::Join { voter }, outputs);
            }
            Request::HandOver => self.handle(FleetInput::HandOver, outputs),
            Request::Stop => {}
        }
    }

    /// Syncs all records with one write, then performs the other outputs in their order.
    fn perform(&mut self, outputs: Vec<FleetOutput>) -> eyre::Result<()> {
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
            self.perform_one(output)?;
        }
        Ok(())
    }

    fn persist(&mut self, records: Vec<Record>) -> eyre::Result<()> {
        if !records.is_empty() {
            let begun = std::time::Instant::now();
            self.store.append(records)?;
            self.metrics.record_sync(begun.elapsed());
        }
        Ok(())
    }

    fn perform_one(&mut self, output: FleetOutput) -> eyre::Result<()> {
        match output {
            FleetOutput::Send { to, message } => self.links.send(&to, message),
            FleetOutput::Persist(record) => self.persist(vec![record])?,
            FleetOutput::Accepted { call, in_force } => {
                if let Some(Waiter::Replace(reply)) = self.waiters.remove(&call) {
                    drop(reply.send(Ok(in_force)));
                }
            }
            FleetOutput::Newest { call, catalog } => {
                if let Some(Waiter::Read(reply)) = self.waiters.remove(&call) {
                    drop(reply.send(Ok(catalog)));
                }
            }
            FleetOutput::NotHere {
                call,
                leader,
                is_unknown,
            } => {
                let leader = leader.filter(|leader| *leader != self.own);
                self.end(call, NotHere { leader, is_unknown });
            }
            FleetOutput::CatalogApplied { version } => {
                self.metrics.set_gauge(GaugeMetric::SettingsVersion, version.0);
                kqr_telemetry::log_decision("catalog-applied", &[("version", version.to_string())]);
            }
            FleetOutput::RoleChanged(view) => {
                let leader = view
                    .leader
                    .map_or_else(|| "none".to_owned(), |leader| leader.to_string());
                kqr_telemetry::log_decision(
                    "role",
                    &[
                        ("role", format!("{:?}", view.role)),
                        ("term", view.term.0.to_string()),
                        ("leader", leader),
                    ],
                );
            }
            FleetOutput::Note { detail } => kqr_telemetry::log_decision("fleet", &[("detail", detail)]),
            FleetOutput::Failed { detail } => eyre::bail!("the replicated log can't be continued: {detail}"),
        }
        Ok(())
    }

    fn end(&mut self, call: CallId, failure: NotHere) {
        match self.waiters.remove(&call) {
            Some(Waiter::Replace(reply)) => drop(reply.send(Err(failure))),
            Some(Waiter::Read(reply)) => drop(reply.send(Err(failure))),
            None => {}
        }
    }
}
