//! Directory of the targets of a data centre, replicated among its entries.
//!
//! A target announces itself at any entry. That entry pushes a change to its siblings as a delta, which it
//! repeats until it is acknowledged. Renewals are sent as ages of four bits in periodic beats. The digests in
//! the beats also reveal records that differ, which are then pulled.
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

/// Longest time between two renewals of a target with which it is not suspected.
pub const MAX_RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Age of the last renewal from which a target is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(10);
/// Age of the last renewal below which a target is no longer suspected.
pub const CLEAR_SUSPICION_BELOW: Duration = Duration::from_secs(7);
/// Age of the last renewal from which a target expires.
pub const EXPIRE_AFTER: Duration = Duration::from_secs(15);
