use std::collections::BTreeSet;

use kqr_settings::bootstrap::{Bootstrap, Instance, Role};
use kqr_types::{DataCentre, InstanceId, JobKey, rendezvous_weight};

/// Entries and data centres of the region, and the assignment of keys to home data centres.
#[derive(Debug)]
pub struct RegionTopology {
    own: InstanceId,
    entries: Vec<Instance>,
    data_centres: BTreeSet<DataCentre>,
}

impl RegionTopology {
    /// Creates the topology of the region that `own` is in.
    pub fn new(bootstrap: &Bootstrap, own: &Instance) -> Self {
        let region_of = |name: &DataCentre| {
            let data_centre = bootstrap
                .data_centres
                .iter()
                .find(|data_centre| data_centre.name == *name);
            data_centre.map(|data_centre| data_centre.region.clone())
        };
        let region = region_of(&own.data_centre);
        let mut entries = Vec::new();
        let mut data_centres = BTreeSet::new();
        for instance in &bootstrap.instances {
            if instance.role != Role::Entry || region_of(&instance.data_centre) != region {
                continue;
            }
            data_centres.insert(instance.data_centre.clone());
            entries.push(instance.clone());
        }
        Self {
            own: own.id.clone(),
            entries,
            data_centres,
        }
    }

    /// Returns the home data centre of `key`: the one that its prefix names, or the one chosen by rendezvous
    /// hashing.
    pub fn home_data_centre(&self, key: &JobKey) -> Option<&DataCentre> {
        let by_hash = || {
            self.data_centres
                .iter()
                .max_by_key(|data_centre| rendezvous_weight(key.as_str(), data_centre.as_str(), 1))
        };
        self.prefix_data_centre(key).or_else(by_hash)
    }

    /// Returns the data centre that the prefix of `key` names, if there is one.
    pub fn prefix_data_centre(&self, key: &JobKey) -> Option<&DataCentre> {
        let (prefix, _) = key.as_str().split_once('/')?;
        self.data_centres
            .iter()
            .find(|data_centre| data_centre.as_str() == prefix)
    }

    /// Returns the entries of a data centre, ordered by their rendezvous weight for `key`, so that keys are
    /// spread over them.
    pub fn ranked_entries(&self, data_centre: &DataCentre, key: &JobKey) -> Vec<Instance> {
        let mut entries: Vec<Instance> = self.entries_in(data_centre).cloned().collect();
        entries.sort_by_key(|entry| rendezvous_weight(key.as_str(), entry.id.as_str(), 1));
        entries
    }

    /// Returns the entry with `id`.
    pub fn entry(&self, id: &InstanceId) -> Option<&Instance> {
        self.entries.iter().find(|entry| entry.id == *id)
    }

    /// Returns the other entries of this instance's data centre.
    pub fn siblings(&self) -> BTreeSet<InstanceId> {
        let Some(own) = self.entry(&self.own) else {
            return BTreeSet::new();
        };
        let siblings = self
            .entries_in(&own.data_centre)
            .filter(|entry| entry.id != self.own);
        siblings.map(|entry| entry.id.clone()).collect()
    }

    /// Returns all other entries of the region.
    pub fn other_entries(&self) -> Vec<Instance> {
        self.entries
            .iter()
            .filter(|entry| entry.id != self.own)
            .cloned()
            .collect()
    }

    /// Returns the data centres of the region.
    pub fn data_centres(&self) -> &BTreeSet<DataCentre> {
        &self.data_centres
    }

    /// Returns the voters of a data centre's cell: its entries, and a witness in another data centre if the
    /// number of entries is even.
    pub fn cell_voters(&self, data_centre: &DataCentre) -> BTreeSet<InstanceId> {
        let mut voters: BTreeSet<InstanceId> = self
            .entries_in(data_centre)
            .map(|entry| entry.id.clone())
            .collect();
        if voters.len().is_multiple_of(2) {
            voters.extend(self.witness(data_centre));
        }
        voters
    }

    /// Returns the first entry of the next data centre, in the order of names.
    fn witness(&self, data_centre: &DataCentre) -> Option<InstanceId> {
        let following = self.data_centres.range::<DataCentre, _>(data_centre..).nth(1);
        let next = following
            .or(self.data_centres.first())
            .filter(|next| *next != data_centre)?;
        self.entries_in(next).map(|entry| entry.id.clone()).min()
    }

    fn entries_in<'a>(&'a self, data_centre: &'a DataCentre) -> impl Iterator<Item = &'a Instance> {
        self.entries
            .iter()
            .filter(move |entry| entry.data_centre == *data_centre)
    }
}
