//! Selection of a target for a task or a request.
//!
//! The [`Table`] of targets is read without locks: readers load a snapshot and take slots with atomic
//! counters. [`ShareHolder`] and [`ShareAllocator`] divide the slots of a target among the members of a cell.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod announcement;
mod class_stats;
mod classes;
mod demand;
mod free_map;
mod group;
mod long_work_capacity;
mod pick_failure;
mod quarantine;
mod share_allocator;
mod share_holder;
mod share_messages;
mod share_options;
mod sibling_selector;
mod slot_counters;
mod snapshot;
mod speed_estimate;
mod speed_ranking;
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
pub use speed_estimate::SpeedEstimate;
pub use table::Table;
pub use target::Target;
