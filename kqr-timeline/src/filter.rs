use clap::Args;
use kqr_telemetry::{Event, EventKind};
use kqr_types::{InstanceId, JobKey, KeyDigest, TargetId};

/// Which events are shown. An event must match each given condition; a condition given several times matches any.
#[derive(Clone, Debug, Default, Args)]
pub struct Filter {
    /// Job key; events of its attempts match too.
    #[arg(long)]
    pub key: Vec<JobKey>,
    /// Process that recorded the event, or that it concerns.
    #[arg(long)]
    pub instance: Vec<InstanceId>,
    /// Target.
    #[arg(long)]
    pub target: Vec<TargetId>,
    /// Kind of event, such as task-started.
    #[arg(long)]
    pub kind: Vec<EventKind>,
    /// Begin of the span, in microseconds since the Unix epoch.
    #[arg(long)]
    pub from_us: Option<u64>,
    /// End of the span, in microseconds since the Unix epoch.
    #[arg(long)]
    pub until_us: Option<u64>,
}

impl Filter {
    /// Returns whether an event is shown.
    pub fn matches(&self, event: &Event) -> bool {
        let at = event.timeline_us();
        let is_in_span =
            self.from_us.is_none_or(|from| at >= from) && self.until_us.is_none_or(|until| at <= until);
        is_in_span
            && (self.kind.is_empty() || self.kind.contains(&event.kind))
            && self.matches_key(event)
            && self.matches_instance(event)
            && matches_any(&self.target, event.target.as_ref())
    }

    fn matches_key(&self, event: &Event) -> bool {
        if matches_any(&self.key, event.key.as_ref()) {
            return true;
        }
        let Some(attempt) = event.attempt else {
            return false;
        };
        self.key.iter().any(|key| KeyDigest::of(key) == attempt.job)
    }

    fn matches_instance(&self, event: &Event) -> bool {
        matches_any(&self.instance, Some(&event.instance)) || matches_any(&self.instance, event.peer.as_ref())
    }
}

/// Returns whether `value` is one of `wanted`, or nothing is wanted.
fn matches_any<T>(wanted: &[T], value: Option<&T>) -> bool
where
    T: PartialEq,
{
    wanted.is_empty() || value.is_some_and(|value| wanted.contains(value))
}
