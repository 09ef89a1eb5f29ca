//! Job claims, task states and answers as a deterministic state machine that does no I/O.
//!
//! [`Machine::handle`] takes the current time and an input, and returns its effects as outputs. The home of a
//! key replicates its records to followers, and starts a task only after each follower has acknowledged the
//! intent.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod answer;
mod cell;
mod fault;
mod input;
mod job;
mod link;
mod machine;
mod member;
mod message;
mod options;
mod output;
mod pending_effects;
mod refusal;
mod state_size;
mod submission;
mod task;
mod time_bounds;
mod tombstone_kind;
mod tombstones;

pub use answer::{JobAnswer, JobState, NotAccepted, Outcome, RefusalReason, TaskAnswer};
pub use cell::home_order;
pub use fault::Fault;
pub use input::{Input, Submit, TaskEnd, TaskResult};
pub use machine::Machine;
pub use member::Member;
pub use message::{JobMessage, JobRecord, Phase, Seal, TaskRecord, Update};
pub use options::Options;
pub use output::{CallerId, Output, StartTask, WaitingTask};
pub use state_size::StateSize;
pub use submission::{Submission, TaskSpec};
pub use time_bounds::TimeBounds;
pub use tombstone_kind::TombstoneKind;
