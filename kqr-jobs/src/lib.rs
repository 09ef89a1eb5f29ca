//! Claims, task life and answers of jobs, as a deterministic state machine without input or output.
//!
//! The machine is driven by [`Machine::handle`]: time and inputs are arguments, effects are returned as outputs.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod answer;
mod input;
mod job;
mod machine;
mod options;
mod output;
mod submission;
mod task;

pub use answer::{JobAnswer, JobState, NotAccepted, Outcome, RefusalReason, TaskAnswer};
pub use input::{Input, Submit, TaskEnd, TaskResult};
pub use machine::Machine;
pub use options::Options;
pub use output::{CallerId, Output, StartTask, WaitingTask};
pub use submission::{Submission, TaskSpec};
