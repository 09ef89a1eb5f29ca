use std::{collections::BTreeMap, time::Duration};

use kqr_types::{Instant, Rate, TeamName};

use crate::TokenBucket;

/// The part of a team's quota that this instance may admit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Tasks a second, as leased to this instance.
    pub rate: Rate,
    /// Time for which unused quota is kept.
    pub burst: Duration,
}

/// The quotas of all teams as leased to this instance.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    teams: BTreeMap<TeamName, (Quota, TokenBucket)>,
}

impl Quotas {
    /// Sets the quota of a team, or removes it.
    pub fn set(&mut self, now: Instant, team: &TeamName, quota: Option<Quota>) {
        let Some(quota) = quota else {
            self.teams.remove(team);
            return;
        };
        let burst = (quota.rate.0 * quota.burst.as_secs_f64()).max(1.0);
        let fresh = || (quota, TokenBucket::new(now, quota.rate, burst));
        let (present, bucket) = self.teams.entry(team.clone()).or_insert_with(fresh);
        *present = quota;
        bucket.set_limits(now, quota.rate, burst);
    }

    /// Takes `tasks` from the quota of a team. Returns whether they are within it; a team without a quota never is.
    pub fn take(&mut self, now: Instant, team: &TeamName, tasks: u32) -> bool {
        let known = self.teams.get_mut(team);
        known.is_some_and(|(_, bucket)| bucket.take(now, f64::from(tasks)))
    }

    /// Gives back what a refused job took.
    pub fn refund(&mut self, team: &TeamName, tasks: u32) {
        if let Some((_, bucket)) = self.teams.get_mut(team) {
            bucket.refund(f64::from(tasks));
        }
    }

    /// Returns the weight of a team in the queue: its quota, or 1 for a team without one.
    pub fn weight(&self, team: &TeamName) -> f64 {
        self.teams
            .get(team)
            .map_or(1.0, |(quota, _)| quota.rate.0.max(1.0))
    }

    /// Returns the time until `tasks` will be within the quota of a team, or zero for a team without a quota.
    pub fn time_until(&self, team: &TeamName, tasks: u32) -> Duration {
        let known = self.teams.get(team);
        known.map_or(Duration::ZERO, |(_, bucket)| bucket.time_until(f64::from(tasks)))
    }

    /// Returns whether a team has a quota.
    pub fn has_quota(&self, team: &TeamName) -> bool {
        self.teams.contains_key(team)
    }
}
