use std::collections::BTreeMap;

use kqr_dispatch::{Dispatcher, Options, Sessions};
use kqr_fleet::EntryInfo;
use kqr_types::{DataCentre, Incarnation};

use super::{Event, id, links::Link};

/// A simulated entry.
pub(super) struct Entry {
    pub(super) info: EntryInfo,
    pub(super) dispatcher: Dispatcher,
    pub(super) sessions: Sessions,
    /// Outgoing links, by receiver.
    pub(super) links: BTreeMap<usize, Link>,
    pub(super) is_up: bool,
    pub(super) is_suspended: bool,
    /// Events that arrived while the entry was suspended.
    pub(super) deferred: Vec<Event>,
}

impl Entry {
    pub(super) fn new(number: usize, incarnation: u64, options: &Options) -> Self {
        Self::new_in("uppsala".parse().unwrap(), number, incarnation, options)
    }

    pub(super) fn new_in(
        data_centre: DataCentre,
        number: usize,
        incarnation: u64,
        options: &Options,
    ) -> Self {
        let info = EntryInfo {
            id: id(number),
            incarnation: Incarnation(incarnation),
            data_centre,
            siblings: format!("127.0.0.1:{}", 7000 + number).parse().unwrap(),
            reports: format!("127.0.0.1:{}", 7100 + number).parse().unwrap(),
            weight: 250,
            is_leaving: false,
        };
        Self {
            dispatcher: Dispatcher::new(info.clone(), options.clone()),
            info,
            sessions: Sessions::default(),
            links: BTreeMap::new(),
            is_up: true,
            is_suspended: false,
            deferred: Vec::new(),
        }
    }
}
