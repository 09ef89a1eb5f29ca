//! Targets and tasks for the admission tests.

use std::time::Duration;

use kqr_admission::{AttemptResult, EndedAttempt, Output};
use kqr_jobs::{Submission, TaskSpec, WaitingTask};
use kqr_placement::{Announcement, Table, TargetKind};
use kqr_types::{ByteSize, Incarnation, Instant, ServiceName, Slots, TargetId, TaskIndex};

/// Returns the instant `millis` after the origin.
pub fn at(millis: u64) -> Instant {
    Instant(millis * 1000)
}

/// Returns the service of all test targets.
pub fn service() -> ServiceName {
    "ordering".parse().unwrap()
}

/// Returns a table with targets of 16 cores. Only the last target has an accelerator.
pub fn table(targets: usize, slots: u32) -> Table {
    let table = Table::new();
    for number in 0..targets {
        table.announce(&Announcement {
            id: format!("worker-{number:02}").parse().unwrap(),
            incarnation: Incarnation(1),
            kind: TargetKind::Worker,
            service: service(),
            address: "127.0.0.1:9".parse().unwrap(),
            slots: Slots(slots),
            connections: 64,
            rack: "rack-1".parse().unwrap(),
            cores: 16,
            memory: ByteSize(64 << 30),
            accelerators: u32::from(number + 1 == targets),
        });
    }
    table
}

/// Returns a job of `count` tasks with a declared run time of 100 ms.
pub fn job(key: &str, team: &str, class: &str, count: usize, deadline: Duration) -> Submission {
    let spec = TaskSpec {
        class: class.parse().unwrap(),
        payload: String::new(),
        run_time: Some(Duration::from_millis(100)),
        cores: 1,
        memory: ByteSize(0),
        accelerators: 0,
    };
    Submission {
        key: key.parse().unwrap(),
        attempt: None,
        team: team.parse().unwrap(),
        service: service(),
        deadline,
        fingerprint: 0,
        tasks: vec![spec; count],
    }
}

/// Returns the waiting tasks of `job`, which arrived at `now`.
pub fn waiting(now: Instant, job: &Submission) -> Vec<WaitingTask> {
    let mut tasks = Vec::new();
    for (index, spec) in job.tasks.iter().enumerate() {
        tasks.push(WaitingTask {
            key: job.key.clone(),
            task: TaskIndex(index as u16),
            team: job.team.clone(),
            service: job.service.clone(),
            deadline: now + job.deadline,
            avoid: Vec::new(),
            spec: spec.clone(),
        });
    }
    tasks
}

/// Returns the placed tasks among `outputs`.
pub fn placed(outputs: &[Output]) -> Vec<(&WaitingTask, &TargetId)> {
    let mut placed = Vec::new();
    for output in outputs {
        if let Output::Placed(task, target) = output {
            placed.push((task, target));
        }
    }
    placed
}

/// Returns the ended attempt of a placed task.
pub fn ended(
    task: &WaitingTask,
    target: &TargetId,
    result: AttemptResult,
    run_time: Duration,
) -> EndedAttempt {
    EndedAttempt {
        key: task.key.clone(),
        task: task.task,
        service: task.service.clone(),
        class: task.spec.class.clone(),
        target: target.clone(),
        result,
        run_time: Some(run_time),
    }
}
