use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use kqr_dispatch::Input;
use kqr_fleet::{EntryInfo, SyncReply, SyncRequest, SyncView, TargetReport};
use kqr_types::InstanceId;
use tarpc::{client, context};
use tokio::time::Instant;

use super::{Shell, TargetPort};
use crate::{calls::ControlCallsClient, frames};

/// Time between two exchanges with control. A change is in force everywhere after a few of them.
const SYNC_PERIOD: Duration = Duration::from_millis(200);
/// Time between two exchanges for a while after control was regained: owners of targets are about to be chosen.
const SETTLING_PERIOD: Duration = Duration::from_millis(40);
/// Length of that while: the grace of a new leader and some exchanges.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Longest time for an exchange: some round trips and one lost packet.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before the next control instance is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// The exchange of an entry with the leading control instance.
#[derive(Debug)]
pub(super) struct ControlLink<Port>
where
    Port: TargetPort,
{
    shell: Arc<Shell<Port>>,
    seeds: Arc<Mutex<Vec<InstanceId>>>,
    /// Control instances of the last view.
    known: Vec<InstanceId>,
    next: usize,
    leader: Option<InstanceId>,
    open: Option<(InstanceId, ControlCallsClient)>,
    view: u64,
    /// Reports that control has not taken yet.
    reports: Vec<TargetReport>,
    is_lost: bool,
    /// When control was last regained.
    regained: Option<Instant>,
}

impl<Port> ControlLink<Port>
where
    Port: TargetPort,
{
    /// Creates the link; `seeds` may change.
    pub(super) fn new(shell: Arc<Shell<Port>>, seeds: Arc<Mutex<Vec<InstanceId>>>) -> Self {
        Self {
            shell,
            seeds,
            known: Vec::new(),
            next: 0,
            leader: None,
            open: None,
            view: 0,
            reports: Vec::new(),
            is_lost: true,
            regained: None,
        }
    }

    /// Exchanges again and again.
    pub(super) async fn run(mut self) {
        loop {
            let pause = match self.exchange().await {
                Ok(()) if self.is_settling() => SETTLING_PERIOD,
                Ok(()) => SYNC_PERIOD,
                Err(error) => {
                    if !self.is_lost {
                        let fields = [("cause", error.to_string())];
                        kqr_telemetry::log_decision("control-lost", &fields);
                    }
                    self.is_lost = true;
                    RETRY_PAUSE
                }
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Returns whether the owners of the targets may be about to change: the leader is new here.
    fn is_settling(&self) -> bool {
        self.regained.is_some_and(|since| since.elapsed() < SETTLING_TIME)
    }

    async fn exchange(&mut self) -> eyre::Result<()> {
        let target = self.leader.take().unwrap_or_else(|| self.next_instance());
        let request = self.request();
        let reply = match self.call(&target, request).await {
            Ok(reply) => reply,
            Err(error) => {
                self.open = None;
                return Err(error.wrap_err(format!("control instance {target}")));
            }
        };
        match reply {
            SyncReply::Current { catalog, view } => {
                self.reports.clear();
                if self.is_lost {
                    let fields = [("control", target.to_string())];
                    kqr_telemetry::log_decision("control-regained", &fields);
                    self.is_lost = false;
                    self.regained = Some(Instant::now());
                }
                self.leader = Some(target);
                if let Some(catalog) = catalog {
                    self.shell.apply_catalog(*catalog);
                }
                if let Some(view) = view {
                    self.apply_view(view);
                }
                Ok(())
            }
            SyncReply::NotLeader { leader } => {
                self.leader = leader.filter(|leader| *leader != target);
                eyre::bail!("control instance {target} does not lead")
            }
        }
    }

    /// Returns the control instances in turn, those of the last view and the seeds.
    fn next_instance(&mut self) -> InstanceId {
        let mut all = self.known.clone();
        for seed in self.seeds.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            if !all.contains(seed) {
                all.push(seed.clone());
            }
        }
        self.next = (self.next + 1) % all.len().max(1);
        all.swap_remove(self.next.min(all.len().saturating_sub(1)))
    }

    fn request(&mut self) -> SyncRequest {
        let now = self.shell.clock().now();
        let catalog = self.shell.catalog().map(|catalog| catalog.version);
        let mut machine = self.shell.machine();
        self.reports.extend(machine.take_reports());
        SyncRequest {
            entry: EntryInfo {
                is_leaving: self.shell.is_leaving(),
                ..self.shell.own.clone()
            },
            catalog,
            view: self.view,
            released: machine.released(),
            heard: machine.heard(now),
            reports: self.reports.clone(),
            unreachable: machine.missing(now),
        }
    }

    async fn call(&mut self, target: &InstanceId, request: SyncRequest) -> eyre::Result<SyncReply> {
        let client = match &self.open {
            Some((open, client)) if open == target => client.clone(),
            _ => {
                let stream = frames::connect(target.as_str().parse()?).await?;
                let transport = frames::messages_of(stream);
                let client = ControlCallsClient::new(client::Config::default(), transport).spawn();
                self.open = Some((target.clone(), client.clone()));
                client
            }
        };
        let call = client.sync(context::current(), request);
        Ok(tokio::time::timeout(SYNC_TIMEOUT, call).await??)
    }

    fn apply_view(&mut self, view: SyncView) {
        let fields = [
            ("revision", view.revision.to_string()),
            ("entries", view.entries.len().to_string()),
            ("targets", view.owned.len().to_string()),
        ];
        kqr_telemetry::log_decision("view-applied", &fields);
        self.view = view.revision;
        self.known = view.controls;
        self.shell.handle(Input::View {
            entries: view.entries,
            owned: view.owned,
        });
        self.shell.link_siblings();
    }
}
