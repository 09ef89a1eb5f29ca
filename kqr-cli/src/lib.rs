//! The operators' command line. Each operation is a module with `Options`, `Outcome` and `Error`.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod change;
mod cli;
pub mod commands;
mod connection;
mod entries;
mod failure;
mod output;
mod place;

pub use change::{Accepted, ChangeOptions, submit};
pub use cli::{Cli, run};
pub use connection::{Connection, ConnectionOptions, Snapshot};
pub use entries::{Entries, EntryOptions};
pub use failure::{Failure, FailureKind};
pub use output::{Format, render};
pub use place::Place;
