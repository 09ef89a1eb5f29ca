//! Selection of a target for a task or a request.
//!
//! The table of targets is read without locks: readers load a snapshot, and slots are taken by atomic counters.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod announcement;
mod class_stats;
mod classes;
mod demand;
mod free_map;
mod group;
mod long_room;
mod order;
mod pick_failure;
mod quarantine;
mod share_allocator;
mod share_holder;
mod share_messages;
mod share_options;
mod sibling_selector;
mod slot_counters;
mod snapshot;
mod speed;
mod table;
mod target;

pub use announcement::{Announcement, TargetKind};
pub use class_stats::ClassStats;
pub use classes::Classes;
pub use demand::Demand;
pub use pick_failure::PickFailure;
pub use quarantine::{Quarantine, QuarantineChange, QuarantineOptions};
pub use share_allocator::{AllocatorInput, AllocatorOutput, ShareAllocator};
pub use share_holder::{HolderInput, HolderOutput, ResourceUsage, ShareHolder, ShareUsage};
pub use share_messages::{Resource, ResourceUnits, ShareClaim, ShareGrant, ShareReport};
pub use share_options::ShareOptions;
pub use sibling_selector::SiblingSelector;
pub use speed::SpeedEstimate;
pub use table::Table;
pub use target::Target;
