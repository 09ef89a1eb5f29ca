use serde::{Deserialize, Serialize};

use crate::{Term, VoterId};

/// Role of a member in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether the voters would grant their votes, before it increments the term.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the term.
    Leader,
}

/// Role, term and known leader of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RoleView {
    /// Role.
    pub role: Role,
    /// Term.
    pub term: Term,
    /// Leader of the term, if it is known.
    pub leader: Option<VoterId>,
}
