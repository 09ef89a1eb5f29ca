//! The entry: HTTP towards callers and targets, routing, jobs and retries.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod callers;
mod clock;
mod daemon;
mod engine;
mod entry;
mod homes;
mod options;
mod queue;
mod running;
mod sibling_links;
mod sibling_server;
mod starter;
mod targets;

pub use daemon::run;
pub use options::Options;
pub use running::{Running, ShutdownLimits};
