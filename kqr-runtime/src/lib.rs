//! Processes that run the state machines of a fleet: links between instances, event loops, settings and
//! shutdown.
//!
//! [`entry::Entry`] runs a [`kqr_dispatch::Dispatcher`], [`control::Control`] a [`kqr_fleet::FleetNode`]. The
//! protocols of callers, targets and operators are implemented by the programs that use this crate.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod boot_clock;
pub mod control;
mod control_api;
mod discovery;
pub mod entry;
mod leader_client;
mod rpc;
mod settings_file;
mod signals;
mod transport;

pub use boot_clock::BootClock;
pub use control_api::ControlApi;
pub use settings_file::SettingsFile;
pub use signals::{SignalAction, Signals};
