//! Types of the values of settings. The text of a value includes its unit, if it has one.

mod count;
mod flag;
mod resubmission_rule;
mod target_aliases;
mod time_span;

pub use count::Count;
pub use flag::Flag;
pub use resubmission_rule::ResubmissionRule;
pub use target_aliases::TargetAliases;
pub use time_span::TimeSpan;
