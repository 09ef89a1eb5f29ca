//! Shows the state of one job.

pub use super::{Options, Outcome};
use crate::Entries;
pub use crate::Failure as Error;

/// Runs the operation.
///
/// # Errors
///
/// Fails if no entry answers, or if no job with the key is known.
pub async fn run(entries: &Entries, options: &Options) -> Result<Outcome, Error> {
    entries.show(&options.key).await.map(Outcome)
}
