//! The founding of a system: the seeds agree on the control instances whose disks hold the replicated log.

mod input;
mod node;
mod output;

pub use input::FoundingInput;
pub use node::FoundingNode;
pub use output::FoundingOutput;
