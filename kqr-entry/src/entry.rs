use std::sync::Arc;

use kqr_settings::{Tree, Version, bootstrap::Instance};
use kqr_telemetry::EventKind;
use kqr_types::{Incarnation, InstanceId};
use kqr_wire::{mail::Mail, siblings::MailReply};
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

/// The parts of a running entry.
#[derive(Debug)]
pub struct Entry {
    /// This instance.
    pub own: Instance,
    /// Jobs, queue and targets.
    pub engine: Arc<Engine>,
    /// The rule that names the home data centre of each key.
    pub topology: RegionTopology,
    /// The cell of the data centre, and those that this instance is a witness of.
    pub cells: CellDrivers,
    /// The shares of the targets' slots.
    pub shares: SlotShares,
    /// The shares of the teams' quotas.
    pub quotas: QuotaShares,
    /// The settings in force.
    pub settings: Arc<LiveSettings>,
    /// The targets of the data centre.
    pub registry: Registry,
    /// Connections to siblings.
    pub links: Arc<SiblingLinks>,
    /// Messages to siblings.
    pub outbox: Arc<Outbox>,
    /// The client that relays requests.
    pub relay: Relay,
    /// Whether settings are received from control instances.
    pub has_control: bool,
    /// Cancelled when the shutdown begins.
    pub shutdown: CancellationToken,
}

impl Entry {
    /// Takes in a message of another entry's machines.
    pub fn take_mail(&self, from: &InstanceId, incarnation: Incarnation, mail: Mail) {
        match mail {
            Mail::Jobs { shard, message } => {
                let shard = ShardIndex(usize::from(shard));
                self.engine
                    .handle_message(shard, from.clone(), incarnation, message);
            }
            Mail::Cell { data_centre, message } => self.cells.handle_message(&data_centre, message),
            Mail::SlotReport(report) => self.shares.handle_report(report),
            Mail::SlotGrant(grant) => self.shares.handle_grant(grant),
            Mail::QuotaReport(report) => self.quotas.handle_report(report),
            Mail::QuotaGrant(grant) => self.quotas.handle_grant(grant),
            Mail::LoanRequest(request) => self.engine.handle_loan_request(from, incarnation, request),
            Mail::LoanAnswer(answer) => self.engine.handle_loan_answer(from, answer),
            Mail::LoanReturns(returned) => self.engine.handle_loan_returns(from, incarnation, returned),
            Mail::LoansInUse(numbers) => self.engine.renew_loans(from, incarnation, &numbers),
            Mail::Directory(message) => {
                self.registry.handle(kqr_directory::Input::Peer {
                    from: from.clone(),
                    message,
                });
            }
        }
    }

    /// Returns the messages that wait for `peer`, as the reply to a delivery by it.
    pub fn reply_to(&self, peer: &InstanceId) -> MailReply {
        MailReply {
            mails: self.outbox.take_batch(peer),
            ..self.empty_reply()
        }
    }

    /// Returns a reply without messages.
    pub fn empty_reply(&self) -> MailReply {
        MailReply {
            incarnation: self.outbox.own.incarnation,
            time: self.engine.events.time(),
            mails: Vec::new(),
        }
    }

    /// Puts a version of the settings in force.
    pub fn apply_settings(&self, version: Version, tree: &Tree) {
        self.settings.apply(version, tree);
        self.quotas.apply_settings();
        let mut event = self.engine.events.event(EventKind::SettingsApplied);
        event.detail = Some(format!("version {version}"));
        self.engine.events.record(event);
        log::info!("settings version {version} is in force");
    }

    /// Lets the machines see that time has passed. Returns whether jobs are live or tasks wait.
    pub fn tick(&self) -> bool {
        self.cells.tick();
        let is_live = self.engine.tick();
        self.shares.tick();
        self.quotas.tick();
        self.registry.handle(kqr_directory::Input::Tick);
        is_live
    }
}
