use serde::{Deserialize, Serialize};

use crate::{Term, VoterId};

/// What a member does in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would get votes.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads the term.
    Leader,
}

/// The role of a member, its term and the leader it knows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RoleView {
    /// Role.
    pub role: Role,
    /// Term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<VoterId>,
}
