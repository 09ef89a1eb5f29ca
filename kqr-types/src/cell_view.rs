use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Epoch, Incarnation, InstanceId};

/// Whether a member of a cell may be the home of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member copies what it missed; it is neither home nor counted follower.
    Syncing,
    /// The member is home and follower of keys.
    Full,
}

/// One member of a cell in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellMember {
    /// Instance.
    pub id: InstanceId,
    /// Number of its life.
    pub incarnation: Incarnation,
    /// Share of keys in relation to the other members, 1 to 16.
    pub weight: u32,
    /// Whether it may be the home of keys.
    pub state: MemberState,
}

/// The agreed membership of a cell in one epoch. Members are ordered by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellView {
    /// Number of the epoch.
    pub epoch: Epoch,
    /// Members, ordered by id.
    pub members: Vec<CellMember>,
}

impl CellView {
    /// Returns the member with `id`.
    pub fn member(&self, id: &InstanceId) -> Option<&CellMember> {
        self.members.iter().find(|member| member.id == *id)
    }

    /// Returns the full members in the order of their rendezvous weight for `key`: the home first, then followers.
    pub fn ranked_members(&self, key: &str) -> Vec<&CellMember> {
        let mut members: Vec<(u64, &CellMember)> = Vec::with_capacity(self.members.len());
        for member in &self.members {
            if member.state == MemberState::Full {
                members.push((rendezvous_weight(key, member.id.as_str(), member.weight), member));
            }
        }
        members.sort_by(|left, right| right.0.cmp(&left.0).then_with(|| left.1.id.cmp(&right.1.id)));
        members.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns the home of `key`, or `None` if the cell has no full member.
    pub fn home(&self, key: &str) -> Option<&CellMember> {
        self.ranked_members(key).first().copied()
    }
}

/// Returns the rendezvous weight of `candidate` for `key`: the largest of `weight` hashes, so that a candidate of
/// weight 2 wins twice as many keys as one of weight 1.
pub fn rendezvous_weight(key: &str, candidate: &str, weight: u32) -> u64 {
    let mut text = Vec::with_capacity(key.len() + candidate.len() + 5);
    text.extend_from_slice(key.as_bytes());
    text.push(0);
    text.extend_from_slice(candidate.as_bytes());
    let length = text.len();
    let mut largest = 0;
    for replica in 0..weight {
        text.truncate(length);
        text.extend_from_slice(&replica.to_le_bytes());
        largest = largest.max(xxh3_64(&text));
    }
    largest
}
