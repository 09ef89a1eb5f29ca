use crate::{Index, Machine, Output, Payload, Record, Snapshot};

impl Machine {
    /// Emits the entries up to the commit index that have not been emitted yet.
    pub(crate) fn apply_committed(&mut self, outputs: &mut Vec<Output>) {
        while self.applied < self.commit {
            let Some(entry) = self.log.entry(self.applied.next()) else {
                return;
            };
            self.applied = entry.index;
            match &entry.payload {
                Payload::Empty => {}
                Payload::Command(command) => outputs.push(Output::Apply {
                    index: entry.index,
                    term: entry.term,
                    command: command.clone(),
                }),
                payload @ (Payload::Configuration(_) | Payload::Joint(..)) => {
                    if let Some(configuration) = payload.configuration() {
                        outputs.push(Output::VotersChanged {
                            index: entry.index,
                            configuration,
                        });
                    }
                }
            }
        }
    }

    /// Replaces the entries up to `index` with the application's snapshot, unless voters were being replaced there: a
    /// snapshot does not store the former ones.
    pub(crate) fn compact(&mut self, index: Index, state: Vec<u8>, outputs: &mut Vec<Output>) {
        if index > self.applied || index <= self.log.base() {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if self.log.configuration_at(index).is_joint() {
            return;
        }
        let snapshot = Snapshot {
            index,
            term,
            configuration: self.log.configuration_at(index).clone(),
            state,
        };
        self.persist(Record::Snapshot(snapshot), outputs);
    }
}
