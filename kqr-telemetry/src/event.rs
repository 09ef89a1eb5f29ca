use std::{fmt, str::FromStr};

use kqr_types::{AttemptId, InstanceId, JobKey, ParseError, TargetId};
use serde::{Deserialize, Serialize};

use crate::HybridTime;

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
    /// A new version of the settings was applied.
    SettingsApplied,
    /// A new epoch of the cell was installed.
    EpochInstalled,
    /// Start intents were replicated to the followers of a key.
    IntentsReplicated,
    /// A job was cancelled.
    Cancelled,
    /// A follower took over the keys of a lost home.
    TakenOver,
    /// An unresponsive connection was replaced.
    LinkReplaced,
    /// Events were dropped because the writer fell behind or the file could not be written.
    EventsDropped,
}

impl EventKind {
    /// Returns the name of the kind, as used in the event files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ProcessStarted => "process-started",
            Self::ProcessStopped => "process-stopped",
            Self::Submitted => "submitted",
            Self::Forwarded => "forwarded",
            Self::TaskStarted => "task-started",
            Self::TaskEnded => "task-ended",
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Relayed => "relayed",
            Self::TargetAnnounced => "target-announced",
            Self::TargetLeft => "target-left",
            Self::SettingsApplied => "settings-applied",
            Self::EpochInstalled => "epoch-installed",
            Self::IntentsReplicated => "intents-replicated",
            Self::Cancelled => "cancelled",
            Self::TakenOver => "taken-over",
            Self::LinkReplaced => "link-replaced",
            Self::EventsDropped => "events-dropped",
        }
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for EventKind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parsed = serde_json::from_value(serde_json::Value::from(text));
        parsed.map_err(|_| ParseError::new("event kind", text, "a kind such as task-started"))
    }
}

/// One event of the timeline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Wall-clock time in microseconds since the Unix epoch.
    pub unix_us: u64,
    /// Hybrid time, which orders the event after all events observed by its process. Zero in files that lack it.
    #[serde(default)]
    pub time: HybridTime,
    /// Sequence number of the event within its process.
    pub sequence: u64,
    /// Process that recorded the event.
    pub instance: InstanceId,
    /// Kind of the event.
    pub kind: EventKind,
    /// Job that the event belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<JobKey>,
    /// Attempt that the event belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptId>,
    /// Target that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<TargetId>,
    /// Other process that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<InstanceId>,
    /// Human-readable details.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}

impl Event {
    /// Returns the position of the event on the timeline, in microseconds since the Unix epoch. It is never before the
    /// events observed by its process.
    pub const fn timeline_us(&self) -> u64 {
        match self.time.unix_us() {
            0 => self.unix_us,
            unix_us => unix_us,
        }
    }
}
