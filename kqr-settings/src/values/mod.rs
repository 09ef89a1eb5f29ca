//! Values of settings, each with its unit in the text.

mod count;
mod flag;
mod names;
mod resubmission_rule;
mod time_span;

pub use count::Count;
pub use flag::Flag;
pub use names::TargetAliases;
pub use resubmission_rule::ResubmissionRule;
pub use time_span::TimeSpan;
