use std::collections::BTreeMap;

use kqr_agreement::{DurableState, Record};
use serde::{Deserialize, Serialize};

use crate::{Founding, GroupId};

/// A change of the durable state of a cell's voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CellRecord {
    /// The voter entered a group, with an empty log or the one that it left it with.
    Entered(Founding),
    /// A record of the group's log.
    Agreement(Record),
}

/// What a voter's persisted records add up to. A voter without a disk starts each life with the default and another
/// storage incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CellDurable {
    /// The group that it entered last.
    pub founding: Option<Founding>,
    /// The group's log.
    pub agreement: DurableState,
    /// Logs of the groups that it has left: it must not forget its votes if it enters one again.
    pub left: BTreeMap<GroupId, DurableState>,
}

impl CellDurable {
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
