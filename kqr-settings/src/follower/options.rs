use std::time::Duration;

/// Timeouts and delays of the [`Follower`](super::Follower).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowerOptions {
    /// Time without any message after which a stream is closed.
    pub message_timeout: Duration,
    /// Time without contact between the peer and a quorum after which another peer is tried, if there is one.
    pub quorum_contact_timeout: Duration,
    /// Delay between the end of a stream and the attempt to open one from the next peer.
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
