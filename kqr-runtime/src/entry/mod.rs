//! An entry as a process: jobs of callers, calls to targets, links to siblings and to control.

mod control_link;
mod daemon;
mod driver;
mod job_guard;
mod mailbox;
mod notes;
mod observing;
mod settings;
mod sibling_service;
mod target_client;

pub use daemon::Entry;
pub use driver::EntryDriver;
pub use settings::EntrySettings;
pub use target_client::TargetClient;
