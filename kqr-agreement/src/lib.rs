//! A replicated log with elections, snapshots and voter changes, as a deterministic state machine without input or
//! output.
//!
//! The machine is driven by [`Machine::handle`]: time and inputs are arguments, effects are returned as outputs.
//! Outputs are performed in order; an [`Output::Persist`] is synced before any later output is performed.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod applying;
mod changing;
mod committing;
mod configuration;
mod contact;
mod counters;
mod durable;
mod election;
mod entry;
mod following;
mod input;
mod leader_state;
mod leading;
mod log;
mod machine;
mod message;
mod options;
mod output;
mod progress;
mod reading;
mod receiving;
mod record;
mod role;
mod snapshot;
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
