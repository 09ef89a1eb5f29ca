//! Decides which connection is given up when a share is used up.

use std::time::Instant;

/// State of a connection, as far as the decision depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Identity of the connection, in the order of arrival.
    pub id: u64,
    /// Bytes of its unparsed head and its bodies.
    pub held_bytes: usize,
    /// When a byte was last received or sent.
    pub progressed_at: Instant,
    /// Whether a request was read completely and is not answered, or an answer is being sent.
    pub is_protected: bool,
}

/// What a share has run out of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exhausted {
    /// Memory for heads and bodies.
    Memory,
    /// Connections.
    Connections,
}

/// Returns the connection that is given up, or `None` if all are protected.
///
/// For memory, that is the one that has made no progress for longest among those that hold some. For connections, those that
/// hold nothing come first.
pub fn choose<Candidates>(exhausted: Exhausted, candidates: Candidates) -> Option<u64>
where
    Candidates: IntoIterator<Item = Candidate>,
{
    let mut chosen: Option<(bool, Instant, u64)> = None;
    for candidate in candidates {
        let holds = candidate.held_bytes > 0;
        if candidate.is_protected || (exhausted == Exhausted::Memory && !holds) {
            continue;
        }
        let rank = (holds, candidate.progressed_at, candidate.id);
        if chosen.is_none_or(|chosen| rank < chosen) {
            chosen = Some(rank);
        }
    }
    chosen.map(|(_, _, id)| id)
}
