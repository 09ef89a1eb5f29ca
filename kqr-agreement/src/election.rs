use std::time::Duration;

use kqr_types::Instant;

use crate::{Body, Index, Machine, Output, Record, Role, Term, VoterId};

/// Term and index of the last entry of a log. The tuple orders logs by how up to date they are.
type LastEntry = (Term, Index);

impl Machine {
    /// Starts a pre-vote, which asks the voters for their support without incrementing the term.
    pub(crate) fn start_pre_vote(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        self.set_election_deadline(now, self.options.heartbeat);
        self.leader = None;
        if !self.may_campaign() {
            return;
        }
        self.role = Role::PreCandidate;
        self.votes.clear();
        let campaign = self.log.term().next();
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.request_votes(campaign, &body, outputs);
        let id = self.id.clone();
        self.count_pre_vote(now, &id, campaign, true, outputs);
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        now: Instant,
        from: &VoterId,
        campaign: Term,
        last: LastEntry,
        outputs: &mut Vec<Output>,
    ) {
        let is_granted =
            campaign > self.log.term() && self.is_up_to_date(last) && !self.has_recent_leader(now);
        let body = Body::PreVoteReply { campaign, is_granted };
        self.send(from, body, outputs);
    }

    pub(crate) fn count_pre_vote(
        &mut self,
        now: Instant,
        from: &VoterId,
        campaign: Term,
        is_granted: bool,
        outputs: &mut Vec<Output>,
    ) {
        let is_expected = self.role == Role::PreCandidate && campaign == self.log.term().next();
        if is_expected && is_granted && self.record_vote(from) {
            self.start_election(now, false, outputs);
        }
    }

    pub(crate) fn handle_vote(
        &mut self,
        now: Instant,
        from: &VoterId,
        term: Term,
        last: LastEntry,
        outputs: &mut Vec<Output>,
    ) {
        if term > self.log.term() {
            self.enter_term(now, term, None, outputs);
        }
        let can_vote_for = match self.log.voted_for() {
            None => true,
            Some(candidate) => candidate == from,
        };
        let is_granted = term == self.log.term() && can_vote_for && self.is_up_to_date(last);
        if is_granted {
            if self.log.voted_for().is_none() {
                let voted_for = Some(from.clone());
                self.persist(Record::Vote { term, voted_for }, outputs);
            }
            self.reset_election_deadline(now);
        }
        self.send(from, Body::VoteReply { is_granted }, outputs);
    }

    pub(crate) fn count_vote(
        &mut self,
        now: Instant,
        from: &VoterId,
        is_granted: bool,
        outputs: &mut Vec<Output>,
    ) {
        if self.role == Role::Candidate && is_granted && self.record_vote(from) {
            self.become_leader(now, outputs);
        }
    }

    pub(crate) fn reset_election_deadline(&mut self, now: Instant) {
        self.set_election_deadline(now, self.options.election_timeout);
    }

    /// Sets the next campaign to `min_delay` from `now` plus a jitter of up to the election timeout divided
    /// by [`Options::spread_divisor`](crate::Options::spread_divisor).
    ///
    /// A member without a leader campaigns again after a short delay, because the jitter resolves split
    /// votes.
    fn set_election_deadline(&mut self, now: Instant, min_delay: Duration) {
        let max_jitter = self.options.election_timeout / self.options.spread_divisor.max(1);
        let max_jitter = u64::try_from(max_jitter.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(self.jitter_at(now) % max_jitter.max(1));
        self.election_deadline = now + min_delay + jitter;
    }

    /// Increments the term, votes for this member and requests the votes of the others.
    pub(crate) fn start_election(&mut self, now: Instant, is_handed_over: bool, outputs: &mut Vec<Output>) {
        let term = self.log.term().next();
        let voted_for = Some(self.id.clone());
        self.enter_term(now, term, voted_for, outputs);
        self.role = Role::Candidate;
        let body = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            is_handed_over,
        };
        self.request_votes(term, &body, outputs);
        let id = self.id.clone();
        self.count_vote(now, &id, true, outputs);
    }

    /// Returns whether this member is a voter in the committed configuration or in a later one.
    ///
    /// A voter whose removal is not known to be committed may campaign, because its log may be the only one
    /// that lets the others commit the removal. After a restart, the configuration known to be committed may precede the one
    /// in which it became a voter.
    fn may_campaign(&self) -> bool {
        self.log.is_voter_since(self.commit, &self.id)
    }

    fn request_votes(&self, term: Term, body: &Body, outputs: &mut Vec<Output>) {
        for voter in self.log.configuration().all_voters() {
            if *voter == self.id {
                continue;
            }
            let message = crate::Message {
                to: voter.clone(),
                term,
                body: body.clone(),
            };
            outputs.push(Output::Send {
                to: voter.clone(),
                message,
            });
        }
    }

    /// Records the vote of `from` and returns whether a majority has granted its vote.
    fn record_vote(&mut self, from: &VoterId) -> bool {
        let configuration = self.log.configuration();
        if !configuration.is_voter(from) {
            return false;
        }
        self.votes.insert(from.clone());
        configuration.is_quorum(&self.votes)
    }

    fn is_up_to_date(&self, last: LastEntry) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }

    /// Returns whether a leader was active within the last election timeout. Its lease relies on this member
    /// to grant no vote during that time.
    pub(crate) fn has_recent_leader(&self, now: Instant) -> bool {
        self.leader_state.is_some() || now < self.last_leader_contact + self.options.election_timeout
    }

    /// Returns a pseudorandom number for the seed and `now`, from the output function of `SplitMix64`.
    fn jitter_at(&self, now: Instant) -> u64 {
        let mut mixed = (self.options.seed ^ now.0).wrapping_add(0x9E37_79B9_7F4A_7C15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
}
