//! Newtypes for ids, sizes, rates and instants, shared by all crates of kumquatroad.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod attempt_id;
mod byte_size;
mod cell_view;
mod counters;
mod instant;
mod key_digest;
mod parse_error;
mod rate;
mod text_id;

pub use attempt_id::AttemptId;
pub use byte_size::ByteSize;
pub use cell_view::{CellMember, CellView, MemberState, rendezvous_weight};
pub use counters::{Attempt, Epoch, Incarnation, Slots, TaskIndex};
pub use instant::Instant;
pub use key_digest::KeyDigest;
pub use parse_error::ParseError;
pub use rate::Rate;
pub use text_id::{ClassName, DataCentre, InstanceId, JobKey, Rack, Region, ServiceName, TargetId, TeamName};
