use std::collections::{BTreeMap, VecDeque};

use super::{
    Action, Answer, Change, ChangeId, Command, Edit, Refusal, RestoreError, Update, UpdateBody, Version,
    applied_edits::AppliedEdits,
    conflict::find_conflict,
    history::History,
    snapshot::{FORMAT, SnapshotBody},
};
use crate::tree::Tree;

/// Limits of a settings log. All replicas must have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogOptions {
    /// Accepted changes that are retained for history, deltas and rollback.
    pub max_changes: usize,
    /// Edits of all retained changes together.
    pub max_edits: usize,
    /// Answers that are retained for changes that are sent again.
    pub max_answers: usize,
    /// Values that one change may touch.
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

/// The settings of the whole system, changed by commands that each replica applies in the same order.
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
    /// Creates the log of an empty tree.
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

    /// Applies `command` and returns its answer; a change id that was answered before gets the same answer again.
    pub fn apply(&mut self, command: Command) -> Answer {
        if let Some(answer) = self.answers.get(&command.change) {
            return answer.clone();
        }
        let change = command.change.clone();
        let answer = match self.decide(command) {
            Ok(answer) => answer,
            Err(refusal) => Answer::Refused(refusal),
        };
        self.remember(change, answer.clone());
        answer
    }

    /// Returns the retained answer to `change`.
    pub fn answer(&self, change: &ChangeId) -> Option<&Answer> {
        self.answers.get(change)
    }

    /// Returns the retained changes after `base`, oldest first.
    pub fn changes_since(&self, base: Version) -> impl DoubleEndedIterator<Item = &Change> {
        self.history.since(base)
    }

    /// Returns the tree of the retained version `at`.
    ///
    /// # Errors
    ///
    /// Fails if the version is not retained or does not exist.
    pub fn tree_at(&self, at: Version) -> Result<Tree, Refusal> {
        self.check_retained(at)?;
        let mut tree = self.tree.clone();
        for edit in self.history.way_back(at) {
            tree.edit(&edit);
        }
        Ok(tree)
    }

    /// Returns what brings a copy at version `base`, or a copy without a version, to the present version.
    pub fn update_since(&self, base: Option<Version>) -> Update {
        let retained = base.filter(|base| self.check_retained(*base).is_ok());
        let Some(base) = retained else {
            return Update::snapshot(self.version, &self.tree);
        };
        let edits = self.history.way_forward(base);
        if edits.len() > self.tree.len() {
            return Update::snapshot(self.version, &self.tree);
        }
        Update {
            version: self.version,
            digest: self.tree.digest(),
            body: UpdateBody::Delta { base, edits },
        }
    }

    /// Returns the whole state of the log as bytes.
    ///
    /// # Errors
    ///
    /// Fails if the state can't be encoded.
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
            format: FORMAT,
            version: self.version,
            digest: self.tree.digest(),
            leaves,
            history: self.history.clone(),
            answers,
        })
    }

    /// Restores the state that [`SettingsLog::snapshot`] returned.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no snapshot of a known format or are damaged.
    pub fn restore(options: LogOptions, bytes: &[u8]) -> Result<Self, RestoreError> {
        let body: SnapshotBody =
            serde_json::from_slice(bytes).map_err(|error| RestoreError::Malformed(error.to_string()))?;
        if body.format != FORMAT {
            return Err(RestoreError::Format {
                found: body.format,
                known: FORMAT,
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
            log.remember(change, answer);
        }
        Ok(log)
    }

    fn decide(&mut self, command: Command) -> Result<Answer, Refusal> {
        self.check_retained(command.base)?;
        let edits = match command.action {
            Action::Edit(edits) => edits,
            Action::Rollback(to) => {
                self.check_retained(to)?;
                self.history.way_back(to)
            }
        };
        self.check_not_beaten(command.base, command.is_exclusive, &edits)?;
        let editing = AppliedEdits::apply(&mut self.tree, edits, self.options.max_edits_per_change)?;
        let (edits, before) = editing.close();
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

    fn check_not_beaten(&self, base: Version, is_exclusive: bool, edits: &[Edit]) -> Result<(), Refusal> {
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

    fn remember(&mut self, change: ChangeId, answer: Answer) {
        self.answers.insert(change.clone(), answer);
        self.answer_order.push_back(change);
        while self.answer_order.len() > self.options.max_answers {
            if let Some(oldest) = self.answer_order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
    }
}
