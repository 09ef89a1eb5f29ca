use std::{collections::BTreeMap, time::Duration};

use kqr_types::{DataCentre, Instant};

use super::directory::Directory;
use crate::FleetState;

/// Whether the entries of a data centre are heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// At least one of them, since the instant.
    Heard(Instant),
    /// None of them, since the instant.
    Silent(Instant),
}

/// Since when the data centres with targets are heard or silent.
#[derive(Clone, Debug, Default)]
pub(super) struct Presence {
    states: BTreeMap<DataCentre, State>,
}

impl Presence {
    /// Looks at the entries that are alive now.
    pub(super) fn update(&mut self, now: Instant, directory: &Directory, state: &FleetState) {
        let mut states = BTreeMap::new();
        for target in state.targets().values() {
            let data_centre = &target.record.data_centre;
            let is_heard = directory.takers(data_centre).next().is_some();
            let known = self.states.get(data_centre).copied();
            let next = match (known, is_heard) {
                (Some(State::Heard(since)), true) => State::Heard(since),
                (Some(State::Silent(since)), false) => State::Silent(since),
                (Some(State::Silent(_)), true) => State::Heard(now),
                (_, false) => State::Silent(now),
                // A leader begins after all entries have had the time to ask it.
                (None, true) => State::Heard(Instant(0)),
            };
            states.insert(data_centre.clone(), next);
        }
        self.states = states;
    }

    /// Returns since when no entry of `data_centre` is heard.
    pub(super) fn silent_since(&self, data_centre: &DataCentre) -> Option<Instant> {
        match self.states.get(data_centre) {
            Some(State::Silent(since)) => Some(*since),
            _ => None,
        }
    }

    /// Returns whether entries of `data_centre` are heard again for less than `grace`: others may be about to return.
    pub(super) fn is_returning(&self, now: Instant, data_centre: &DataCentre, grace: Duration) -> bool {
        match self.states.get(data_centre) {
            Some(State::Heard(since)) => *since > Instant(0) && now.since(*since) < grace,
            _ => false,
        }
    }
}
