//! Fair queues, quotas, early refusals and retry budgets.
//!
//! The queue decides about whole jobs when they arrive, then hands their tasks to free slots: fair between teams by
//! deficit round robin, and without a task that can't be placed holding up those that can.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod lane;
mod long_work;
mod options;
mod output;
mod pick;
mod queue;
mod quotas;
mod retry_budget;
mod service_queue;
mod team_queue;
mod token_bucket;

pub use options::Options;
pub use output::{AttemptResult, EndedAttempt, Output};
pub use queue::AdmissionQueue;
pub use quotas::{Quota, Quotas};
pub use retry_budget::RetryBudget;
pub use token_bucket::TokenBucket;
