//! The process of a control instance: a member of the replicated log with its data folder and links.

mod agreement_links;
mod call_failure;
mod daemon;
mod data_folder;
mod driver;
mod driver_state;
mod handle;
mod replicated_log;
mod request;
mod service;
mod settings;

pub use call_failure::ControlCallFailure;
pub use daemon::Control;
pub use handle::ControlHandle;
pub use settings::ControlSettings;
