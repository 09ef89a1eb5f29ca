use kqr_types::InstanceId;

use crate::RunOrder;

/// What the searches for the first orders of a step have found, so that the others need none. Capacity only shrinks while the
/// orders of a job are placed.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepSearch {
    step: Option<u32>,
    /// Whether no target has room for an order of the step.
    pub(super) is_full: bool,
    /// Owners with a target that may run the step, free or not.
    pub(super) able_owners: Option<Vec<InstanceId>>,
}

impl StepSearch {
    /// Begins the search for an order. Nothing is known of an order that differs from the others of its step in the targets that
    /// it may use.
    pub(super) fn begin(&mut self, order: &RunOrder) {
        let is_usual = order.avoided_targets.is_empty() && !order.is_suspect();
        let step = is_usual.then_some(order.run.task.step);
        if step.is_none() || step != self.step {
            *self = Self {
                step,
                ..Self::default()
            };
        }
    }
}
