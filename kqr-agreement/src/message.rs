use serde::{Deserialize, Serialize};

use crate::{Entry, Index, Snapshot, Term, VoterId};

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The member it is meant for; another incarnation of the same instance ignores it.
    pub to: VoterId,
    /// Term of the sender; of a [`Body::PreVote`], the term that the sender would campaign in.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a vote would be granted; it changes no term.
    PreVote {
        /// Last entry of the sender.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answers a [`Body::PreVote`].
    PreVoteReply {
        /// The term that was asked about.
        campaign: Term,
        /// Whether the vote would be granted.
        is_granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Last entry of the sender.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
        /// Whether the leader of the preceding term gave up its lead for the sender.
        is_handed_over: bool,
    },
    /// Answers a [`Body::Vote`].
    VoteReply {
        /// Whether the vote is granted.
        is_granted: bool,
    },
    /// Entries of the leader, or none as a heartbeat.
    Append {
        /// Round of the leader's messages, echoed by the reply.
        round: u64,
        /// Index that precedes the entries.
        prev_index: Index,
        /// Term of the entry at that index.
        prev_term: Term,
        /// Entries.
        entries: Vec<Entry>,
        /// Highest committed index of the leader.
        commit: Index,
    },
    /// Snapshot of the leader, for a member that lacks compacted entries.
    Install {
        /// Round of the leader's messages, echoed by the reply.
        round: u64,
        /// Snapshot.
        snapshot: Snapshot,
    },
    /// The sender, which led the term, has given up its lead; the receiver is to campaign at once.
    Campaign,
    /// The sender's log equals the leader's up to an index.
    Matched {
        /// Round of the message that this answers.
        round: u64,
        /// Highest index up to which the logs are equal.
        index: Index,
    },
    /// The sender's log lacks the entry that precedes the leader's entries, or holds another one.
    Mismatched {
        /// Round of the message that this answers.
        round: u64,
        /// Index up to which the logs may be equal.
        hint: Index,
    },
}
