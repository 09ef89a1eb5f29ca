use std::{collections::BTreeMap, time::Duration};

use kqr_types::{DataCentre, Instant};

use super::observed_fleet::ObservedFleet;
use crate::FleetState;

/// Reachability of the entries of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    /// At least one entry that may own targets has been live since the instant.
    Reachable(Instant),
    /// No entry that may own targets has been live since the instant.
    Unreachable(Instant),
}

/// Reachability of the data centres that have targets.
#[derive(Clone, Debug, Default)]
pub(super) struct Reachability {
    statuses: BTreeMap<DataCentre, Status>,
}

impl Reachability {
    /// Updates the reachability of the data centres that have targets from the live entries in `observed`.
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
                // The first update of a leader follows the time that all entries have to find it.
                (None, true) => Status::Reachable(Instant(0)),
            };
            statuses.insert(data_centre.clone(), status);
        }
        self.statuses = statuses;
    }

    /// Returns since when no entry of `data_centre` has been live, or `None` if one is.
    pub(super) fn unreachable_since(&self, data_centre: &DataCentre) -> Option<Instant> {
        match self.statuses.get(data_centre) {
            Some(Status::Unreachable(since)) => Some(*since),
            _ => None,
        }
    }

    /// Returns whether `data_centre` became reachable again less than `grace` ago, so that more entries may
    /// follow.
    pub(super) fn is_recovering(&self, now: Instant, data_centre: &DataCentre, grace: Duration) -> bool {
        match self.statuses.get(data_centre) {
            Some(Status::Reachable(since)) => *since > Instant(0) && now.since(*since) < grace,
            _ => false,
        }
    }
}
