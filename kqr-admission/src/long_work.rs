use std::collections::BTreeMap;

use kqr_placement::Table;
use kqr_types::{Instant, JobKey, ServiceName, TargetId, TaskIndex};

use crate::Output;

/// A task that runs on a target.
#[derive(Clone, Debug)]
struct Running {
    service: ServiceName,
    target: TargetId,
    started: Instant,
    is_long: bool,
}

/// Tracks running tasks and detects those that become long.
#[derive(Debug, Default)]
pub(crate) struct LongWorkTracker {
    running: BTreeMap<(JobKey, TaskIndex), Running>,
}

impl LongWorkTracker {
    /// Records a placed task.
    pub fn record_placed(
        &mut self,
        now: Instant,
        key: &JobKey,
        task: TaskIndex,
        service: &ServiceName,
        target: &TargetId,
        is_long: bool,
    ) {
        let running = Running {
            service: service.clone(),
            target: target.clone(),
            started: now,
            is_long,
        };
        self.running.insert((key.clone(), task), running);
    }

    /// Records the end of a placed task.
    pub fn record_ended(&mut self, table: &Table, key: &JobKey, task: TaskIndex) {
        let Some(running) = self.running.remove(&(key.clone(), task)) else {
            return;
        };
        if !running.is_long {
            return;
        }
        if let Some(target) = table.get_or_retired(&running.target) {
            target.remove_long_task();
        }
    }

    /// Detects tasks that have become long. Requests to throttle them if their target already runs as many
    /// long tasks as allowed and other tasks of the service are waiting.
    pub fn tick<F>(&mut self, now: Instant, table: &Table, is_waiting: F, outputs: &mut Vec<Output>)
    where
        F: Fn(&ServiceName) -> bool,
    {
        for ((key, task), running) in &mut self.running {
            if running.is_long {
                continue;
            }
            let Some(limit) = table.classes().long_run_threshold(&running.service) else {
                continue;
            };
            let Some(target) = table.get_or_retired(&running.target) else {
                continue;
            };
            let limit = limit.div_f64(target.speed(None).clamp(0.01, 100.0));
            if now.since(running.started) < limit {
                continue;
            }
            running.is_long = true;
            let is_over = target.long_tasks() >= target.long_task_limit();
            target.add_long_task();
            if is_over && is_waiting(&running.service) {
                outputs.push(Output::Throttle {
                    key: key.clone(),
                    task: *task,
                    target: running.target.clone(),
                });
            }
        }
    }
}
