//! Selection of a target for a task or a request.
//!
//! The table of targets is read without locks: readers load a snapshot, and slots are taken by atomic counters.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod announcement;
mod demand;
mod speed;
mod table;
mod target;

pub use announcement::{Announcement, TargetKind};
pub use demand::Demand;
pub use speed::Speed;
pub use table::{PickFailure, Table};
pub use target::Target;
