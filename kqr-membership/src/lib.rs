//! Membership of a cell: the entries of a data centre agree on the members of each epoch and on their leases.
//!
//! [`Cell`] is a deterministic state machine: [`Cell::handle`] takes the time and an input as arguments and
//! returns the effects as outputs.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod cell;
mod durable;
mod founding;
mod grants;
mod group;
mod input;
mod instance_incarnation;
mod joining;
mod leader_state;
mod leading;
mod member_lease;
mod message;
mod next_view;
mod options;
mod outbox;
mod output;
mod renewing;
mod state;
mod voter_plan;

pub use cell::Cell;
pub use durable::{CellDurableState, CellRecord};
pub use founding::{Founding, GroupDigest, GroupId};
pub use input::Input;
pub use instance_incarnation::InstanceIncarnation;
pub use message::{Body, CellMessage, Grant, Renewal};
pub use options::Options;
pub use output::Output;
pub use state::WallClock;
