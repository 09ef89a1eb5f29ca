use std::{collections::BTreeMap, time::Duration};

use kqr_types::{Instant, Rate, TeamName};

use crate::TokenBucket;

/// Share of a team's quota that this instance may admit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Tasks per second that are leased to this instance.
    pub rate: Rate,
    /// Time over which unused quota accumulates.
    pub burst: Duration,
}

/// The quotas of all teams, as leased to this instance.
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
        let new_quota = || (quota, TokenBucket::new(now, quota.rate, burst));
        let (present, bucket) = self.teams.entry(team.clone()).or_insert_with(new_quota);
        *present = quota;
        bucket.set_limits(now, quota.rate, burst);
    }

    /// Takes `tasks` from the quota of a team and returns whether they are within it. Returns false for a
    /// team without a quota.
    pub fn take(&mut self, now: Instant, team: &TeamName, tasks: u32) -> bool {
        let team_quota = self.teams.get_mut(team);
        team_quota.is_some_and(|(_, bucket)| bucket.take(now, f64::from(tasks)))
    }

    /// Refunds the quota that was taken for the `tasks` of a refused job.
    pub fn refund(&mut self, team: &TeamName, tasks: u32) {
        if let Some((_, bucket)) = self.teams.get_mut(team) {
            bucket.refund(f64::from(tasks));
        }
    }

    /// Returns the scheduling weight of a team: its quota in tasks per second and at least 1, or 1 without a
    /// quota.
    pub fn weight(&self, team: &TeamName) -> f64 {
        self.teams
            .get(team)
            .map_or(1.0, |(quota, _)| quota.rate.0.max(1.0))
    }

    /// Returns the time until `tasks` are within the quota of a team, or zero for a team without a quota.
    pub fn time_until(&self, team: &TeamName, tasks: u32) -> Duration {
        let team_quota = self.teams.get(team);
        team_quota.map_or(Duration::ZERO, |(_, bucket)| bucket.time_until(f64::from(tasks)))
    }

    /// Returns whether a team has a quota.
    pub fn has_quota(&self, team: &TeamName) -> bool {
        self.teams.contains_key(team)
    }
}
