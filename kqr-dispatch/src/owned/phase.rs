/// What a target and its owner know of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No look has shown yet what runs at the target; nothing is started.
    Attaching,
    /// The owner knows what runs at the target.
    Attached,
    /// The target refuses the owner's token.
    Fenced,
}
