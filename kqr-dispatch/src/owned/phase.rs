/// Phase of the ownership of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Runs of an earlier owner may still be active; no run is started.
    Attaching,
    /// The owner knows all runs on the target.
    Attached,
    /// Another incarnation of the target runs than the one that was granted. Its service, labels and capacity are not known
    /// before the next grant, and no run is started.
    Restarted,
    /// The target refuses the owner's fencing token, because it has seen a higher one.
    Fenced,
}
