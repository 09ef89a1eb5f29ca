//! The operations.

pub mod drain;
pub mod jobs;
pub mod quota;
pub mod settings;
pub mod status;
pub mod targets;
pub mod voters;
