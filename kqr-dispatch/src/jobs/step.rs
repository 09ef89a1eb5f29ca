use kqr_types::Instant;

use super::task::Task;

/// The tasks of a step of a job.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Step {
    pub(super) tasks: Vec<Task>,
    /// Number of tasks that have not completed.
    pub(super) open_tasks: usize,
    /// Number of dependencies whose steps are not complete.
    pub(super) open_dependencies: usize,
    /// Steps that depend on this one, once for each dependency.
    pub(super) dependents: Vec<u32>,
}

impl Step {
    /// Creates a step of `count` tasks that may be placed from `place_from` on, once the step is due.
    pub(super) fn new(count: usize, place_from: Instant) -> Self {
        Self {
            tasks: vec![Task::new(place_from); count],
            open_tasks: count,
            open_dependencies: 0,
            dependents: Vec::new(),
        }
    }

    pub(super) const fn is_complete(&self) -> bool {
        self.open_tasks == 0
    }

    /// Returns whether all steps on which this one depends are complete.
    pub(super) const fn is_due(&self) -> bool {
        self.open_dependencies == 0
    }
}
