use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kqr_placement::{Announcement, ResourceUnits, ShareGrant, ShareOptions, ShareReport, ShareUsage};
use kqr_types::{InstanceId, Instant, ServiceName, TargetId};
use kqr_wire::mail::Mail;

use crate::{
    cell_shares::{CellShares, ShareEffects, ShareMessage},
    engine::Engine,
    live_settings::{LiveSettings, SettingsSnapshot},
    outbox::Outbox,
};

/// Time between two reports while no slot is used and no task waits. Two fit into a lease, so that it outlasts the loss of
/// one.
const IDLE_PERIOD: Duration = Duration::from_millis(800);

/// The shares of targets' slots that are leased to this instance, and those that it leases to the cell's members.
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
    /// Creates the shares of a member that holds none yet.
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

    /// Reports the use of slots once a period.
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
        state.next_idle_tick = now + IDLE_PERIOD;
        state.shares.set_view(now, &self.engine.view());
        state.shares.set_resources(now, self.units());
        let effects = state.shares.tick(now, self.usage());
        self.engine.send_loan_returns();
        self.perform(effects);
    }

    /// Takes in the report of a member.
    pub fn handle_report(&self, report: ShareReport<TargetId>) {
        self.engine
            .record_sibling_report(report.from.clone(), report.free);
        let now = self.engine.clock.now();
        let mut state = self.lock();
        let effects = state.shares.handle_report(now, report);
        self.perform(effects);
    }

    /// Takes in the grant of a member.
    pub fn handle_grant(&self, grant: ShareGrant<TargetId>) {
        let now = self.engine.clock.now();
        let mut state = self.lock();
        let effects = state.shares.handle_grant(now, grant);
        self.perform(effects);
    }

    /// Returns all slots of the known targets that may be used.
    fn units(&self) -> Vec<ResourceUnits<TargetId>> {
        let settings = self.settings.current();
        let mut units = Vec::new();
        for target in self.engine.table.targets() {
            let own = &target.announcement;
            units.push(ResourceUnits {
                resource: own.id.clone(),
                units: allowed_slots(&settings, own),
            });
        }
        units
    }

    /// Returns what this instance uses of the known targets.
    fn usage(&self) -> ShareUsage<TargetId> {
        let engine = &self.engine;
        let waiting = |service: &ServiceName| engine.waiting_tasks(service);
        engine.table.share_usage(engine.lease_until(), waiting)
    }

    /// Performs effects in their order, for which the state stays locked.
    fn perform(&self, effects: ShareEffects<TargetId>) {
        for (to, message) in effects.messages {
            let mail = match message {
                ShareMessage::Report(report) => Mail::SlotReport(report),
                ShareMessage::Grant(grant) => Mail::SlotGrant(grant),
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

/// Returns how many slots of a target may be used: none if the settings drain it, and no more than connections, of
/// which each exchange takes one.
fn allowed_slots(settings: &SettingsSnapshot, target: &Announcement) -> u32 {
    let rules = settings.target_rules(&target.service, &target.id);
    if rules.is_draining.0 {
        return 0;
    }
    let connections = target.connections.min(rules.max_connections.0);
    target.slots.0.min(rules.max_slots.0).min(connections)
}
