use kqr_types::Instant;

/// The next poll of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextPoll {
    /// It follows the answer to the one that is open.
    AfterAnswer,
    /// It is due at the instant.
    At(Instant),
}
