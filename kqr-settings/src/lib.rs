//! The settings tree and the bootstrap file of an instance.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod bootstrap;
