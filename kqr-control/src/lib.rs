//! The control daemon: voters of the settings log, settings streams and the calls of operators.
//!
//! [`node::Node`] holds the decisions; the rest is a shell around it.
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
