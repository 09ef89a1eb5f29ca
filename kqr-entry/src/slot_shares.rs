use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kqr_placement::{Announcement, ResourceUnits, ShareGrant, ShareOptions, ShareReport, ShareUsage};
use kqr_types::{InstanceId, Instant, ServiceName, TargetId};
use kqr_wire::entry_message::EntryMessage;

use crate::{
    cell_shares::{CellShares, ShareEffects, ShareMessage},
    engine::Engine,
    live_settings::{LiveSettings, SettingsSnapshot},
    outbox::Outbox,
};

/// Interval between reports while no slot is in use and no task waits. Two intervals fit into a lease, so
/// that it survives the loss of one report.
const IDLE_REPORT_PERIOD: Duration = Duration::from_millis(800);

/// Shares of the targets' slots that are leased to this instance, and those that it leases to the members of
/// the cell.
#[derive(Debug)]
pub struct SlotShares {
    engine: Arc<Engine>,
    settings: Arc<LiveSettings>,
    outbox: Arc<Outbox>,
    period: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    shares: CellShares<TargetId>,
    next_tick: Instant,
    next_idle_tick: Instant,
}

impl SlotShares {
    /// Creates the shares of a member without leased slots.
    pub fn new(
        own: InstanceId,
        engine: Arc<Engine>,
        settings: Arc<LiveSettings>,
        outbox: Arc<Outbox>,
    ) -> Self {
        let options = ShareOptions::default();
        let state = State {
            shares: CellShares::new(own, &options),
            next_tick: Instant(0),
            next_idle_tick: Instant(0),
        };
        Self {
            engine,
            settings,
            outbox,
            period: options.period,
            state: Mutex::new(state),
        }
    }

    /// Reports the usage of slots if a report is due.
    pub fn tick(&self) {
        let now = self.engine.clock.now();
        let mut state = self.lock();
        if now < state.next_tick {
            return;
        }
        if self.engine.is_idle() && now < state.next_idle_tick {
            return;
        }
        state.next_tick = now + self.period;
        state.next_idle_tick = now + IDLE_REPORT_PERIOD;
        state.shares.set_view(now, &self.engine.view());
        state.shares.set_resources(now, self.total_units());
        let effects = state.shares.tick(now, self.usage());
        self.engine.send_loan_returns();
        self.perform(effects);
    }

    /// Handles the report of a member.
    pub fn handle_report(&self, report: ShareReport<TargetId>) {
        self.engine
            .record_sibling_report(report.from.clone(), report.free);
        let now = self.engine.clock.now();
        let mut state = self.lock();
        let effects = state.shares.handle_report(now, report);
        self.perform(effects);
    }

    /// Handles the grant of an allocator.
    pub fn handle_grant(&self, grant: ShareGrant<TargetId>) {
        let now = self.engine.clock.now();
        let mut state = self.lock();
        let effects = state.shares.handle_grant(now, grant);
        self.perform(effects);
    }

    /// Returns the number of usable slots of each known target.
    fn total_units(&self) -> Vec<ResourceUnits<TargetId>> {
        let settings = self.settings.current();
        let mut units = Vec::new();
        for target in self.engine.table.targets() {
            let announcement = &target.announcement;
            units.push(ResourceUnits {
                resource: announcement.id.clone(),
                units: usable_slots(&settings, announcement),
            });
        }
        units
    }

    /// Returns this instance's usage of the known targets.
    fn usage(&self) -> ShareUsage<TargetId> {
        let engine = &self.engine;
        let waiting = |service: &ServiceName| engine.waiting_tasks(service);
        engine.table.share_usage(engine.lease_until(), waiting)
    }

    /// Performs effects. The caller must hold the lock on the state, so that effects are performed in order.
    fn perform(&self, effects: ShareEffects<TargetId>) {
        for (to, message) in effects.messages {
            let mail = match message {
                ShareMessage::Report(report) => EntryMessage::SlotReport(report),
                ShareMessage::Grant(grant) => EntryMessage::SlotGrant(grant),
            };
            self.outbox.enqueue(&to, mail);
        }
        let mut is_changed = false;
        for ResourceUnits { resource, units } in effects.limits {
            if let Some(target) = self.engine.table.get(&resource) {
                target.set_share(units);
                is_changed = true;
            }
        }
        if is_changed {
            self.engine.table.refresh();
            self.engine.spawn_dispatch();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how many slots of a target may be used: none if the settings drain it, and at most one for each
/// connection, since each exchange occupies a connection.
fn usable_slots(settings: &SettingsSnapshot, target: &Announcement) -> u32 {
    let rules = settings.target_rules(&target.service, &target.id);
    if rules.is_draining.0 {
        return 0;
    }
    let connections = target.connections.min(rules.max_connections.0);
    target.slots.0.min(rules.max_slots.0).min(connections)
}
