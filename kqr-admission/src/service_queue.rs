use std::collections::{BTreeMap, VecDeque};

use kqr_types::TeamName;

use crate::{
    Quotas,
    task_shape::{QueuedTask, TaskShape},
    team_queue::{BlockedShapes, TeamQueue},
};

/// The waiting tasks of one service, scheduled by deficit round robin over teams.
#[derive(Debug, Default)]
pub(crate) struct ServiceQueue {
    teams: BTreeMap<TeamName, TeamQueue>,
    turns: VecDeque<TeamName>,
    /// Number of waiting tasks.
    pub waiting: u32,
}

/// The next task to place.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub team: TeamName,
    pub shape: TaskShape,
    pub number: u64,
    pub item: QueuedTask,
}

impl ServiceQueue {
    /// Expected run time that the team with the largest weight gets per turn, in seconds.
    const QUANTUM_S: f64 = 0.5;

    /// Adds a task.
    pub fn push(&mut self, team: &TeamName, shape: TaskShape, number: u64, item: QueuedTask) {
        self.waiting += 1;
        let queue = self.teams.entry(team.clone()).or_default();
        if queue.is_empty() {
            self.turns.push_back(team.clone());
        }
        queue.push(shape, number, item);
    }

    /// Removes a task.
    pub fn remove(&mut self, team: &TeamName, shape: &TaskShape, number: u64) -> Option<QueuedTask> {
        let queue = self.teams.get_mut(team)?;
        let item = queue.remove(shape, number)?;
        if queue.is_empty() {
            self.teams.remove(team);
            self.turns.retain(|other| other != team);
        }
        self.waiting -= 1;
        Some(item)
    }

    /// Returns the next task in deficit round robin order that is not blocked.
    pub fn next(&mut self, blocked: &BlockedShapes, quotas: &Quotas) -> Option<Candidate> {
        let largest_weight = self
            .turns
            .iter()
            .map(|team| quotas.weight(team))
            .fold(1.0, f64::max);
        let mut skipped = 0;
        while skipped < self.turns.len() {
            let team = self.turns.front()?.clone();
            let queue = self.teams.get_mut(&team)?;
            let Some((shape, number, item)) = queue.first(blocked) else {
                self.turns.rotate_left(1);
                skipped += 1;
                continue;
            };
            if queue.deficit <= 0.0 {
                queue.deficit += Self::QUANTUM_S * quotas.weight(&team) / largest_weight;
                self.turns.rotate_left(1);
                skipped = 0;
                continue;
            }
            return Some(Candidate {
                shape: shape.clone(),
                number,
                item: item.clone(),
                team,
            });
        }
        None
    }

    /// Charges a task with the expected run time `work`, in seconds, to the deficit of its team.
    pub fn charge(&mut self, team: &TeamName, work: f64) {
        if let Some(queue) = self.teams.get_mut(team) {
            queue.deficit -= work;
        }
    }

    /// Returns the work that is placed before a new task of `team`, in seconds at speed 1: all waiting work,
    /// or less if the team's fair share places the task sooner. Long and short work are considered
    /// separately.
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

    /// Returns all waiting tasks with their positions.
    pub fn iter(&self) -> impl Iterator<Item = (&TeamName, &TaskShape, u64, &QueuedTask)> {
        let of_team = |(team, queue)| {
            let queue: &TeamQueue = queue;
            queue
                .iter()
                .map(move |(shape, number, item)| (team, shape, number, item))
        };
        self.teams.iter().flat_map(of_team)
    }
}
