//! Control daemon: a voter of the settings log that serves settings streams and calls of operators.
//!
//! [`node::Node`] is a state machine without I/O. The other modules pass it inputs and perform its outputs.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod control_service;
pub mod daemon;
mod data_folder;
mod driver;
mod founding_client;
mod founding_state;
mod leader_client;
mod links;
pub mod node;
mod operators_service;
mod options;
mod peer_authorizer;
mod request;
mod settings_client;
mod token;
mod voters;

pub use links::Envelope;
pub use options::Options;
pub use token::Token;
