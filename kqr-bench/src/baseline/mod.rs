//! Well-known policies that the system is compared with.

mod central;
mod queued;

pub use central::{Central, FreeSlot};
pub use queued::{Choice, Queued};
