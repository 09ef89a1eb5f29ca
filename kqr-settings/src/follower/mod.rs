//! The rule by which an instance chooses the version of the settings that it applies.

mod input;
mod machine;
mod options;
mod output;

pub use input::FollowerInput;
pub use machine::Follower;
pub use options::FollowerOptions;
pub use output::FollowerOutput;
