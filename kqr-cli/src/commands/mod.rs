//! The operations.

pub mod drain;
pub mod settings;
pub mod status;
pub mod targets;
pub mod voters;
