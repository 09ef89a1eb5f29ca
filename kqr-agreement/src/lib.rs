//! Raft replicated log as a deterministic state machine that does no I/O: elections with pre-vote, snapshots,
//! learners and changes of one voter at a time.
//!
//! [`Machine::handle`] takes the current time and an input, and appends the effects to a list of outputs. The
//! caller performs the outputs in order and syncs each [`Output::Persist`] to storage before any output that
//! follows it.
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
