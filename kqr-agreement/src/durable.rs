use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Record, Snapshot, Term, VoterId};

/// The state that survives a restart: the result of applying all persisted records in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// Current term.
    pub term: Term,
    /// The candidate that this member voted for in the term.
    pub voted_for: Option<VoterId>,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// Applies `record`.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Vote { term, voted_for } => {
                self.term = term;
                self.voted_for = voted_for;
            }
            Record::Append(entries) => self.append(entries),
            Record::Snapshot(snapshot) => self.install(snapshot),
        }
    }

    /// Returns whether no state was ever persisted.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the index of the last entry that the snapshot contains.
    pub fn base(&self) -> Index {
        self.snapshot.as_ref().map_or(Index(0), |snapshot| snapshot.index)
    }

    fn append(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first() else {
            return;
        };
        let retained = first.index.0.saturating_sub(self.base().0 + 1) as usize;
        self.entries.truncate(retained);
        self.entries.extend(entries);
    }

    fn install(&mut self, snapshot: Snapshot) {
        let base = self.base();
        if snapshot.index <= base && self.snapshot.is_some() {
            return;
        }
        let covered = (snapshot.index.0 - base.0) as usize;
        let is_prefix = self
            .entries
            .get(covered.wrapping_sub(1))
            .is_some_and(|entry| entry.term == snapshot.term);
        if is_prefix {
            self.entries.drain(..covered);
        } else {
            self.entries.clear();
        }
        self.snapshot = Some(snapshot);
    }
}
