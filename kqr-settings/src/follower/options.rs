use std::time::Duration;

/// Times of the [`Follower`](super::Follower).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerOptions {
    /// Time without any message after which a stream counts as silent.
    pub silent_after: Duration,
    /// Time for which a peer may be out of touch with a quorum before another one is tried.
    pub out_of_touch_after: Duration,
    /// Wait before the next peer is tried after a stream ended.
    pub retry_after: Duration,
}

impl Default for FollowerOptions {
    fn default() -> Self {
        Self {
            silent_after: Duration::from_secs(5),
            out_of_touch_after: Duration::from_secs(5),
            retry_after: Duration::from_millis(250),
        }
    }
}
