//! The entry daemon: HTTP interfaces for callers and targets, routing, jobs and retries.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod callers;
mod cell_drivers;
mod cell_shares;
mod clock;
mod daemon;
mod engine;
mod entry;
mod limits;
mod live_settings;
mod message_queue;
mod options;
mod outbox;
mod peer_sender;
mod quota_shares;
mod registry;
mod resubmissions;
mod routing;
mod running;
mod sibling_link;
mod sibling_links;
mod sibling_server;
mod slot_shares;
mod targets;
mod task_client;
mod topology;

pub use daemon::run;
pub use limits::Limits;
pub use options::Options;
pub use running::Running;
