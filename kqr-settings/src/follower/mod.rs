//! The rule by which an instance chooses the version of the settings that it applies.

mod input;
mod options;
mod output;
mod state_machine;

pub use input::FollowerInput;
pub use options::FollowerOptions;
pub use output::FollowerOutput;
pub use state_machine::Follower;
