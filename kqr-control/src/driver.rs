use std::{collections::BTreeMap, time::Duration};

use kqr_agreement::{ProposalResult, Record};
use kqr_settings::{Refusal, SettingsLog, Update, Version};
use kqr_store::{FolderDisk, Store, StoreError};
use kqr_telemetry::{EventKind, EventLog};
use kqr_types::Instant;
use kqr_wire::control::messages::{self, FollowEvent, FollowerStatus, StatusReply, follow_event};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::{
    links::Links,
    node::{CallId, Node, NodeInput, NodeOutput, StreamId},
    request::{ChangeResult, ConfirmResult, Request, StreamSender},
    settings_client::SettingsClient,
};

/// Interval between ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of requests that are handled together and share one sync.
const MAX_BATCH_REQUESTS: usize = 256;

/// Reply channel of a pending call.
#[derive(Debug)]
enum PendingCall {
    Change(oneshot::Sender<ChangeResult>),
    Confirm(oneshot::Sender<ConfirmResult>),
    Voters(oneshot::Sender<ProposalResult>),
}

/// Event loop around a [`Node`]: passes requests to it and performs its outputs in order.
#[derive(Debug)]
pub struct Driver {
    node: Node,
    store: Store<FolderDisk>,
    links: Links,
    client: SettingsClient,
    events: EventLog,
    started_at: std::time::Instant,
    last_id: u64,
    pending_calls: BTreeMap<CallId, PendingCall>,
    streams: BTreeMap<StreamId, StreamSender>,
}

impl Driver {
    /// Creates the driver of `node`.
    pub fn new(
        node: Node,
        store: Store<FolderDisk>,
        links: Links,
        client: SettingsClient,
        events: EventLog,
    ) -> Self {
        Self {
            node,
            store,
            links,
            client,
            events,
            started_at: std::time::Instant::now(),
            last_id: 0,
            pending_calls: BTreeMap::new(),
            streams: BTreeMap::new(),
        }
    }

    /// Handles requests until `stop` is cancelled, then closes the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the durable state can't be written or the node can't continue.
    pub async fn run(mut self, mut rx: mpsc::Receiver<Request>, stop: CancellationToken) -> eyre::Result<()> {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        let mut batch = Vec::new();
        loop {
            let mut outputs = Vec::new();
            tokio::select! {
                _ = ticks.tick() => self.handle(NodeInput::Tick, &mut outputs),
                _ = rx.recv_many(&mut batch, MAX_BATCH_REQUESTS) => {}
                () = stop.cancelled() => break,
            }
            for request in batch.drain(..) {
                self.handle_request(request, &mut outputs);
            }
            self.perform_outputs(outputs)?;
        }
        self.events.flush();
        drop(self.store.close().close());
        Ok(())
    }

    fn now(&self) -> Instant {
        Instant(self.started_at.elapsed().as_micros() as u64)
    }

    fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn handle(&mut self, input: NodeInput, outputs: &mut Vec<NodeOutput>) {
        self.node.handle(self.now(), input, outputs);
    }

    fn handle_request(&mut self, request: Request, outputs: &mut Vec<NodeOutput>) {
        match request {
            Request::Message { from, message } => self.handle(NodeInput::Message { from, message }, outputs),
            Request::Change { command, reply } => {
                let call = CallId(self.allocate_id());
                self.pending_calls.insert(call, PendingCall::Change(reply));
                self.handle(NodeInput::Change { call, command }, outputs);
            }
            Request::ChangeVoters { change, reply } => {
                let call = CallId(self.allocate_id());
                self.pending_calls.insert(call, PendingCall::Voters(reply));
                self.handle(NodeInput::ChangeVoters { call, change }, outputs);
            }
            Request::Confirm { reply } => {
                let call = CallId(self.allocate_id());
                self.pending_calls.insert(call, PendingCall::Confirm(reply));
                self.handle(NodeInput::Confirm { call }, outputs);
            }
            Request::Follow { request, tx } => {
                let Ok(instance) = request.instance.parse() else {
                    return;
                };
                let stream = StreamId(self.allocate_id());
                self.streams.insert(stream, tx);
                let input = NodeInput::Follow {
                    stream,
                    instance,
                    since: request.since.map(Version),
                    needs_confirmation: request.needs_confirmation,
                    is_last_resort: request.is_last_resort,
                };
                self.handle(input, outputs);
            }
            Request::StreamConfirmed { stream, version } => {
                self.handle(NodeInput::StreamConfirmed { stream, version }, outputs);
            }
            Request::Tree { at, reply } => drop(reply.send(snapshot_at(self.node.settings(), at))),
            Request::History { since, limit, reply } => {
                let newest = self.node.settings().changes_since(since).rev().take(limit);
                let mut changes: Vec<_> = newest.cloned().collect();
                changes.reverse();
                drop(reply.send(changes));
            }
            Request::Status { reply } => drop(reply.send(self.status())),
            Request::HandOver => self.handle(NodeInput::HandOver, outputs),
        }
    }

    /// Syncs all records with one write, then performs the other outputs in order.
    fn perform_outputs(&mut self, outputs: Vec<NodeOutput>) -> eyre::Result<()> {
        let mut records = Vec::new();
        let mut remaining = Vec::with_capacity(outputs.len());
        for output in outputs {
            match output {
                NodeOutput::Persist(record) => records.push(record),
                other => remaining.push(other),
            }
        }
        if !records.is_empty() {
            self.persist(records)?;
        }
        for output in remaining {
            self.perform_output(output)?;
        }
        Ok(())
    }

