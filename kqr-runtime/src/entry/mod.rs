//! An entry as a process: jobs of callers, calls to targets, links to siblings and to control.

mod control_link;
mod daemon;
mod driver;
mod job_guard;
mod mailbox;
mod notes;
mod observing;
mod port;
mod settings;
mod sibling_service;

pub use daemon::Entry;
pub use driver::EntryDriver;
pub use port::TargetPort;
pub use settings::EntrySettings;
