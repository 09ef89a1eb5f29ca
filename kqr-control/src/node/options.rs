use std::time::Duration;

use kqr_settings::LogOptions;

/// Timing and limits of the [`Node`](super::Node).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeOptions {
    /// Limits of the settings log, which must be the same on all control instances.
    pub log: LogOptions,
    /// Interval between heartbeats of a settings stream.
    pub stream_heartbeat_interval: Duration,
    /// Time without a message of the leader after which a follower reports no recent contact on its streams.
    pub leader_contact_timeout: Duration,
    /// Number of applied commands after which the log is compacted.
    pub compact_after_commands: u64,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            log: LogOptions::default(),
            stream_heartbeat_interval: Duration::from_millis(2500),
            leader_contact_timeout: Duration::from_secs(2),
            compact_after_commands: 2000,
        }
    }
}
