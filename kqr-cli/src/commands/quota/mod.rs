//! Operations on the quotas of teams.

pub mod get;
pub mod list;
pub mod set;
mod team_quota;

pub use team_quota::TeamQuota;
