//! Replaces the whole tree by the content of a file.

use std::{fmt, path::PathBuf};

use kqr_settings::Action;
use serde::Serialize;

use super::diff::{Difference, edits_between, read_tree};
pub use crate::Failure as Error;
use crate::{Accepted, ChangeOptions, Connection, submit};

/// What is applied.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// YAML file with the whole tree.
    pub file: PathBuf,
    /// Shows the differences and changes nothing.
    #[arg(long)]
    pub dry_run: bool,
    /// What all changes have in common.
    #[command(flatten)]
    pub change: ChangeOptions,
}

/// What was changed.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Differences between the tree before and the file.
    pub differences: Vec<Difference>,
    /// The accepted change; absent if nothing differs or nothing was to be changed.
    pub accepted: Option<Accepted>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for difference in &self.differences {
            writeln!(f, "{difference}")?;
        }
        match &self.accepted {
            Some(accepted) => accepted.fmt(f),
            None => write!(f, "nothing changed"),
        }
    }
}

/// Runs the operation.
///
/// # Errors
///
/// Fails if the file is not a valid tree or the change is not accepted.
pub async fn run(connection: &Connection, options: &Options) -> Result<Outcome, Error> {
    let wanted = read_tree(&options.file)?;
    let base = connection.tree(options.change.base).await?;
    let edits = edits_between(&base.tree, &wanted);
    let differences = edits
        .iter()
        .map(|edit| Difference::new(&base.tree, edit))
        .collect();
    if edits.is_empty() || options.dry_run {
        return Ok(Outcome {
            differences,
            accepted: None,
        });
    }
    let mut change = options.change.clone();
    change.exclusive = true;
    let accepted = submit(connection, &change, Some(base.version), Action::Edit(edits)).await?;
    Ok(Outcome {
        differences,
        accepted: Some(accepted),
    })
}
