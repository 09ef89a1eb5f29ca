//! Operations on the settings.

pub mod apply;
pub mod diff;
pub mod explain;
pub mod get;
pub mod history;
pub mod rollback;
pub mod set;