    fn persist(&mut self, records: Vec<Record>) -> Result<(), StoreError> {
        tokio::task::block_in_place(|| self.store.append(records))
    }

    fn perform_output(&mut self, output: NodeOutput) -> eyre::Result<()> {
        match output {
            NodeOutput::Send { to, message } => {
                self.links.send(self.node.agreement().id(), &to, message);
            }
            NodeOutput::Persist(record) => self.persist(vec![record])?,
            NodeOutput::Answered { call, answer } => self.end_change(call, ChangeResult::Answered(answer)),
            NodeOutput::NotLeader { call, leader } => self.end_change(call, ChangeResult::NotLeader(leader)),
            NodeOutput::Unknown { call, .. } => self.end_change(call, ChangeResult::Unknown),
            NodeOutput::VotersAnswered { call, result } => {
                if let Some(PendingCall::Voters(reply)) = self.pending_calls.remove(&call) {
                    drop(reply.send(result));
                }
            }
            NodeOutput::Confirmed { call, version } => {
                self.end_confirmation(call, ConfirmResult::Confirmed(version));
            }
            NodeOutput::NotConfirmed { call, leader } => {
                self.end_confirmation(call, ConfirmResult::Unconfirmed(leader));
            }
            NodeOutput::ConfirmStream { stream } => self.confirm_stream(stream),
            NodeOutput::Update {
                stream,
                update,
                is_confirmed,
            } => {
                let update = messages::Update::from_update(update, is_confirmed);
                self.send_event(stream, follow_event::Kind::Update(update));
            }
            NodeOutput::Heartbeat {
                stream,
                version,
                digest,
                is_in_touch,
            } => {
                let heartbeat = messages::Heartbeat::new(version, digest, is_in_touch);
                self.send_event(stream, follow_event::Kind::Heartbeat(heartbeat));
            }
            NodeOutput::Close { stream } => drop(self.streams.remove(&stream)),
            NodeOutput::Applied { version } => {
                let mut event = self.events.new_event(EventKind::SettingsApplied);
                event.detail = Some(format!("version {version}"));
                self.events.record(event);
            }
            NodeOutput::RoleChanged(view) => {
                let leader = view
                    .leader
                    .map_or_else(|| "none".to_owned(), |leader| leader.to_string());
                log::info!("role {:?}, term {}, leader {leader}", view.role, view.term);
            }
            NodeOutput::Failed { detail } => eyre::bail!("the settings log can't continue: {detail}"),
        }
        Ok(())
    }

    fn end_change(&mut self, call: CallId, result: ChangeResult) {
        if let Some(PendingCall::Change(reply)) = self.pending_calls.remove(&call) {
            drop(reply.send(result));
        }
    }

    fn end_confirmation(&mut self, call: CallId, result: ConfirmResult) {
        if let Some(PendingCall::Confirm(reply)) = self.pending_calls.remove(&call) {
            drop(reply.send(result));
        }
    }

    fn confirm_stream(&self, stream: StreamId) {
        let client = self.client.clone();
        tokio::spawn(async move {
            if let Ok(version) = client.confirm_version().await {
                client.send(Request::StreamConfirmed { stream, version }).await;
            }
        });
    }

    /// Sends an event on a stream. Closes the stream if its queue is full or its receiver is gone.
    fn send_event(&mut self, stream: StreamId, kind: follow_event::Kind) {
        let Some(tx) = self.streams.get(&stream) else {
            return;
        };
        if tx.try_send(Ok(FollowEvent { kind: Some(kind) })).is_err() {
            self.close_stream(stream);
        }
    }

    fn close_stream(&mut self, stream: StreamId) {
        self.streams.remove(&stream);
        self.handle(NodeInput::Unfollow { stream }, &mut Vec::new());
    }

    fn status(&self) -> StatusReply {
        let agreement = self.node.agreement();
        let view = agreement.role();
        let settings = self.node.settings();
        let configuration = agreement.configuration();
        let mut followers = Vec::new();
        for (instance, version) in self.node.followers() {
            followers.push(FollowerStatus {
                instance: instance.to_string(),
                version: version.unwrap_or_default().0,
            });
        }
        StatusReply {
            instance: agreement.id().instance.to_string(),
            role: format!("{:?}", view.role).to_lowercase(),
            term: view.term.0,
            leader: view
                .leader
                .map(|leader| leader.instance.to_string())
                .unwrap_or_default(),
            version: settings.version().0,
            digest: settings.tree().digest().0.to_be_bytes().to_vec(),
            is_in_touch: self.node.has_recent_contact(self.now()),
            voter: agreement.id().to_string(),
            voters: configuration.voters.iter().map(ToString::to_string).collect(),
            learners: configuration.learners.iter().map(ToString::to_string).collect(),
            followers,
        }
    }
}

fn snapshot_at(settings: &SettingsLog, at: Option<Version>) -> Result<Update, Refusal> {
    let Some(at) = at.filter(|at| *at != settings.version()) else {
        return Ok(settings.update_since(None));
    };
    Ok(Update::snapshot(at, &settings.tree_at(at)?))
}
