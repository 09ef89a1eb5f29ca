use std::collections::BTreeSet;

use kqr_settings::bootstrap::{Bootstrap, Instance, Role};
use kqr_types::{DataCentre, InstanceId, JobKey, rendezvous_weight};

/// The rule that names the home of each key.
#[derive(Debug)]
pub struct Homes {
    own: InstanceId,
    entries: Vec<Instance>,
    data_centres: BTreeSet<DataCentre>,
}

impl Homes {
    /// Creates the rule over the entries of the region of `own`.
    pub fn new(bootstrap: &Bootstrap, own: &Instance) -> Self {
        let region_of = |name: &DataCentre| {
            bootstrap
                .data_centres
                .iter()
                .find(|site| site.name == *name)
                .map(|site| site.region.clone())
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

    /// Returns the home of `key`, or `None` if it is this instance.
    pub fn remote_home(&self, key: &JobKey) -> Option<&Instance> {
        let site = self.data_centre(key)?;
        let members = self.entries.iter().filter(|entry| entry.data_centre == *site);
        let home = members.max_by_key(|entry| rendezvous_weight(key.as_str(), entry.id.as_str(), 1))?;
        (home.id != self.own).then_some(home)
    }

    /// Returns the other entries of the data centre of this instance.
    pub fn siblings(&self) -> Vec<&Instance> {
        let own = self.entries.iter().find(|entry| entry.id == self.own);
        let is_sibling = |entry: &&Instance| {
            entry.id != self.own && own.is_some_and(|own| own.data_centre == entry.data_centre)
        };
        self.entries.iter().filter(is_sibling).collect()
    }

    /// Returns all other entries of the region.
    pub fn others(&self) -> Vec<Instance> {
        self.entries
            .iter()
            .filter(|entry| entry.id != self.own)
            .cloned()
            .collect()
    }

    /// Returns the home data centre: the one that a prefix names, or the one chosen by hash.
    fn data_centre(&self, key: &JobKey) -> Option<&DataCentre> {
        if let Some((prefix, _)) = key.as_str().split_once('/')
            && let Some(site) = self.data_centres.iter().find(|site| site.as_str() == prefix)
        {
            return Some(site);
        }
        self.data_centres
            .iter()
            .max_by_key(|site| rendezvous_weight(key.as_str(), site.as_str(), 1))
    }
}
