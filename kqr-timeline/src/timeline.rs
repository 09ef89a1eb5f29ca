use std::collections::BTreeSet;

use kqr_telemetry::Event;
use kqr_types::InstanceId;

use crate::{Filter, Gap, Source, Torn, gaps::gaps};

/// The merged events of all processes.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Events in causal order.
    pub events: Vec<Event>,
    /// Lines that are not events.
    pub torn: Vec<Torn>,
    /// Events that are in no file.
    pub gaps: Vec<Gap>,
}

impl Timeline {
    /// Merges the files of all processes.
    ///
    /// The hybrid time puts a message's receipt after its sending; events with equal times keep the order of their
    /// process. An event that is in two files is kept once.
    pub fn merge(sources: Vec<Source>) -> Self {
        let mut timeline = Self::default();
        for source in sources {
            timeline.events.extend(source.events);
            timeline.torn.extend(source.torn);
        }
        timeline.events.sort_by(|left, right| {
            let place = |event: &Event| (event.placed_us(), event.time);
            let by_time = place(left).cmp(&place(right));
            by_time
                .then_with(|| left.instance.cmp(&right.instance))
                .then_with(|| left.sequence.cmp(&right.sequence))
        });
        timeline.events.dedup();
        timeline.gaps = gaps(&timeline.events);
        timeline
    }

    /// Keeps the events that match.
    pub fn retain(&mut self, filter: &Filter) {
        self.events.retain(|event| filter.matches(event));
    }

    /// Returns the processes in the order of their ids.
    pub fn instances(&self) -> BTreeSet<&InstanceId> {
        self.events.iter().map(|event| &event.instance).collect()
    }

    /// Returns what is missing or malformed, one line each.
    pub fn warnings(&self) -> Vec<String> {
        let mut warnings = Vec::new();
        for torn in &self.torn {
            let cause = if torn.is_last {
                "torn last line, the process ended while writing"
            } else {
                "not an event"
            };
            warnings.push(format!("{}:{}: {cause}: {}", torn.file, torn.line, torn.text));
        }
        warnings.extend(self.gaps.iter().map(ToString::to_string));
        warnings
    }
}
