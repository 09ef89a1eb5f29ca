//! The decisions of a control instance.

mod call_id;
mod calls;
mod directory;
mod input;
mod machine;
mod options;
mod output;
mod planning;
mod presence;
mod voters;

pub use call_id::CallId;
pub use input::FleetInput;
pub use machine::FleetNode;
pub use options::FleetOptions;
pub use output::FleetOutput;
