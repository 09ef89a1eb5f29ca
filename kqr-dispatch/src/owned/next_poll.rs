use kqr_types::Instant;

/// When the next periodic poll of a target is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextPoll {
    /// After the answer to the poll in flight.
    AfterAnswer,
    /// At this instant.
    At(Instant),
}
