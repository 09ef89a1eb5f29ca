use std::collections::BTreeSet;

use kqr_settings::bootstrap::{Bootstrap, Instance, Role};
use kqr_types::{DataCentre, InstanceId, JobKey, rendezvous_weight};

/// The rule that names the home data centre of each key, and the entries of the region.
#[derive(Debug)]
pub struct RegionTopology {
    own: InstanceId,
    entries: Vec<Instance>,
    data_centres: BTreeSet<DataCentre>,
}

impl RegionTopology {
    /// Creates the rule over the entries of the region of `own`.
    pub fn new(bootstrap: &Bootstrap, own: &Instance) -> Self {
        let region_of = |name: &DataCentre| {
            let site = bootstrap.data_centres.iter().find(|site| site.name == *name);
            site.map(|site| site.region.clone())
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

    /// Returns the home data centre of `key`: the one that a prefix names, or the one chosen by hash.
    pub fn home_data_centre(&self, key: &JobKey) -> Option<&DataCentre> {
        let by_hash = || {
            self.data_centres
                .iter()
                .max_by_key(|site| rendezvous_weight(key.as_str(), site.as_str(), 1))
        };
        self.prefix_data_centre(key).or_else(by_hash)
    }

    /// Returns the data centre that a prefix of `key` names.
    pub fn prefix_data_centre(&self, key: &JobKey) -> Option<&DataCentre> {
        let (prefix, _) = key.as_str().split_once('/')?;
        self.data_centres.iter().find(|site| site.as_str() == prefix)
    }

    /// Returns the entries of a data centre, in an order that differs from key to key.
    pub fn ranked_entries(&self, data_centre: &DataCentre, key: &JobKey) -> Vec<Instance> {
        let mut entries: Vec<Instance> = self.members(data_centre).cloned().collect();
        entries.sort_by_key(|entry| rendezvous_weight(key.as_str(), entry.id.as_str(), 1));
        entries
    }

    /// Returns the entry with `id`.
    pub fn entry(&self, id: &InstanceId) -> Option<&Instance> {
        self.entries.iter().find(|entry| entry.id == *id)
    }

    /// Returns the other entries of the data centre of this instance.
    pub fn siblings(&self) -> BTreeSet<InstanceId> {
        let Some(own) = self.entry(&self.own) else {
            return BTreeSet::new();
        };
        let siblings = self
            .members(&own.data_centre)
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

    /// Returns the voters of a data centre's cell: its entries, and a witness elsewhere if their number is even.
    pub fn cell_voters(&self, data_centre: &DataCentre) -> BTreeSet<InstanceId> {
        let mut voters: BTreeSet<InstanceId> =
            self.members(data_centre).map(|entry| entry.id.clone()).collect();
        if voters.len().is_multiple_of(2) {
            voters.extend(self.witness(data_centre));
        }
        voters
    }

    /// Returns the first entry of the next data centre in the order of names.
    fn witness(&self, data_centre: &DataCentre) -> Option<InstanceId> {
        let later = self.data_centres.range::<DataCentre, _>(data_centre..).nth(1);
        let next = later
            .or(self.data_centres.first())
            .filter(|next| *next != data_centre)?;
        self.members(next).map(|entry| entry.id.clone()).min()
    }

    fn members<'a>(&'a self, data_centre: &'a DataCentre) -> impl Iterator<Item = &'a Instance> {
        self.entries
            .iter()
            .filter(move |entry| entry.data_centre == *data_centre)
    }
}
