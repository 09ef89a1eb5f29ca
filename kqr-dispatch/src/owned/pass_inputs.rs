use kqr_fleet::Resources;

/// What decides whether a waiting order can start. While it stays the same, a pass over the queue starts nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct PassInputs {
    /// Number of orders that were ever queued.
    pub(super) arrivals: u64,
    /// Number of times that targets were added, removed or resized.
    pub(super) list_number: u64,
    /// Positions, free resources and numbers of runs of the targets that accept runs.
    pub(super) open: Vec<(usize, Resources, usize)>,
}

/// What decides whether any target could run an order. While it stays the same, no order that was accepted has to be refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct CheckedTargets {
    /// Number of times that targets were added, removed or resized.
    pub(super) list_number: u64,
    /// Whether each target may be used.
    pub(super) are_usable: Vec<bool>,
}
