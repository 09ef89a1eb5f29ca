//! Cancels one job: tasks that were not started are removed, the others are stopped.

pub use super::{Options, Outcome};
use crate::Entries;
pub use crate::Failure as Error;

/// Runs the operation.
///
/// # Errors
///
/// Fails if no entry answers, or if no job with the key is known.
pub async fn run(entries: &Entries, options: &Options) -> Result<Outcome, Error> {
    entries.cancel(&options.key).await.map(Outcome)
}
