use std::{collections::BTreeMap, fmt};

use kqr_telemetry::{Event, EventKind};
use kqr_types::InstanceId;

/// Events of a process that are in no file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Process.
    pub instance: InstanceId,
    /// Number of the last event before the gap.
    pub after: u64,
    /// Number of missing events.
    pub missing: u64,
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} events are missing after number {}",
            self.instance, self.missing, self.after
        )
    }
}

/// Returns the gaps in the numbers of events. A process that started again counts anew.
pub fn gaps(events: &[Event]) -> Vec<Gap> {
    let mut gaps = Vec::new();
    let mut numbers: BTreeMap<&InstanceId, Vec<u64>> = BTreeMap::new();
    for event in events {
        let life = numbers.entry(&event.instance).or_default();
        if event.kind == EventKind::ProcessStarted {
            find(&event.instance, life, &mut gaps);
            life.clear();
        }
        life.push(event.sequence);
    }
    for (instance, mut life) in numbers {
        find(instance, &mut life, &mut gaps);
    }
    gaps
}

fn find(instance: &InstanceId, life: &mut [u64], gaps: &mut Vec<Gap>) {
    life.sort_unstable();
    for pair in life.windows(2) {
        let missing = pair[1].saturating_sub(pair[0] + 1);
        if missing > 0 {
            gaps.push(Gap {
                instance: instance.clone(),
                after: pair[0],
                missing,
            });
        }
    }
}
