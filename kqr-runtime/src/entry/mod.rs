//! The process of an entry: jobs of callers, calls to targets, and links to siblings and to control.

mod control_access;
mod control_link;
mod daemon;
mod decision_log;
mod decision_metrics;
mod driver;
mod job_guard;
mod settings;
mod sibling_link;
mod sibling_service;
mod target_client;

pub use control_access::ControlAccess;
pub use daemon::Entry;
pub use driver::EntryDriver;
pub use settings::EntrySettings;
pub use target_client::TargetClient;
