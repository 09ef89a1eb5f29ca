use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kqr_placement::{
    Announcement, HolderInput, HolderOutput, KeeperInput, KeeperOutput, ResourceUse, ShareGrant, ShareHolder,
    ShareKeeper, ShareOptions, ShareReport, ShareUse, Units,
};
use kqr_types::{Epoch, InstanceId, Instant, TargetId};
use kqr_wire::mail::Mail;

use crate::{
    engine::Engine,
    live_settings::{InForce, LiveSettings},
    outbox::Outbox,
};

/// Time between two reports while no slot is used and no task waits. It is a part of a lease, so that none ends.
const IDLE_PERIOD: Duration = Duration::from_millis(500);

/// The shares of targets' slots that are leased to this instance, and those that it leases to the cell's members.
#[derive(Debug)]
pub struct SlotShares {
    own: InstanceId,
    engine: Arc<Engine>,
    settings: Arc<LiveSettings>,
    outbox: Arc<Outbox>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    options: ShareOptions,
    holder: ShareHolder<TargetId>,
    keeper: ShareKeeper<TargetId>,
    epoch: Epoch,
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
            holder: ShareHolder::new(own.clone(), options.clone()),
            keeper: ShareKeeper::new(own.clone(), options.clone()),
            options,
            epoch: Epoch(0),
            next_tick: Instant(0),
            next_idle_tick: Instant(0),
        };
        Self {
            own,
            engine,
            settings,
            outbox,
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
        state.next_tick = now + state.options.period;
        state.next_idle_tick = now + IDLE_PERIOD;
        let mut outputs = Vec::new();
        let view = self.engine.view();
        if view.epoch > state.epoch {
            state.epoch = view.epoch;
            state
                .holder
                .handle(now, HolderInput::View((*view).clone()), &mut outputs);
            state
                .keeper
                .handle(now, KeeperInput::View((*view).clone()), &mut Vec::new());
        }
        let (units, usage) = self.usage();
        state
            .keeper
            .handle(now, KeeperInput::Resources(units), &mut Vec::new());
        state.holder.handle(now, HolderInput::Tick(usage), &mut outputs);
        self.perform(&mut state, outputs);
    }

    /// Takes in the report of a member.
    pub fn take_report(&self, report: ShareReport<TargetId>) {
        self.engine.sibling_reported(report.from.clone(), report.free);
        let mut state = self.lock();
        self.keep(&mut state, report);
    }

    /// Takes in the grant of a member.
    pub fn take_grant(&self, grant: ShareGrant<TargetId>) {
        let mut state = self.lock();
        let mut outputs = Vec::new();
        state
            .holder
            .handle(self.engine.clock.now(), HolderInput::Grant(grant), &mut outputs);
        self.perform(&mut state, outputs);
    }

    /// Returns all slots of the known targets, and what this instance uses of them.
    fn usage(&self) -> (Vec<Units<TargetId>>, ShareUse<TargetId>) {
        let settings = self.settings.present();
        let targets = self.engine.table.targets();
        let mut units = Vec::with_capacity(targets.len());
        let mut resources = Vec::with_capacity(targets.len());
        let mut free = 0;
        for target in targets {
            let own = &target.announcement;
            let used = target.used();
            free += target.free();
            let waiting = self.engine.waiting_for(&own.service);
            units.push(Units {
                resource: own.id.clone(),
                units: allowed_slots(&settings, own),
            });
            resources.push(ResourceUse {
                resource: own.id.clone(),
                used,
                demand: used + waiting,
            });
        }
        let epoch_lease = self.engine.lease_until();
        (
            units,
            ShareUse {
                free,
                uses: resources,
                epoch_lease,
            },
        )
    }

    fn keep(&self, state: &mut State, report: ShareReport<TargetId>) {
        let mut outputs = Vec::new();
        state
            .keeper
            .handle(self.engine.clock.now(), KeeperInput::Report(report), &mut outputs);
        for KeeperOutput { to, grant } in outputs {
            if to != self.own {
                self.outbox.post(&to, Mail::SlotGrant(grant));
                continue;
            }
            let mut limits = Vec::new();
            state
                .holder
                .handle(self.engine.clock.now(), HolderInput::Grant(grant), &mut limits);
            self.perform(state, limits);
        }
    }

    fn perform(&self, state: &mut State, outputs: Vec<HolderOutput<TargetId>>) {
        let mut is_changed = false;
        for output in outputs {
            match output {
                HolderOutput::Report { to, report } if to == self.own => self.keep(state, report),
                HolderOutput::Report { to, report } => self.outbox.post(&to, Mail::SlotReport(report)),
                HolderOutput::Limit(Units { resource, units }) => {
                    if let Some(target) = self.engine.table.get(&resource) {
                        target.set_share(units);
                        is_changed = true;
                    }
                }
            }
        }
        if is_changed {
            self.engine.dispatch_soon();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how many slots of a target may be used: none if the settings drain it, and no more than connections, of
/// which each exchange takes one.
fn allowed_slots(settings: &InForce, target: &Announcement) -> u32 {
    let rules = settings.target(&target.service, &target.id);
    if rules.is_draining.0 {
        return 0;
    }
    let connections = target.connections.min(rules.max_connections.0);
    target.slots.0.min(rules.max_slots.0).min(connections)
}
