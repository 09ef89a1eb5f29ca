use std::time::Duration;

use kqr_settings::LogOptions;

/// Times and limits of the [`Node`](super::Node).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeOptions {
    /// Limits of the settings log; equal on all control instances.
    pub log: LogOptions,
    /// Time between two heartbeats of a settings stream.
    pub stream_heartbeat_interval: Duration,
    /// Time since the last message of the leader after which this instance counts as out of touch.
    pub leader_contact_timeout: Duration,
    /// Applied commands after which the log is compacted.
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
