//! State machine of a control instance.

mod call_id;
mod input;
mod machine;
mod observed_fleet;
mod options;
mod output;
mod pending_requests;
mod planner;
mod reachability;
mod voter_planner;

pub use call_id::CallId;
pub use input::FleetInput;
pub use machine::FleetNode;
pub use options::FleetOptions;
pub use output::FleetOutput;
