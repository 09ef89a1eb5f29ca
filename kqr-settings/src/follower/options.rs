use std::time::Duration;

/// Times of the [`Follower`](super::Follower).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerOptions {
    /// Time without any message after which a stream counts as silent.
    pub message_timeout: Duration,
    /// Time for which a peer may be out of touch with a quorum before another one is tried.
    pub quorum_contact_timeout: Duration,
    /// Wait before the next peer is tried after a stream ended.
    pub retry_delay: Duration,
}

impl Default for FollowerOptions {
    fn default() -> Self {
        Self {
            message_timeout: Duration::from_secs(5),
            quorum_contact_timeout: Duration::from_secs(5),
            retry_delay: Duration::from_millis(250),
        }
    }
}
