//! Processes around the decisions of a fleet: links between instances, loops, settings and shutdown.
//!
//! [`entry::Entry`] runs a [`kqr_dispatch::Dispatcher`], [`control::Control`] a [`kqr_fleet::FleetNode`]. What callers,
//! targets and operators speak is left to an adapter.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod boot_clock;
mod calls;
pub mod control;
pub mod entry;
mod frames;
mod settings_file;
mod signals;

pub use boot_clock::BootClock;
pub use settings_file::SettingsFile;
pub use signals::{SignalAction, Signals};
