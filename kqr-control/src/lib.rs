//! The control daemon: voters of the settings log, settings streams and the calls of operators.
//!
//! [`node::Node`] holds the decisions; the rest is a shell around it.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod changes;
mod control_service;
pub mod daemon;
mod data_folder;
mod driver;
mod founders;
mod founding_calls;
mod links;
pub mod node;
mod operators_service;
mod options;
mod peer_check;
mod peers;
mod request;
mod token;
mod voters;

pub use links::Envelope;
pub use options::Options;
pub use token::Token;
