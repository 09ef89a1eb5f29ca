use std::collections::{BTreeMap, VecDeque};

use super::{
    Action, Answer, Change, ChangeId, Command, Edit, Refusal, RestoreError, Update, UpdateBody, Version,
    applied_edits::AppliedEdits,
    conflict::find_conflict,
    history::History,
    snapshot::{FORMAT_VERSION, SnapshotBody},
};
use crate::tree::Tree;

/// Limits of a settings log. They must be identical on all replicas, which would diverge otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogOptions {
    /// Maximum number of accepted changes that are retained for history, deltas and rollback.
    pub max_changes: usize,
    /// Maximum number of edits in all retained changes together.
    pub max_edits: usize,
    /// Maximum number of answers that are retained to answer retries of a change.
    pub max_answers: usize,
    /// Maximum number of values that one change may affect.
    pub max_edits_per_change: usize,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            max_changes: 8000,
            max_edits: 100_000,
            max_answers: 8000,
            max_edits_per_change: 20_000,
        }
    }
}

/// Replicated state machine of the settings: every replica applies the same commands in the same order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsLog {
    options: LogOptions,
    version: Version,
    tree: Tree,
    history: History,
    answers: BTreeMap<ChangeId, Answer>,
    answer_order: VecDeque<ChangeId>,
}

impl SettingsLog {
    /// Creates a log at version 0, which is the empty tree.
    pub fn new(options: LogOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns the present version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the present tree.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Applies `command` and returns its answer. If an answer to the change id is retained, returns that
    /// answer and applies nothing.
    pub fn apply(&mut self, command: Command) -> Answer {
        if let Some(answer) = self.answers.get(&command.change) {
            return answer.clone();
        }
        let change = command.change.clone();
        let answer = match self.execute(command) {
            Ok(answer) => answer,
            Err(refusal) => Answer::Refused(refusal),
        };
        self.retain_answer(change, answer.clone());
        answer
    }

    /// Returns the answer to `change`, if it is retained.
    pub fn answer(&self, change: &ChangeId) -> Option<&Answer> {
        self.answers.get(change)
    }

    /// Returns the retained changes after `base`, oldest first.
    pub fn changes_since(&self, base: Version) -> impl DoubleEndedIterator<Item = &Change> {
        self.history.since(base)
    }

    /// Returns the tree of version `at`, which is rebuilt from the retained history.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is no longer retained or does not exist.
    pub fn tree_at(&self, at: Version) -> Result<Tree, Refusal> {
        self.check_retained(at)?;
        let mut tree = self.tree.clone();
        for edit in self.history.edits_back_to(at) {
            tree.edit(&edit);
        }
        Ok(tree)
    }

    /// Returns an update to the present version for a copy at version `base`.
    ///
    /// The update is a snapshot if the copy has no version, if its version is not retained, or if a delta
    /// would have more edits than the tree has values.
    pub fn update_since(&self, base: Option<Version>) -> Update {
        let retained = base.filter(|base| self.check_retained(*base).is_ok());
        let Some(base) = retained else {
            return Update::snapshot(self.version, &self.tree);
        };
        let edits = self.history.edits_since(base);
        if edits.len() > self.tree.len() {
            return Update::snapshot(self.version, &self.tree);
        }
        Update {
            version: self.version,
            digest: self.tree.digest(),
            body: UpdateBody::Delta { base, edits },
        }
    }

    /// Serializes the whole state of the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the state can't be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, serde_json::Error> {
        let mut answers = VecDeque::with_capacity(self.answer_order.len());
        for change in &self.answer_order {
            let Some(answer) = self.answers.get(change) else {
                continue;
            };
            answers.push_back((change.clone(), answer.clone()));
        }
        let mut leaves = BTreeMap::new();
        for (path, value) in self.tree.iter() {
            leaves.insert(path.clone(), value.to_owned());
        }
        serde_json::to_vec(&SnapshotBody {
            format: FORMAT_VERSION,
            version: self.version,
            digest: self.tree.digest(),
            leaves,
            history: self.history.clone(),
            answers,
        })
    }

    /// Restores a log from the bytes that [`SettingsLog::snapshot`] returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed, have an unsupported format, or contain values that don't
    /// match their digest.
    pub fn restore(options: LogOptions, bytes: &[u8]) -> Result<Self, RestoreError> {
        let body: SnapshotBody =
            serde_json::from_slice(bytes).map_err(|error| RestoreError::Malformed(error.to_string()))?;
        if body.format != FORMAT_VERSION {
            return Err(RestoreError::Format {
                found: body.format,
                supported: FORMAT_VERSION,
            });
        }
        let tree: Tree = body.leaves.into_iter().collect();
        if tree.digest() != body.digest {
            return Err(RestoreError::Digest {
                computed: tree.digest(),
                stated: body.digest,
            });
        }
        let mut log = Self::new(options);
        log.version = body.version;
        log.tree = tree;
        log.history = body.history;
        for (change, answer) in body.answers {
            log.retain_answer(change, answer);
        }
        Ok(log)
    }

    fn execute(&mut self, command: Command) -> Result<Answer, Refusal> {
        self.check_retained(command.base)?;
        let edits = match command.action {
            Action::Edit(edits) => edits,
            Action::Rollback(to) => {
                self.check_retained(to)?;
                self.history.edits_back_to(to)
            }
        };
        self.check_conflicts(command.base, command.is_exclusive, &edits)?;
        let applied = AppliedEdits::apply(&mut self.tree, edits, self.options.max_edits_per_change)?;
        let (edits, before) = applied.into_parts();
        self.version = self.version.next();
        let digest = self.tree.digest();
        let change = Change {
            version: self.version,
            change: command.change,
            base: command.base,
            operator: command.operator,
            unix_ms: command.unix_ms,
            digest,
            edits,
            before,
        };
        self.history
            .push(change, self.options.max_changes, self.options.max_edits);
        let version = self.version;
        Ok(Answer::Accepted { version, digest })
    }

    fn check_retained(&self, version: Version) -> Result<(), Refusal> {
        let highest = self.version;
        if version > highest {
            return Err(Refusal::NotYet { highest });
        }
        let oldest = self.history.oldest_base().unwrap_or(highest);
        if version < oldest {
            return Err(Refusal::TooOld { oldest });
        }
        Ok(())
    }

    fn check_conflicts(&self, base: Version, is_exclusive: bool, edits: &[Edit]) -> Result<(), Refusal> {
        for change in self.history.since(base) {
            let path = find_conflict(edits, change);
            if path.is_none() && !is_exclusive {
                continue;
            }
            return Err(Refusal::Conflict {
                by: change.version,
                change: change.change.clone(),
                operator: change.operator.clone(),
                path: path.unwrap_or_default(),
            });
        }
        Ok(())
    }

    fn retain_answer(&mut self, change: ChangeId, answer: Answer) {
        self.answers.insert(change.clone(), answer);
        self.answer_order.push_back(change);
        while self.answer_order.len() > self.options.max_answers {
            if let Some(oldest) = self.answer_order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
    }
}
