use std::sync::Arc;

use kqr_settings::{Tree, Version, bootstrap::Instance};
use kqr_telemetry::EventKind;
use kqr_types::{Incarnation, InstanceId};
use kqr_wire::{entry_message::EntryMessage, siblings::DeliveryReply};
use tokio_util::sync::CancellationToken;

use crate::{
    callers::Relay,
    cell_drivers::CellDrivers,
    engine::{Engine, ShardIndex},
    live_settings::LiveSettings,
    outbox::Outbox,
    quota_shares::QuotaShares,
    registry::Registry,
    sibling_links::SiblingLinks,
    slot_shares::SlotShares,
    topology::RegionTopology,
};

/// The components of a running entry.
#[derive(Debug)]
pub struct Entry {
    /// This instance.
    pub own: Instance,
    /// Job machines, queue and table of targets.
    pub engine: Arc<Engine>,
    /// The rule that gives the home data centre of each key.
    pub topology: RegionTopology,
    /// The cell of the data centre, and the cells for which this instance is a witness.
    pub cells: CellDrivers,
    /// This entry's shares of the targets' slots.
    pub shares: SlotShares,
    /// This entry's shares of the teams' quotas.
    pub quotas: QuotaShares,
    /// The settings in force.
    pub settings: Arc<LiveSettings>,
    /// The directory of the data centre's targets.
    pub registry: Registry,
    /// Connections to other entries.
    pub links: Arc<SiblingLinks>,
    /// Outgoing messages to other entries.
    pub outbox: Arc<Outbox>,
    /// The client that relays requests.
    pub relay: Relay,
    /// Whether settings are received from control instances.
    pub has_control: bool,
    /// Cancelled when the shutdown begins.
    pub shutdown: CancellationToken,
}

impl Entry {
    /// Passes a message from another entry to the component that it is meant for.
    pub fn receive_mail(&self, from: &InstanceId, incarnation: Incarnation, mail: EntryMessage) {
        match mail {
            EntryMessage::Jobs { shard, message } => {
                let shard = ShardIndex(usize::from(shard));
                self.engine
                    .handle_message(shard, from.clone(), incarnation, message);
            }
            EntryMessage::Cell { data_centre, message } => self.cells.handle_message(&data_centre, message),
            EntryMessage::SlotReport(report) => self.shares.handle_report(report),
            EntryMessage::SlotGrant(grant) => self.shares.handle_grant(grant),
            EntryMessage::QuotaReport(report) => self.quotas.handle_report(report),
            EntryMessage::QuotaGrant(grant) => self.quotas.handle_grant(grant),
            EntryMessage::LoanRequest(request) => self.engine.handle_loan_request(from, incarnation, request),
            EntryMessage::LoanAnswer(answer) => self.engine.handle_loan_answer(from, answer),
            EntryMessage::LoanReturns(returned) => {
                self.engine.handle_loan_returns(from, incarnation, returned);
            }
            EntryMessage::LoansInUse(numbers) => self.engine.renew_loans(from, incarnation, &numbers),
            EntryMessage::Directory(message) => {
                self.registry.handle(kqr_directory::Input::Peer {
                    from: from.clone(),
                    message,
                });
            }
        }
    }

    /// Returns the reply to a delivery of `peer`, with the messages that are queued for it.
    pub fn reply_to(&self, peer: &InstanceId) -> DeliveryReply {
        DeliveryReply {
            mails: self.outbox.take_batch(peer),
            ..self.empty_response()
        }
    }

    /// Returns a reply without messages.
    pub fn empty_response(&self) -> DeliveryReply {
        DeliveryReply {
            incarnation: self.outbox.own.incarnation,
            time: self.engine.events.now(),
            mails: Vec::new(),
        }
    }

    /// Applies a version of the settings.
    pub fn apply_settings(&self, version: Version, tree: &Tree) {
        self.settings.apply(version, tree);
        self.quotas.apply_settings();
        let mut event = self.engine.events.new_event(EventKind::SettingsApplied);
        event.detail = Some(format!("version {version}"));
        self.engine.events.record(event);
        log::info!("settings version {version} is in force");
    }

    /// Advances the time of all components. Returns whether jobs are live or tasks wait.
    pub fn tick(&self) -> bool {
        self.cells.tick();
        let is_live = self.engine.tick();
        self.shares.tick();
        self.quotas.tick();
        self.registry.handle(kqr_directory::Input::Tick);
        is_live
    }
}
