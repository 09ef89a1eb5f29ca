use std::collections::{BTreeMap, VecDeque};

use kqr_types::TeamName;

use crate::{
    Quotas,
    lane::{Item, Lane},
    team_queue::{Blocked, TeamQueue},
};

/// The waiting tasks of one service, served by deficit round robin over teams.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    teams: BTreeMap<TeamName, TeamQueue>,
    turns: VecDeque<TeamName>,
    /// Number of waiting tasks.
    pub waiting: u32,
}

/// A task that may be placed next.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub team: TeamName,
    pub lane: Lane,
    pub number: u64,
    pub item: Item,
}

impl ServiceQueue {
    /// Expected run time that a team of the largest weight gets in its turn, in seconds.
    const QUANTUM: f64 = 0.5;

    /// Adds a task.
    pub fn push(&mut self, team: &TeamName, lane: Lane, number: u64, item: Item) {
        self.waiting += 1;
        let queue = self.teams.entry(team.clone()).or_default();
        if queue.is_empty() {
            self.turns.push_back(team.clone());
        }
        queue.push(lane, number, item);
    }

    /// Removes a task.
    pub fn remove(&mut self, team: &TeamName, lane: &Lane, number: u64) -> Option<Item> {
        let queue = self.teams.get_mut(team)?;
        let item = queue.remove(lane, number)?;
        if queue.is_empty() {
            self.teams.remove(team);
            self.turns.retain(|other| other != team);
        }
        self.waiting -= 1;
        Some(item)
    }

    /// Returns the next task by deficit round robin that is not blocked.
    pub fn next(&mut self, blocked: &Blocked, quotas: &Quotas) -> Option<Candidate> {
        let largest = self
            .turns
            .iter()
            .map(|team| quotas.weight(team))
            .fold(1.0, f64::max);
        let mut skipped = 0;
        while skipped < self.turns.len() {
            let team = self.turns.front()?.clone();
            let queue = self.teams.get_mut(&team)?;
            let Some((lane, number, item)) = queue.first(blocked) else {
                self.turns.rotate_left(1);
                skipped += 1;
                continue;
            };
            if queue.deficit <= 0.0 {
                queue.deficit += Self::QUANTUM * quotas.weight(&team) / largest;
                self.turns.rotate_left(1);
                skipped = 0;
                continue;
            }
            return Some(Candidate {
                lane: lane.clone(),
                number,
                item: item.clone(),
                team,
            });
        }
        None
    }

    /// Counts a placed task against the turn of its team.
    pub fn charge(&mut self, team: &TeamName, work: f64) {
        if let Some(queue) = self.teams.get_mut(team) {
            queue.deficit -= work;
        }
    }

    /// Returns the work that is served before a new task of `team`, in seconds at speed 1: all that waits, or less if
    /// the fair share of the team serves it sooner. Long and short work are served apart.
    pub fn work_before(&self, team: &TeamName, is_long: bool, quotas: &Quotas) -> f64 {
        let own_weight = quotas.weight(team);
        let mut own_work = 0.0;
        let mut all_work = 0.0;
        let mut weights = own_weight;
        for (other, queue) in &self.teams {
            let work = queue.work(is_long);
            all_work += work;
            if other == team {
                own_work = work;
            } else if work > 0.0 {
                weights += quotas.weight(other);
            }
        }
        f64::min(all_work, own_work * weights / own_weight)
    }

    /// Returns all waiting tasks with their places.
    pub fn iter(&self) -> impl Iterator<Item = (&TeamName, &Lane, u64, &Item)> {
        let of_team = |(team, queue)| {
            let queue: &TeamQueue = queue;
            queue
                .iter()
                .map(move |(lane, number, item)| (team, lane, number, item))
        };
        self.teams.iter().flat_map(of_team)
    }
}
