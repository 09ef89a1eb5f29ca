use std::collections::BTreeMap;

use kqr_agreement::{DurableState, Record};
use serde::{Deserialize, Serialize};

use crate::{Founding, GroupId};

/// A change of a voter's durable state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CellRecord {
    /// The voter entered a group, with the log that it had when it last left the group, or an empty one.
    Entered(Founding),
    /// A change of the durable state of the group's log.
    Agreement(Record),
}

/// Durable state of a voter, rebuilt by applying its persisted records in order. A voter without a disk
/// starts each incarnation with the default state and a new storage incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CellDurableState {
    /// Group that the voter entered last.
    pub founding: Option<Founding>,
    /// Durable state of the log of that group.
    pub agreement: DurableState,
    /// Durable states of the logs of groups that the voter has left. They preserve its votes in case it
    /// enters one of the groups again.
    pub left: BTreeMap<GroupId, DurableState>,
}

impl CellDurableState {
    /// Applies `record`.
    pub fn apply(&mut self, record: CellRecord) {
        match record {
            CellRecord::Entered(founding) => {
                let agreement = std::mem::take(&mut self.agreement);
                if let Some(left) = self.founding.take() {
                    self.left.insert(left.id, agreement);
                }
                self.agreement = self.left.remove(&founding.id).unwrap_or_default();
                self.founding = Some(founding);
            }
            CellRecord::Agreement(record) => self.agreement.apply(record),
        }
    }
}
