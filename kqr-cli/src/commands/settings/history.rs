//! Lists accepted changes.

use std::fmt;

use kqr_settings::{Change, Version};
use serde::Serialize;

use crate::Connection;
pub use crate::Failure as Error;

/// What is listed.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Changes after this version.
    #[arg(long, default_value = "0")]
    pub since: Version,
    /// Largest number of changes; the newest are listed.
    #[arg(long, default_value_t = 20)]
    pub limit: u32,
}

/// The changes, oldest first.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Changes.
    pub changes: Vec<Change>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            let Change {
                version,
                change: id,
                base,
                operator,
                unix_ms,
                ..
            } = change;
            writeln!(
                f,
                "version {version} by {operator}, change {id}, base {base}, unix {unix_ms} ms"
            )?;
            for (edit, before) in change.edits.iter().zip(&change.before) {
                let before = before.value.as_deref().unwrap_or("(none)");
                let after = edit.value.as_deref().unwrap_or("(none)");
                writeln!(f, "    {}: {before} -> {after}", edit.path)?;
            }
        }
        Ok(())
    }
}

/// Runs the operation.
///
/// # Errors
///
/// Fails if the history can't be read.
pub async fn run(connection: &Connection, options: &Options) -> Result<Outcome, Error> {
    let changes = connection.history(options.since, options.limit).await?;
    Ok(Outcome { changes })
}
