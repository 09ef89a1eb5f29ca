//! The control daemon: voters of the settings log, settings streams and the calls of operators.
//!
//! [`node::Node`] holds the decisions; the rest is a shell around it.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod node;
