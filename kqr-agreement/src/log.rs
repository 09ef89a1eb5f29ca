use crate::{Configuration, DurableState, Entry, Index, Payload, Record, Snapshot, Term, VoterId};

/// The log and its snapshot, with an index of the configurations in them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Log {
    durable: DurableState,
    founding: Configuration,
    /// Configurations in the entries, in the order of their indexes.
    configurations: Vec<(Index, Configuration)>,
}

impl Log {
    pub(crate) fn new(durable: DurableState, founding: Configuration) -> Self {
        let mut log = Self {
            durable,
            founding,
            configurations: Vec::new(),
        };
        log.rebuild_configurations();
        log
    }

    pub(crate) fn into_durable(self) -> DurableState {
        self.durable
    }

    pub(crate) fn term(&self) -> Term {
        self.durable.term
    }

    pub(crate) fn voted_for(&self) -> Option<&VoterId> {
        self.durable.voted_for.as_ref()
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.durable.snapshot.as_ref()
    }

    pub(crate) fn base(&self) -> Index {
        self.durable.base()
    }

    pub(crate) fn last_index(&self) -> Index {
        Index(self.base().0 + self.durable.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.term_at(self.last_index()).unwrap_or_default()
    }

    /// Returns the term of the entry at `index`, or `None` if the entry is compacted or not yet in the log.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base() {
            return Some(self.snapshot().map_or(Term(0), |snapshot| snapshot.term));
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(crate) fn entry(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base().0 + 1)?;
        self.durable.entries.get(offset as usize)
    }

    /// Returns consecutive entries from `from` on: at most about `max_bytes`, but at least one entry if any
    /// exists.
    pub(crate) fn batch(&self, from: Index, max_bytes: usize) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            bytes += entry.approximate_size();
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            index = index.next();
        }
        batch
    }

    /// Returns the latest configuration in the log, committed or not.
    pub(crate) fn configuration(&self) -> &Configuration {
        self.configurations
            .last()
            .map_or_else(|| self.base_configuration(), |(_, configuration)| configuration)
    }

    /// Returns the index of the latest configuration in the log.
    pub(crate) fn configuration_index(&self) -> Index {
        self.configurations
            .last()
            .map_or(self.base(), |(index, _)| *index)
    }

    /// Returns the configuration in force at `index`.
    pub(crate) fn configuration_at(&self, index: Index) -> &Configuration {
        self.configurations
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or_else(|| self.base_configuration(), |(_, configuration)| configuration)
    }

    /// Returns whether `id` votes in the configuration in force at `index` or in a later one.
    pub(crate) fn is_voter_since(&self, index: Index, id: &VoterId) -> bool {
        let mut later = self.configurations.iter().filter(|(at, _)| *at > index);
        self.configuration_at(index).is_voter(id)
            || later.any(|(_, configuration)| configuration.is_voter(id))
    }

    /// Applies `record` in memory. The caller emits it to be persisted.
    pub(crate) fn apply(&mut self, record: Record) {
        let has_configurations = match &record {
            Record::Vote { .. } => false,
            Record::Append(entries) => self.changes_configurations(entries),
            Record::Snapshot(_) => true,
        };
        self.durable.apply(record);
        if has_configurations {
            self.rebuild_configurations();
        }
    }

    fn changes_configurations(&self, entries: &[Entry]) -> bool {
        let is_configuration =
            |entry: &Entry| matches!(entry.payload, Payload::Configuration(_) | Payload::Joint(..));
        let truncates = entries
            .first()
            .is_some_and(|first| first.index <= self.configuration_index());
        truncates || entries.iter().any(is_configuration)
    }

    fn base_configuration(&self) -> &Configuration {
        self.snapshot()
            .map_or(&self.founding, |snapshot| &snapshot.configuration)
    }

    fn rebuild_configurations(&mut self) {
        self.configurations.clear();
        for entry in &self.durable.entries {
            if let Some(configuration) = entry.payload.configuration() {
                self.configurations.push((entry.index, configuration));
            }
        }
    }
}
