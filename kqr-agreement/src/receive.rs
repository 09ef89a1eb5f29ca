use kqr_types::Instant;

use crate::{Body, Machine, Message, Output, ProposalResult, Record, Role, Term, VoterId};

impl Machine {
    /// Handles a message, unless it is addressed to another member.
    pub(crate) fn receive(
        &mut self,
        now: Instant,
        from: &VoterId,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        if message.to != self.id {
            return;
        }
        let Message { term, body, .. } = message;
        match body {
            Body::PreVote {
                last_index,
                last_term,
            } => {
                self.handle_pre_vote(now, from, term, (last_term, last_index), outputs);
            }
            Body::Vote {
                last_index,
                last_term,
                is_handed_over,
            } => {
                if is_handed_over || !self.has_recent_leader(now) {
                    self.handle_vote(now, from, term, (last_term, last_index), outputs);
                }
            }
            body => self.receive_in_term(now, from, term, body, outputs),
        }
    }

    fn receive_in_term(
        &mut self,
        now: Instant,
        from: &VoterId,
        term: Term,
        body: Body,
        outputs: &mut Vec<Output>,
    ) {
        if term > self.log.term() {
            self.enter_term(now, term, None, outputs);
        }
        let is_current = term == self.log.term();
        match body {
            Body::PreVoteReply { campaign, is_granted } => {
                self.count_pre_vote(now, from, campaign, is_granted, outputs);
            }
            Body::Campaign if is_current && self.leader.as_ref() == Some(from) => {
                self.start_election(now, true, outputs);
            }
            Body::VoteReply { is_granted } if is_current => self.count_vote(now, from, is_granted, outputs),
            Body::Append { .. } | Body::Install { .. } => {
                self.handle_leader_message(now, from, term, body, outputs);
            }
            Body::Matched { round, index } if is_current => {
                self.handle_matched(now, from, round, index, outputs);
            }
            Body::Mismatched { round, hint } if is_current => {
                self.handle_mismatched(now, from, round, hint, outputs);
            }
            _ => {}
        }
    }

    /// Enters `term` as a follower and persists it with the vote for `voted_for`. A leader steps down.
    pub(crate) fn enter_term(
        &mut self,
        now: Instant,
        term: Term,
        voted_for: Option<VoterId>,
        outputs: &mut Vec<Output>,
    ) {
        self.persist(Record::Vote { term, voted_for }, outputs);
        self.leader = None;
        self.step_down(now, outputs);
    }

    /// Becomes a follower in the current term. Uncommitted proposals end with an unknown outcome.
    ///
    /// A leader counts itself among the voters that grant no vote for an election timeout after the last
    /// contact. The timeout therefore restarts when it steps down.
    pub(crate) fn step_down(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.role = Role::Follower;
        self.votes.clear();
        let Some(leader_state) = self.leader_state.take() else {
            return;
        };
        if self.leader.as_ref() == Some(&self.id) {
            self.leader = None;
        }
        self.last_leader_contact = now;
        self.reset_election_deadline(now);
        for request in leader_state.proposals.into_values() {
            let result = ProposalResult::Unknown {
                leader: self.leader.clone(),
            };
            outputs.push(Output::Proposed { request, result });
        }
        for read in leader_state.reads {
            outputs.push(Output::ReadFailed {
                request: read.request,
                leader: self.leader.clone(),
            });
        }
    }
}
