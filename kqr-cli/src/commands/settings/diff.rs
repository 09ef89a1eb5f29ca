//! Shows the difference between two versions, or between a version and a file.

use std::{
    fmt,
    path::{Path, PathBuf},
};

use kqr_settings::{Edit, SettingPath, Tree, Version, from_yaml, validate};
use serde::Serialize;

use crate::Connection;
pub use crate::Failure as Error;

/// What is compared.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Version to start from; the highest accepted one if absent.
    #[arg(long)]
    pub from: Option<Version>,
    /// Version to compare with; the highest accepted one if absent.
    #[arg(long, conflicts_with = "file")]
    pub to: Option<Version>,
    /// YAML file with a whole tree to compare with.
    #[arg(long)]
    pub file: Option<PathBuf>,
}

/// One value that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Path of the value.
    pub path: SettingPath,
    /// Value before.
    pub before: Option<String>,
    /// Value after.
    pub after: Option<String>,
}

impl Difference {
    /// Creates the difference that `edit` makes to `tree`.
    pub fn new(tree: &Tree, edit: &Edit) -> Self {
        Self {
            path: edit.path.clone(),
            before: tree.get(&edit.path).map(str::to_owned),
            after: edit.value.clone(),
        }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (None, after) => write!(f, "+ {}: {}", self.path, after.as_deref().unwrap_or_default()),
        }
    }
}

/// The differences.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Values that differ, in the order of their paths.
    pub differences: Vec<Difference>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for difference in &self.differences {
            writeln!(f, "{difference}")?;
        }
        Ok(())
    }
}

/// Runs the operation.
///
/// # Errors
///
/// Fails if a version or the file can't be read.
pub async fn run(connection: &Connection, options: &Options) -> Result<Outcome, Error> {
    let before = connection.tree(options.from).await?.tree;
    let after = match &options.file {
        Some(file) => read_tree(file)?,
        None => connection.tree(options.to).await?.tree,
    };
    let edits = edits_between(&before, &after);
    let differences = edits.iter().map(|edit| Difference::new(&before, edit)).collect();
    Ok(Outcome { differences })
}

/// Returns the edits that make `before` into `after`.
pub fn edits_between(before: &Tree, after: &Tree) -> Vec<Edit> {
    let mut edits = Vec::new();
    for (path, _) in before.iter() {
        if after.get(path).is_none() {
            edits.push(Edit {
                path: path.clone(),
                value: None,
            });
        }
    }
    for (path, value) in after.iter() {
        if before.get(path) != Some(value) {
            edits.push(Edit {
                path: path.clone(),
                value: Some(value.to_owned()),
            });
        }
    }
    edits.sort_by(|left, right| left.path.cmp(&right.path));
    edits
}

/// Reads a whole tree from a YAML file.
///
/// # Errors
///
/// Fails if the file can't be read or is not a valid tree.
pub fn read_tree(file: &Path) -> Result<Tree, Error> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| Error::local("reading the file", format!("{name}: {error}")))?;
    let step = "checking the file";
    let leaves = from_yaml(&name, &text).map_err(|problems| Error::invalid(step, problems))?;
    let tree: Tree = leaves.into_iter().map(|leaf| (leaf.path, leaf.value)).collect();
    validate(&tree).map_err(|problems| Error::invalid(step, problems))?;
    Ok(tree)
}
