use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kqr_admission::Quota;
use kqr_placement::{ResourceUnits, ResourceUsage, ShareGrant, ShareOptions, ShareReport, ShareUsage};
use kqr_settings::schema::TeamSettings;
use kqr_types::{InstanceId, Instant, Rate, TeamName};
use kqr_wire::entry_message::EntryMessage;

use crate::{
    cell_shares::{CellShares, ShareEffects, ShareMessage},
    engine::Engine,
    live_settings::LiveSettings,
    outbox::Outbox,
};

/// Interval between reports that include teams without demand, a fraction of a lease so that a lost report
/// does not end one.
const FULL_REPORT_PERIOD: Duration = Duration::from_millis(800);

/// Shares of the teams' quotas that are leased to this instance, and those that it leases to the members of
/// the cell. A unit is one task per second.
#[derive(Debug)]
pub struct QuotaShares {
    engine: Arc<Engine>,
    settings: Arc<LiveSettings>,
    outbox: Arc<Outbox>,
    options: ShareOptions,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    shares: CellShares<TeamName>,
    teams: BTreeMap<TeamName, TeamShare>,
    next_tick: Instant,
    next_full_tick: Instant,
    /// Instant until which every report includes all teams: an allocator that has a report of every member
    /// assumes that these cover all leased units.
    full_until: Instant,
}

/// The quota of a team and the share that is leased to this instance.
#[derive(Debug)]
struct TeamShare {
    rules: TeamSettings,
    leased: u32,
    demand: u32,
}

impl TeamShare {
    /// Returns the whole quota in tasks per second, rounded down.
    fn total_units(&self) -> u32 {
        self.rules.quota.0 as u32
    }

    /// Returns the leased share of the quota. Its burst covers the same time as that of the whole quota, so
    /// that unused quota accumulates equally long at every instance.
    fn quota(&self) -> Quota {
        let burst = f64::from(self.rules.burst.0) / self.rules.quota.0.max(1.0);
        Quota {
            rate: Rate(f64::from(self.leased)),
            burst: Duration::from_secs_f64(burst),
        }
    }
}

impl QuotaShares {
    /// Creates the shares of a member without leased quota.
    pub fn new(
        own: InstanceId,
        engine: Arc<Engine>,
        settings: Arc<LiveSettings>,
        outbox: Arc<Outbox>,
    ) -> Self {
        let options = ShareOptions::default();
        let state = State {
            shares: CellShares::new(own, &options),
            teams: BTreeMap::new(),
            next_tick: Instant(0),
            next_full_tick: Instant(0),
            full_until: Instant(0),
        };
        Self {
            engine,
            settings,
            outbox,
            options,
            state: Mutex::new(state),
        }
    }

    /// Applies the quotas of the current settings. Until the next grant, a team keeps its leased share,
    /// limited to its new quota.
    pub fn apply_settings(&self) {
        let now = self.engine.clock.now();
        let settings = self.settings.current();
        let mut state = self.lock();
        let mut previous_teams = std::mem::take(&mut state.teams);
        let mut units = Vec::new();
        for (name, rules) in settings.teams() {
            let previous = previous_teams.remove(name);
            let mut team = TeamShare {
                rules: rules.clone(),
                leased: previous.as_ref().map_or(0, |team| team.leased),
                demand: previous.map_or(0, |team| team.demand),
            };
            team.leased = team.leased.min(team.total_units());
            units.push(ResourceUnits {
                resource: name.clone(),
                units: team.total_units(),
            });
            self.engine.set_quota(now, name, Some(team.quota()));
            state.teams.insert(name.clone(), team);
        }
        for name in previous_teams.keys() {
            self.engine.set_quota(now, name, None);
        }
        state.shares.set_resources(now, units);
    }

    /// Reports the demand of the teams if a report is due.
    pub fn tick(&self) {
        let now = self.engine.clock.now();
        let mut state = self.lock();
        if now < state.next_tick {
            return;
        }
        state.next_tick = now + self.options.period;
        if state.shares.set_view(now, &self.engine.view()) {
            state.full_until = now + self.options.allocator_lease() + self.options.period;
        }
        if state.teams.is_empty() {
            return;
        }
        let is_full = now < state.full_until || now >= state.next_full_tick;
        if is_full {
            state.next_full_tick = now + FULL_REPORT_PERIOD;
        }
        let uses = self.usage(&mut state, is_full);
        let usage = ShareUsage {
            free: 0,
            uses,
            epoch_lease: self.engine.lease_until(),
        };
        let mut effects = state.shares.tick(now, usage);
        // A report without claims is needed only if it is a full one.
        effects.messages.retain(|(_, message)| match message {
            ShareMessage::Report(report) => is_full || !report.claims.is_empty(),
            ShareMessage::Grant(_) => true,
        });
        self.perform(&mut state, effects);
    }

    /// Handles the report of a member.
    pub fn handle_report(&self, report: ShareReport<TeamName>) {
        let mut state = self.lock();
        let effects = state.shares.handle_report(self.engine.clock.now(), report);
        self.perform(&mut state, effects);
    }

    /// Handles the grant of an allocator.
    pub fn handle_grant(&self, grant: ShareGrant<TeamName>) {
        let mut state = self.lock();
        let effects = state.shares.handle_grant(self.engine.clock.now(), grant);
        self.perform(&mut state, effects);
    }

    /// Returns the share of a team's quota that is leased to this instance, in tasks per second.
    pub fn leased_units(&self, team: &TeamName) -> u32 {
        self.lock().teams.get(team).map_or(0, |team| team.leased)
    }

    /// Returns the demand of the teams that have any, or of all teams if `is_full`, and lets the demand
    /// decay.
    fn usage(&self, state: &mut State, is_full: bool) -> Vec<ResourceUsage<TeamName>> {
        let mut arrivals = self.engine.take_arrivals();
        let mut uses = Vec::new();
        for (name, team) in &mut state.teams {
            team.demand = team
                .demand
                .saturating_add(arrivals.remove(name).unwrap_or_default());
            if team.demand > 0 || is_full {
                uses.push(ResourceUsage {
                    resource: name.clone(),
                    used: 0,
                    demand: team.demand,
                });
            }
            // The demand is a decaying sum over several periods, so that the shares do not follow single
            // arrivals.
            team.demand -= team.demand.div_ceil(8);
        }
        uses
    }

    /// Performs effects in order.
    fn perform(&self, state: &mut State, effects: ShareEffects<TeamName>) {
        let now = self.engine.clock.now();
        for (to, message) in effects.messages {
            let mail = match message {
                ShareMessage::Report(report) => EntryMessage::QuotaReport(report),
                ShareMessage::Grant(grant) => EntryMessage::QuotaGrant(grant),
            };
            self.outbox.enqueue(&to, mail);
        }
        for ResourceUnits { resource, units } in effects.limits {
            let Some(team) = state.teams.get_mut(&resource) else {
                continue;
            };
            team.leased = units.min(team.total_units());
            self.engine.set_quota(now, &resource, Some(team.quota()));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
