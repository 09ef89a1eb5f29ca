use std::time::Duration;

use kqr_settings::LogOptions;

/// Times and limits of the [`Node`](super::Node).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeOptions {
    /// Limits of the settings log; equal on all control instances.
    pub log: LogOptions,
    /// Time between two heartbeats of a settings stream.
    pub stream_heartbeat: Duration,
    /// Time since the last message of the leader after which this instance counts as out of touch.
    pub in_touch_within: Duration,
    /// Applied commands after which the log is compacted.
    pub compact_after: u64,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            log: LogOptions::default(),
            stream_heartbeat: Duration::from_millis(2500),
            in_touch_within: Duration::from_secs(2),
            compact_after: 2000,
        }
    }
}
