use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Epoch, Incarnation, InstanceId};

/// Replication state of a member of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member is still copying state that it lacks. It is neither a home nor counted as a follower.
    Syncing,
    /// The member can be the home or a follower of keys.
    Full,
}

/// One incarnation of a member of a cell.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellMember {
    /// Id of the instance.
    pub id: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Relative share of the keys, 1 to 16.
    pub weight: u32,
    /// Replication state; only full members are homes of keys.
    pub state: MemberState,
}

/// The agreed membership of a cell in one epoch. Members are ordered by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellView {
    /// Epoch of this membership.
    pub epoch: Epoch,
    /// Members, ordered by id.
    pub members: Vec<CellMember>,
}

impl CellView {
    /// Returns the member with `id`.
    pub fn member(&self, id: &InstanceId) -> Option<&CellMember> {
        self.members.iter().find(|member| member.id == *id)
    }

    /// Returns the full members by descending rendezvous weight for `key`: the home first, then its followers.
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
/// weight 2 is selected for twice as many keys as one of weight 1.
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
