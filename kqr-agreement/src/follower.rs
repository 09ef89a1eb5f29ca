use kqr_types::Instant;

use crate::{Body, Entry, Index, Machine, Output, Record, Role, Snapshot, Term, VoterId};

impl Machine {
    /// Handles the entries or the snapshot that a leader sent.
    pub(crate) fn handle_leader_message(
        &mut self,
        now: Instant,
        from: &VoterId,
        term: Term,
        body: Body,
        outputs: &mut Vec<Output>,
    ) {
        if term < self.log.term() {
            self.reject_stale_leader(from, &body, outputs);
            return;
        }
        if self.leader_state.is_some() {
            return;
        }
        self.role = Role::Follower;
        self.leader = Some(from.clone());
        self.last_leader_contact = now;
        self.reset_election_deadline(now);
        match body {
            Body::Append {
                round,
                prev_index,
                prev_term,
                entries,
                commit,
            } => {
                let reply = self.append(round, (prev_index, prev_term), entries, commit, outputs);
                self.send(from, reply, outputs);
                self.apply_committed(outputs);
            }
            Body::Install { round, snapshot } => {
                let index = self.install(snapshot, outputs);
                self.send(from, Body::Matched { round, index }, outputs);
            }
            _ => {}
        }
    }

    /// Replies to a leader of an earlier term. The reply carries the current term, so that the leader steps
    /// down.
    fn reject_stale_leader(&self, from: &VoterId, body: &Body, outputs: &mut Vec<Output>) {
        let (Body::Append { round, .. } | Body::Install { round, .. }) = body else {
            return;
        };
        let reply = Body::Mismatched {
            round: *round,
            hint: self.commit,
        };
        self.send(from, reply, outputs);
    }

    fn append(
        &mut self,
        round: u64,
        prev: (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        outputs: &mut Vec<Output>,
    ) -> Body {
        let (prev_index, prev_term) = prev;
        if prev_index > self.commit && self.log.term_at(prev_index) != Some(prev_term) {
            let hint = self.mismatch_hint(prev_index);
            return Body::Mismatched { round, hint };
        }
        let index = Index(prev_index.0 + entries.len() as u64);
        let missing = self.missing_entries(entries);
        if !missing.is_empty() {
            self.persist(Record::Append(missing), outputs);
        }
        self.commit = self.commit.max(commit.min(index));
        Body::Matched { round, index }
    }

    /// Returns the entries from the first one that is absent from the log or conflicts with it.
    fn missing_entries(&self, entries: Vec<Entry>) -> Vec<Entry> {
        let mut missing = Vec::new();
        for entry in entries {
            if entry.index <= self.commit {
                continue;
            }
            if missing.is_empty() && self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            missing.push(entry);
        }
        missing
    }

    /// Returns the index from which the leader should retry: the end of a log that is too short, or else the
    /// index before the conflicting term's first entry, but not before the commit index.
    fn mismatch_hint(&self, prev_index: Index) -> Index {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        let term = self.log.term_at(prev_index);
        let mut hint = prev_index.previous();
        while hint > self.commit && self.log.term_at(hint) == term {
            hint = hint.previous();
        }
        hint
    }

    fn install(&mut self, snapshot: Snapshot, outputs: &mut Vec<Output>) -> Index {
        if snapshot.index <= self.commit {
            return self.commit;
        }
        let index = snapshot.index;
        let state = snapshot.state.clone();
        self.commit = index;
        self.applied = index;
        self.persist(Record::Snapshot(snapshot), outputs);
        outputs.push(Output::Restore {
            index,
            snapshot: state,
        });
        self.report_voters(outputs);
        index
    }
}
