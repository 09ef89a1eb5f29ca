//! Makes a new version with the content of an older one.

use kqr_settings::{Action, Version};

pub use crate::{Accepted as Outcome, Failure as Error};
use crate::{ChangeOptions, Connection, submit};

/// What is rolled back.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Version whose content the new version gets.
    pub to: Version,
    /// What all changes have in common.
    #[command(flatten)]
    pub change: ChangeOptions,
}

/// Runs the operation.
///
/// # Errors
///
/// Fails if the version is not retained or the change is not accepted.
pub async fn run(connection: &Connection, options: &Options) -> Result<Outcome, Error> {
    let mut change = options.change.clone();
    change.exclusive = true;
    submit(connection, &change, None, Action::Rollback(options.to)).await
}
