use std::collections::BTreeMap;

use kqr_types::ServiceName;

use super::free_index::{FreeIndex, FreeKey};
use crate::TargetLoad;

/// Maximum number of racks with an index of their own. Callers choose the names, so there must be a bound.
const MAX_RACKS: usize = 1024;

/// Targets that accept runs, by service, and by the racks that tasks have named.
#[derive(Clone, Debug, Default)]
pub(super) struct FreeTargets {
    by_service: BTreeMap<ServiceName, FreeIndex>,
    by_rack: BTreeMap<String, BTreeMap<ServiceName, FreeIndex>>,
}

impl FreeTargets {
    /// Returns the targets of a service.
    pub(super) fn of(&self, service: &ServiceName) -> Option<&FreeIndex> {
        self.by_service.get(service)
    }

    /// Returns the targets of a service on a rack, if there are any and the rack is indexed.
    pub(super) fn on_rack(&self, rack: &str, service: &ServiceName) -> Option<&FreeIndex> {
        self.by_rack.get(rack)?.get(service)
    }

    /// Adds the index of a rack. Returns whether the targets are to be inserted there, which is so only the first time.
    pub(super) fn add_rack(&mut self, rack: &str) -> bool {
        if self.by_rack.contains_key(rack) || self.by_rack.len() >= MAX_RACKS {
            return false;
        }
        self.by_rack.insert(rack.to_owned(), BTreeMap::new());
        true
    }

    pub(super) fn insert(&mut self, target: &TargetLoad, key: FreeKey) {
        let cpu_milli = target.capacity.cpu_milli;
        let index = self.by_service.entry(target.service.clone()).or_default();
        index.insert(key, cpu_milli);
        for label in &target.labels {
            if let Some(rack) = self.by_rack.get_mut(label) {
                let index = rack.entry(target.service.clone()).or_default();
                index.insert(key, cpu_milli);
            }
        }
    }

    pub(super) fn remove(&mut self, target: &TargetLoad, key: &FreeKey) {
        let cpu_milli = target.capacity.cpu_milli;
        if let Some(index) = self.by_service.get_mut(&target.service) {
            index.remove(key, cpu_milli);
        }
        for label in &target.labels {
            let rack = self.by_rack.get_mut(label);
            if let Some(index) = rack.and_then(|rack| rack.get_mut(&target.service)) {
                index.remove(key, cpu_milli);
            }
        }
    }

    /// Inserts a target into the index of one rack.
    pub(super) fn insert_on_rack(&mut self, rack: &str, target: &TargetLoad, key: FreeKey) {
        if let Some(rack) = self.by_rack.get_mut(rack) {
            let index = rack.entry(target.service.clone()).or_default();
            index.insert(key, target.capacity.cpu_milli);
        }
    }
}
