//! State machine that decides which version of the settings an instance applies.

mod input;
mod options;
mod output;
mod state_machine;

pub use input::FollowerInput;
pub use options::FollowerOptions;
pub use output::FollowerOutput;
pub use state_machine::Follower;
