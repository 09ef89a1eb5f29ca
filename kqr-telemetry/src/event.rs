use kqr_types::{AttemptId, InstanceId, JobKey, TargetId};
use serde::{Deserialize, Serialize};

/// Kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A process started.
    ProcessStarted,
    /// A process stopped.
    ProcessStopped,
    /// A submission arrived.
    Submitted,
    /// A submission was forwarded to the home of its key.
    Forwarded,
    /// A task was started at a target.
    TaskStarted,
    /// A task ended.
    TaskEnded,
    /// A job was answered.
    Answered,
    /// A request or submission was refused.
    Refused,
    /// A request was relayed to a target.
    Relayed,
    /// A target was announced.
    TargetAnnounced,
    /// A target left.
    TargetLeft,
    /// A new version of the settings is in force.
    SettingsApplied,
    /// A new epoch of the cell is in force.
    EpochInstalled,
}

/// One entry of the time line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// Wall-clock time in microseconds since the Unix epoch.
    pub unix_us: u64,
    /// Number of the event in its process.
    pub sequence: u64,
    /// Process that recorded the event.
    pub instance: InstanceId,
    /// Kind of the event.
    pub kind: EventKind,
    /// Job that it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<JobKey>,
    /// Attempt that it belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptId>,
    /// Target that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<TargetId>,
    /// Other process that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<InstanceId>,
    /// Explanation for a person.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}
