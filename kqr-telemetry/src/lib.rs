//! Structured logs and time-line events.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod event;
mod event_log;
mod logging;

pub use event::{Event, EventKind};
pub use event_log::EventLog;
pub use logging::init_logging;
