use kqr_types::Instant;

use super::task::{Task, TaskState};

/// The tasks of a step of a job.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Step {
    pub(super) tasks: Vec<Task>,
    /// Number of tasks that have not completed.
    open_tasks: usize,
    /// Whether all steps on which this one depends are complete.
    pub(super) is_due: bool,
}

impl Step {
    /// Creates a step of `count` tasks that may be placed from `place_from` on, once the step is due.
    pub(super) fn new(count: usize, place_from: Instant) -> Self {
        Self {
            tasks: vec![Task::new(place_from); count],
            open_tasks: count,
            is_due: false,
        }
    }

    pub(super) const fn is_complete(&self) -> bool {
        self.open_tasks == 0
    }

    /// Returns the indices of the tasks that may be ordered at `now`.
    pub(super) fn ready_tasks(&self, now: Instant) -> impl Iterator<Item = usize> {
        let due = if self.is_due { self.tasks.as_slice() } else { &[] };
        let tasks = due.iter().enumerate();
        tasks.filter_map(move |(index, task)| task.is_ready(now).then_some(index))
    }

    /// Records that a task has completed. Returns whether that completes the step.
    pub(super) fn complete_task(&mut self, index: usize) -> bool {
        let Some(task) = self.tasks.get_mut(index) else {
            return false;
        };
        if task.state == TaskState::Done {
            return false;
        }
        task.state = TaskState::Done;
        self.open_tasks -= 1;
        self.is_complete()
    }
}
