//! State machine of a control instance: a voter of the settings log that answers changes and serves settings
//! streams.

mod ids;
mod input;
mod machine;
mod options;
mod output;
mod pending_requests;
mod streams;

pub use ids::{CallId, StreamId};
pub use input::NodeInput;
pub use machine::Node;
pub use options::NodeOptions;
pub use output::NodeOutput;
