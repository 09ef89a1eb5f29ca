use kqr_placement::Announcement;
use kqr_types::{Incarnation, TargetId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Version of a target's record. A record replaces those of lesser versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Whether the target is leaving. A leave is final within an incarnation.
    pub is_leaving: bool,
    /// Number of changes to the announcement within the incarnation.
    pub revision: u32,
    /// Hash of the announcement, which breaks ties between concurrent changes.
    pub content: u64,
}

/// Record of one target, shared among the entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Latest announcement of the target.
    pub announcement: Announcement,
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// Number of changes to the announcement within the incarnation.
    pub revision: u32,
}

impl Record {
    /// Creates the first record of an incarnation.
    pub const fn new(announcement: Announcement) -> Self {
        Self {
            announcement,
            is_leaving: false,
            revision: 0,
        }
    }

    /// Returns the identity of the target.
    pub const fn id(&self) -> &TargetId {
        &self.announcement.id
    }

    /// Returns the version of this record.
    pub fn version(&self) -> Version {
        Version {
            incarnation: self.announcement.incarnation,
            is_leaving: self.is_leaving,
            revision: self.revision,
            content: content_hash(&self.announcement),
        }
    }

    /// Returns a digest of the target and its version.
    pub fn digest(&self) -> u32 {
        let version = self.version();
        let text = format!(
            "{}\n{}\n{}\n{}\n{}",
            self.id(),
            version.incarnation,
            version.is_leaving,
            version.revision,
            version.content
        );
        xxh3_64(text.as_bytes()) as u32
    }
}

fn content_hash(announcement: &Announcement) -> u64 {
    let Announcement {
        id: _,
        incarnation: _,
        kind,
        service,
        address,
        slots,
        connections,
        rack,
        cores,
        memory,
        accelerators,
    } = announcement;
    let text = format!(
        "{kind:?}\n{service}\n{address}\n{slots}\n{connections}\n{rack}\n{cores}\n{memory}\n{accelerators}"
    );
    xxh3_64(text.as_bytes())
}
