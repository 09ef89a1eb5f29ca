use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Snapshot, Term, VoterId};

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Message {
    /// Receiver. Another incarnation of the same instance ignores the message.
    pub to: VoterId,
    /// Term of the sender. For a [`Body::PreVote`], the term that the sender would campaign in.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be granted, without changing any term.
    PreVote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answers a [`Body::PreVote`].
    PreVoteReply {
        /// Term of the campaign that the pre-vote was for.
        campaign: Term,
        /// Whether the vote would be granted.
        is_granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
        /// Whether the previous leader transferred leadership to the sender.
        is_handed_over: bool,
    },
    /// Answers a [`Body::Vote`].
    VoteReply {
        /// Whether the vote is granted.
        is_granted: bool,
    },
    /// Replicates entries of the leader. Without entries it is a heartbeat.
    Append {
        /// Round of the leader's messages, echoed by the reply.
        round: u64,
        /// Index that precedes the entries.
        prev_index: Index,
        /// Term of the entry at that index.
        prev_term: Term,
        /// Entries.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: Index,
    },
    /// Replicates a snapshot to a member whose next entry the leader has compacted.
    Install {
        /// Round of the leader's messages, echoed by the reply.
        round: u64,
        /// Snapshot.
        snapshot: Snapshot,
    },
    /// Transfers leadership: the sender, which led the term, asks the receiver to campaign at once.
    Campaign,
    /// Reports that the sender's log equals the leader's up to an index.
    Matched {
        /// Round of the message that is answered.
        round: u64,
        /// Highest index up to which the logs are equal.
        index: Index,
    },
    /// Reports that the entry before the leader's entries is absent from the sender's log or has another
    /// term.
    Mismatched {
        /// Round of the message that is answered.
        round: u64,
        /// Index from which the leader should retry: the logs may be equal up to it.
        hint: Index,
    },
    /// Tells the leader that the sender is about to end, so that a learner may take its vote at once.
    Leave,
}
