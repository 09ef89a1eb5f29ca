//! The stand-in for a runner or a worker: it announces itself, runs tasks by waiting, and counts each start.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod announcer;
mod api;
mod attempts;
mod behaviour;
mod options;
mod running;

pub use api::{Standin, TaskPayload};
pub use attempts::{DuplicateStart, StartsBody};
pub use behaviour::Behaviour;
pub use options::Options;
pub use running::Running;
