//! A replicated log with elections, snapshots and voter changes, as a deterministic state machine without input or
//! output.
//!
//! The machine is driven by [`Machine::handle`]: time and inputs are arguments, effects are returned as outputs.
//! Outputs are performed in order; an [`Output::Persist`] is synced before any later output is performed.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod apply;
mod commit;
mod configuration;
mod counters;
mod durable;
mod election;
mod entry;
mod follower;
mod input;
mod leader;
mod leader_state;
mod log;
mod machine;
mod message;
mod options;
mod output;
mod progress;
mod reads;
mod receive;
mod record;
mod role;
mod round_tracker;
mod snapshot;
mod voter_change;
mod voter_id;

pub use configuration::{Configuration, VoterChange};
pub use counters::{Index, RequestId, Term};
pub use durable::DurableState;
pub use entry::{Entry, Payload};
pub use input::Input;
pub use machine::Machine;
pub use message::{Body, Message};
pub use options::{Options, ReadMode};
pub use output::{Output, ProposalResult, Refusal};
pub use record::Record;
pub use role::{Role, RoleView};
pub use snapshot::Snapshot;
pub use voter_id::VoterId;
