//! An entry as a process: jobs of callers, calls to targets, links to siblings and to control.

mod control_link;
mod daemon;
mod job_guard;
mod mailbox;
mod notes;
mod observing;
mod port;
mod settings;
mod shell;
mod sibling_service;

pub use daemon::Entry;
pub use port::TargetPort;
pub use settings::EntrySettings;
pub use shell::Shell;
