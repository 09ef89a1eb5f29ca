//! The targets of one data centre as one of its entries sees them.
//!
//! Announcements arrive at any entry. A change is pushed to the sibling entries as a delta and repeated until it is
//! acknowledged; renewals travel as ages of a few bits in periodic beats, whose digests also reveal what was missed.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod age;
mod bucket;
mod directory;
mod input;
mod message;
mod output;
mod peer;
mod record;
mod targets;
mod tombstones;

pub use age::Age;
pub use directory::Directory;
pub use input::Input;
pub use message::{AgedRecord, BucketSummary, Message};
pub use output::Output;
pub use record::{Record, Version};

use std::time::Duration;

/// Longest time between two renewals of a target that keeps it from being suspected.
pub const MAX_RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Age of the last renewal from which a target is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(10);
/// Age of the last renewal below which a suspected target is trusted again.
pub const CLEAR_SUSPICION_BELOW: Duration = Duration::from_secs(7);
/// Age of the last renewal from which a target is gone.
pub const EXPIRE_AFTER: Duration = Duration::from_secs(15);
