use std::{collections::BTreeMap, time::Duration};

use kqr_admission::{AttemptResult, EndedAttempt};
use kqr_jobs::{Submission, TaskSpec, WaitingTask};
use kqr_placement::{Announcement, TargetKind};
use kqr_types::{
    ByteSize, ClassName, Incarnation, InstanceId, Instant, JobKey, ServiceName, Slots, TargetId, TaskIndex,
    TeamName,
};

use crate::{
    event::End,
    scenario::Scenario,
    workload::{Arrival, LONG_CLASS},
};

/// Run time that every caller declares, whatever the truth.
const DECLARED: Duration = Duration::from_millis(100);

/// Names of what the scenario counts.
#[derive(Debug)]
pub struct Names {
    pub service: ServiceName,
    pub teams: Vec<TeamName>,
    pub entries: Vec<InstanceId>,
    classes: Vec<ClassName>,
    targets: Vec<TargetId>,
    indexes: BTreeMap<TargetId, usize>,
    slots: u32,
    deadline: Duration,
}

fn parse<Id>(text: &str) -> Id
where
    Id: std::str::FromStr,
    Id::Err: std::fmt::Debug,
{
    match text.parse() {
        Ok(id) => id,
        Err(error) => unreachable!("{text} is a valid name: {error:?}"),
    }
}

impl Names {
    /// Creates the names of a scenario.
    pub fn new(scenario: &Scenario) -> Self {
        let targets: Vec<TargetId> = (0..scenario.targets)
            .map(|n| parse(&format!("worker-{n}")))
            .collect();
        let indexes = targets
            .iter()
            .enumerate()
            .map(|(n, id)| (id.clone(), n))
            .collect();
        Self {
            service: parse("proofs"),
            teams: (0..scenario.teams.len().max(1))
                .map(|n| parse(&format!("team-{n}")))
                .collect(),
            entries: (0..scenario.entries)
                .map(|n| parse(&format!("entry-{n}")))
                .collect(),
            classes: (0..=LONG_CLASS).map(|n| parse(&format!("class-{n}"))).collect(),
            targets,
            indexes,
            slots: scenario.slots,
            deadline: scenario.deadline,
        }
    }

    /// Returns the announcement of a target.
    pub fn announcement(&self, target: usize) -> Announcement {
        Announcement {
            id: self.targets[target].clone(),
            incarnation: Incarnation(1),
            kind: TargetKind::Worker,
            service: self.service.clone(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
            slots: Slots(self.slots),
            connections: 64,
            rack: parse(&format!("rack-{}", target / 8)),
            cores: 16,
            memory: ByteSize(64 << 30),
            accelerators: 0,
        }
    }

    /// Returns the number of a target.
    pub fn target_index(&self, target: &TargetId) -> usize {
        self.indexes.get(target).copied().unwrap_or(usize::MAX)
    }

    /// Returns the number of the task that is the only one of the job with `key`.
    pub fn task_number(key: &JobKey) -> usize {
        key.as_str().parse().unwrap_or(usize::MAX)
    }

    /// Returns the submission of the job whose first task is `task`.
    pub fn submission(&self, task: usize, arrival: &Arrival) -> Submission {
        Submission {
            key: parse(&task.to_string()),
            attempt: None,
            team: self.teams[arrival.team].clone(),
            service: self.service.clone(),
            deadline: self.deadline,
            fingerprint: 0,
            tasks: vec![self.spec(arrival); arrival.tasks],
        }
    }

    /// Returns a task for the queue.
    pub fn waiting(&self, task: usize, arrival: &Arrival) -> WaitingTask {
        WaitingTask {
            key: parse(&task.to_string()),
            task: TaskIndex(0),
            team: self.teams[arrival.team].clone(),
            service: self.service.clone(),
            deadline: Instant(arrival.at) + self.deadline,
            avoid: Vec::new(),
            spec: self.spec(arrival),
        }
    }

    /// Returns the end of a task for the queue.
    pub fn ended(
        &self,
        task: usize,
        arrival: &Arrival,
        target: usize,
        end: End,
        run_time: f64,
    ) -> EndedAttempt {
        let result = match end {
            End::Completed => AttemptResult::Completed,
            End::Failed => AttemptResult::Failed,
            End::Refused => AttemptResult::NotStarted,
        };
        EndedAttempt {
            key: parse(&task.to_string()),
            task: TaskIndex(0),
            service: self.service.clone(),
            class: self.classes[arrival.class].clone(),
            target: self.targets[target].clone(),
            result,
            run_time: Some(Duration::from_secs_f64(run_time)),
        }
    }

    fn spec(&self, arrival: &Arrival) -> TaskSpec {
        TaskSpec {
            class: self.classes[arrival.class].clone(),
            payload: String::new(),
            run_time: Some(DECLARED),
            cores: 1,
            memory: ByteSize(0),
            accelerators: 0,
        }
    }
}
