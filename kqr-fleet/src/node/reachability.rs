use std::{collections::BTreeMap, time::Duration};

use kqr_types::{DataCentre, Instant};

use super::observed_fleet::ObservedFleet;
use crate::FleetState;

/// Whether the entries of a data centre are heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    /// At least one of them, since the instant.
    Reachable(Instant),
    /// None of them, since the instant.
    Unreachable(Instant),
}

/// Since when the data centres with targets are heard or silent.
#[derive(Clone, Debug, Default)]
pub(super) struct Reachability {
    statuses: BTreeMap<DataCentre, Status>,
}

impl Reachability {
    /// Looks at the entries that are alive now.
    pub(super) fn update(&mut self, now: Instant, observed: &ObservedFleet, state: &FleetState) {
        let mut statuses = BTreeMap::new();
        for target in state.targets().values() {
            let data_centre = &target.record.data_centre;
            let is_reachable = observed.eligible_owners(data_centre).next().is_some();
            let previous = self.statuses.get(data_centre).copied();
            let status = match (previous, is_reachable) {
                (Some(Status::Reachable(since)), true) => Status::Reachable(since),
                (Some(Status::Unreachable(since)), false) => Status::Unreachable(since),
                (Some(Status::Unreachable(_)), true) => Status::Reachable(now),
                (_, false) => Status::Unreachable(now),
                // A leader begins after all entries have had the time to ask it.
                (None, true) => Status::Reachable(Instant(0)),
            };
            statuses.insert(data_centre.clone(), status);
        }
        self.statuses = statuses;
    }

    /// Returns since when no entry of `data_centre` is heard.
    pub(super) fn unreachable_since(&self, data_centre: &DataCentre) -> Option<Instant> {
        match self.statuses.get(data_centre) {
            Some(Status::Unreachable(since)) => Some(*since),
            _ => None,
        }
    }

    /// Returns whether entries of `data_centre` are heard again for less than `grace`: others may be about to return.
    pub(super) fn is_recovering(&self, now: Instant, data_centre: &DataCentre, grace: Duration) -> bool {
        match self.statuses.get(data_centre) {
            Some(Status::Reachable(since)) => *since > Instant(0) && now.since(*since) < grace,
            _ => false,
        }
    }
}
