use std::{collections::VecDeque, time::Duration};

use kqr_jobs::WaitingTask;
use kqr_placement::{Demand, PickFailure, Table, TargetKind};
use kqr_types::{Incarnation, JobKey, TargetId};

/// Expected run time of a task whose caller declared none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(200);

/// What became of a waiting task.
#[derive(Debug)]
pub enum Dispatched {
    /// A slot of the target was taken for it.
    Placed(WaitingTask, TargetId, Incarnation),
    /// No target can ever run it.
    Impossible(WaitingTask, PickFailure),
}

/// The tasks that wait for slots.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: VecDeque<WaitingTask>,
}

impl Queue {
    /// Adds tasks at the end.
    pub fn push(&mut self, tasks: Vec<WaitingTask>) {
        self.waiting.extend(tasks);
    }

    /// Removes the tasks of a job.
    pub fn withdraw(&mut self, key: &JobKey) {
        self.waiting.retain(|task| task.key != *key);
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Places as many tasks as there are free slots, in order.
    pub fn dispatch(&mut self, table: &Table) -> Vec<Dispatched> {
        let mut dispatched = Vec::new();
        let mut blocked = Vec::new();
        let mut kept = VecDeque::new();
        while let Some(mut task) = self.waiting.pop_front() {
            if blocked.contains(&task.service) {
                kept.push_back(task);
                continue;
            }
            if is_all_avoided(table, &task) {
                // A target that was tried is better than none.
                task.avoid.clear();
            }
            let demand = Demand {
                cores: task.spec.cores,
                memory: task.spec.memory,
                accelerators: task.spec.accelerators,
                run_time: task.spec.run_time.unwrap_or(DEFAULT_RUN_TIME),
                avoid: &task.avoid,
            };
            match table.pick(&task.service, TargetKind::Worker, &demand) {
                Ok(target) => dispatched.push(Dispatched::Placed(
                    task,
                    target.announcement.id.clone(),
                    target.announcement.incarnation,
                )),
                Err(PickFailure::AllBusy) => {
                    blocked.push(task.service.clone());
                    kept.push_back(task);
                }
                Err(failure) => dispatched.push(Dispatched::Impossible(task, failure)),
            }
        }
        self.waiting = kept;
        dispatched
    }
}

/// Returns whether each worker of the service was tried by the task.
fn is_all_avoided(table: &Table, task: &WaitingTask) -> bool {
    if task.avoid.is_empty() {
        return false;
    }
    for target in table.targets() {
        let own = &target.announcement;
        let is_candidate = own.service == task.service && own.kind == TargetKind::Worker;
        if is_candidate && !task.avoid.contains(&own.id) {
            return false;
        }
    }
    true
}
