//! Fair queues, quotas, early refusals and retry budgets.
//!
//! The queue admits or refuses whole jobs on arrival, then places their tasks on free slots. Deficit round
//! robin makes it fair between teams, and a task that can't be placed does not block tasks that can.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod long_work;
mod options;
mod output;
mod pick;
mod queue;
mod quotas;
mod retry_budget;
mod service_queue;
mod task_shape;
mod team_queue;
mod token_bucket;

pub use options::Options;
pub use output::{AttemptResult, EndedAttempt, Output};
pub use queue::AdmissionQueue;
pub use quotas::{Quota, Quotas};
pub use retry_budget::RetryBudget;
pub use token_bucket::TokenBucket;
