//! A control instance as a process: a member of the replicated log with its disk and its links.

mod agreement_links;
mod daemon;
mod data_folder;
mod driver;
mod handle;
mod request;
mod service;
mod settings;

pub use daemon::Control;
pub use handle::{ControlCallFailure, ControlHandle};
pub use settings::ControlSettings;
pub(crate) use settings::identity;
