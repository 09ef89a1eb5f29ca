use std::collections::BTreeSet;

use kqr_types::Instant;

use crate::{
    Body, Entry, Index, Machine, Output, Payload, Record, RequestId, Role, Term, VoterId,
    leader_state::LeaderState, progress::Progress,
};

impl Machine {
    /// Becomes the leader of the current term and appends an empty entry.
    pub(crate) fn become_leader(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let first_index = self.log.last_index().next();
        self.role = Role::Leader;
        self.leader = Some(self.id.clone());
        self.votes.clear();
        self.leader_state = Some(LeaderState::new(now, first_index));
        self.append_entry(now, Payload::Empty, outputs);
    }

    /// Appends a proposal to the log, or refuses it if this member does not lead.
    pub(crate) fn propose(
        &mut self,
        now: Instant,
        request: RequestId,
        payload: Payload,
        outputs: &mut Vec<Output>,
    ) {
        let index = self.log.last_index().next();
        let Some(leader_state) = &mut self.leader_state else {
            let result = self.not_leader();
            outputs.push(Output::Proposed { request, result });
            return;
        };
        leader_state.proposals.insert(index, request);
        self.append_entry(now, payload, outputs);
    }

    /// Sends heartbeats that are due. Steps down if no majority has answered for an election timeout.
    pub(crate) fn tick_leader(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if now > self.quorum_contact(now) + self.options.election_timeout {
            self.step_down(now, outputs);
            return;
        }
        let is_due = self
            .leader_state
            .as_ref()
            .is_some_and(|leader_state| now >= leader_state.next_heartbeat);
        if is_due {
            self.broadcast(now, outputs);
        }
    }

    pub(crate) fn handle_matched(
        &mut self,
        now: Instant,
        from: &VoterId,
        round: u64,
        index: Index,
        outputs: &mut Vec<Output>,
    ) {
        let last = self.log.last_index();
        let base = self.log.base();
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.last_round = progress.last_round.max(round);
        progress.match_index = progress.match_index.max(index);
        progress.next_index = progress.next_index.max(progress.match_index.next());
        let is_installed = progress.match_index >= base;
        if is_installed {
            progress.snapshot_sent_at = None;
        }
        let is_behind = is_installed && progress.next_index <= last;
        self.process_acknowledgements(now, outputs);
        if is_behind && self.leader_state.is_some() {
            self.send_entries(now, from, outputs);
        }
    }

    pub(crate) fn handle_mismatched(
        &mut self,
        now: Instant,
        from: &VoterId,
        round: u64,
        hint: Index,
        outputs: &mut Vec<Output>,
    ) {
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        let is_new = round >= progress.last_round && hint >= progress.match_index;
        progress.last_round = progress.last_round.max(round);
        if is_new {
            progress.next_index = hint.next().min(progress.next_index);
        }
        self.process_acknowledgements(now, outputs);
        if is_new && self.leader_state.is_some() {
            self.send_entries(now, from, outputs);
        }
    }

    /// Returns the send time of the latest round that a majority has acknowledged.
    pub(crate) fn quorum_contact(&self, now: Instant) -> Instant {
        let Some(leader_state) = &self.leader_state else {
            return Instant(0);
        };
        if self.is_single_voter() {
            return now;
        }
        leader_state.rounds.quorum_sent_at
    }

    /// Returns whether this member is a majority by itself.
    pub(crate) fn is_single_voter(&self) -> bool {
        let configuration = self.log.configuration();
        configuration.is_quorum(&BTreeSet::from([self.id.clone()]))
    }

    /// Starts a round and sends it to all other members.
    pub(crate) fn broadcast(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.rounds.start(now);
        leader_state.next_heartbeat = now + self.options.heartbeat;
        let members: Vec<VoterId> = self.log.configuration().members().cloned().collect();
        for member in members {
            if member != self.id {
                self.send_entries(now, &member, outputs);
            }
        }
    }

    /// Appends an entry of the current term. It is sent to the other members before the local sync, and
    /// counts towards the commit only after the sync.
    pub(crate) fn append_entry(&mut self, now: Instant, payload: Payload, outputs: &mut Vec<Output>) {
        let entry = Entry {
            index: self.log.last_index().next(),
            term: self.log.term(),
            payload,
        };
        let record = Record::Append(vec![entry]);
        self.log.apply(record.clone());
        self.broadcast(now, outputs);
        outputs.push(Output::Persist(record));
        self.process_acknowledgements(now, outputs);
    }

    fn progress_mut(&mut self, member: &VoterId) -> Option<&mut Progress> {
        self.leader_state.as_mut()?.progress.get_mut(member)
    }

    fn send_entries(&mut self, now: Instant, to: &VoterId, outputs: &mut Vec<Output>) {
        let last = self.log.last_index();
        let base = self.log.base();
        let resend_after = self.options.election_timeout;
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let round = leader_state.rounds.latest;
        let progress = leader_state
            .progress
            .entry(to.clone())
            .or_insert_with(|| Progress::new(last));
        if progress.next_index <= base {
            let is_outstanding = progress
                .snapshot_sent_at
                .is_some_and(|sent| now < sent + resend_after);
            if !is_outstanding {
                progress.snapshot_sent_at = Some(now);
            }
            self.send_snapshot(to, round, is_outstanding, outputs);
            return;
        }
        let prev_index = progress.next_index.previous();
        let max_bytes = usize::try_from(self.options.max_batch.0).unwrap_or(usize::MAX);
        let entries = self.log.batch(progress.next_index, max_bytes);
        progress.next_index = Index(progress.next_index.0 + entries.len() as u64);
        let body = Body::Append {
            round,
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or_default(),
            entries,
            commit: self.commit,
        };
        self.send(to, body, outputs);
    }

    /// Sends the snapshot. While an earlier copy is unanswered, sends a heartbeat at index 0 instead, which
    /// matches any log and carries no commit.
    fn send_snapshot(&self, to: &VoterId, round: u64, is_outstanding: bool, outputs: &mut Vec<Output>) {
        let body = match self.log.snapshot() {
            Some(snapshot) if !is_outstanding => Body::Install {
                round,
                snapshot: snapshot.clone(),
            },
            _ => Body::Append {
                round,
                prev_index: Index(0),
                prev_term: Term(0),
                entries: Vec::new(),
                commit: Index(0),
            },
        };
        self.send(to, body, outputs);
    }

    /// Steps down and asks the voter with the most up-to-date log, and of these the one that answered last, to campaign at
    /// once. The lease ends immediately.
    pub(crate) fn transfer_leadership(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let configuration = self.log.configuration();
        let others = leader_state
            .progress
            .iter()
            .filter(|(member, _)| configuration.is_voter(member) && **member != self.id);
        let successor = others.max_by_key(|(_, progress)| (progress.match_index, progress.last_round));
        let successor = successor.map(|(member, _)| member.clone());
        self.step_down(now, outputs);
        if let Some(successor) = successor {
            self.send(&successor, Body::Campaign, outputs);
        }
    }
}
