use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use kqr_types::{DataCentre, Incarnation, InstanceId, TargetId};
use serde::{Deserialize, Serialize};

use crate::{Catalog, CatalogVersion, Command, Evacuation, FencingToken, Handover, TargetRecord};

/// One incarnation of an entry that owns targets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// Entry.
    pub entry: InstanceId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// A target with its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedTarget {
    /// The target.
    pub record: TargetRecord,
    /// Its owner.
    pub owner: Owner,
    /// Fencing token of the ownership.
    pub token: FencingToken,
}

/// State that results from applying the commands of the replicated log in order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    catalog: Option<Arc<Catalog>>,
    targets: BTreeMap<TargetId, OwnedTarget>,
    /// Targets that are about to leave, with or without an owner. A later incarnation does not leave.
    #[serde(default)]
    leaving: BTreeMap<TargetId, Incarnation>,
    /// Data centres in which nothing is started, with or without known targets.
    #[serde(default)]
    evacuated: BTreeSet<DataCentre>,
    last_token: FencingToken,
}

impl FleetState {
    /// Returns the catalog in force.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the version of the catalog in force, if there is a catalog.
    pub fn catalog_version(&self) -> Option<CatalogVersion> {
        self.catalog.as_ref().map(|catalog| catalog.version)
    }

    /// Returns the targets with their owners.
    pub const fn targets(&self) -> &BTreeMap<TargetId, OwnedTarget> {
        &self.targets
    }

    /// Returns the incarnations of targets that are about to leave.
    pub const fn leaving(&self) -> &BTreeMap<TargetId, Incarnation> {
        &self.leaving
    }

    /// Returns whether the incarnation of a target is about to leave.
    pub fn is_leaving(&self, record: &TargetRecord) -> bool {
        self.leaving
            .get(&record.id)
            .is_some_and(|life| *life >= record.life)
    }

    /// Returns the data centres in which nothing is started.
    pub const fn evacuated(&self) -> &BTreeSet<DataCentre> {
        &self.evacuated
    }

    /// Applies `command`.
    pub fn apply(&mut self, command: Command) {
        match command {
            Command::Replace(catalog) => self.replace_catalog(*catalog),
            Command::HandOver(handovers) => {
                for handover in handovers {
                    self.hand_over(handover);
                }
            }
            Command::Forget(targets) => {
                for target in targets {
                    self.targets.remove(&target);
                    self.leaving.remove(&target);
                }
            }
            Command::Update(records) => {
                for record in records {
                    self.update_record(record);
                }
            }
            Command::Leave(target, life) => {
                let known = self.leaving.entry(target).or_default();
                *known = life.max(*known);
            }
            Command::Evacuate(evacuation) => self.evacuate(evacuation),
        }
    }

    /// Encodes the state.
    ///
    /// # Errors
    ///
    /// Returns an error if the state can't be encoded.
    pub fn snapshot(&self) -> serde_json::Result<Vec<u8>> {
        serde_json::to_vec(self)
    }

    /// Decodes a state from `snapshot`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid snapshot.
    pub fn restore(snapshot: &[u8]) -> serde_json::Result<Self> {
        let mut state: Self = serde_json::from_slice(snapshot)?;
        // Earlier versions accepted records with any numbers.
        state.targets.retain(|_, owned| owned.record.check().is_ok());
        Ok(state)
    }

    fn replace_catalog(&mut self, catalog: Catalog) {
        let is_newer = self
            .catalog
            .as_ref()
            .is_none_or(|current| current.version < catalog.version);
        if is_newer {
            self.catalog = Some(Arc::new(catalog));
        }
    }

    fn evacuate(&mut self, evacuation: Evacuation) {
        match evacuation {
            Evacuation::Begin(data_centre) => {
                self.evacuated.insert(data_centre);
            }
            Evacuation::Finish(data_centre) => {
                self.evacuated.remove(&data_centre);
            }
        }
    }

    /// Replaces the record of a target, unless another incarnation owns the identity by now.
    fn update_record(&mut self, record: TargetRecord) {
        if let Some(owned) = self.targets.get_mut(&record.id)
            && owned.record.is_resized_to(&record)
            && record.check().is_ok()
        {
            owned.record = record;
        }
    }

    /// Records the owner of a target. A record out of range, which an earlier version may have logged, names no
    /// target; it uses up a token as it did there.
    fn hand_over(&mut self, handover: Handover) {
        self.last_token.0 += 1;
        if handover.record.check().is_err() {
            self.targets.remove(&handover.record.id);
            return;
        }
        if !self.is_leaving(&handover.record) {
            self.leaving.remove(&handover.record.id);
        }
        let owned = OwnedTarget {
            record: handover.record,
            owner: handover.owner,
            token: self.last_token,
        };
        self.targets.insert(owned.record.id.clone(), owned);
    }
}
