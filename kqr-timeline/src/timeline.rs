use std::{collections::BTreeSet, io::BufRead};

use kqr_telemetry::Event;
use kqr_types::InstanceId;

use crate::{Filter, Findings, Merge, Summary, select};

/// The first events of all processes that match.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Events in causal order.
    pub events: Vec<Event>,
    /// What was read.
    pub summary: Summary,
    /// What is missing or malformed.
    pub findings: Findings,
}

impl Timeline {
    /// Reads all events and keeps the first `most` of those that match.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read.
    pub fn collect<Input>(merge: Merge<Input>, filter: &Filter, most: usize) -> eyre::Result<Self>
    where
        Input: BufRead,
    {
        let mut events = Vec::new();
        let (mut summary, findings) = select(merge, filter, |event| {
            if events.len() < most {
                events.push(event.clone());
            }
            Ok(())
        })?;
        summary.peak_held += events.len();
        Ok(Self {
            events,
            summary,
            findings,
        })
    }

    /// Returns the processes in the order of their ids.
    pub fn instances(&self) -> BTreeSet<&InstanceId> {
        self.events.iter().map(|event| &event.instance).collect()
    }
}
