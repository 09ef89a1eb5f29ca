//! Prints the settings at and below a path.

use std::{collections::BTreeMap, fmt};

use kqr_settings::{SettingPath, Version, to_yaml};
use serde::Serialize;

use crate::Connection;
pub use crate::Failure as Error;

/// What is printed.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Path in the tree; the whole tree if absent.
    pub path: Option<SettingPath>,
    /// Version; the highest accepted one if absent.
    #[arg(long)]
    pub at: Option<Version>,
}

/// The settings.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Version that they have.
    pub version: Version,
    /// Digest of the whole version.
    pub digest: String,
    /// Values by path.
    pub values: BTreeMap<SettingPath, String>,
    #[serde(skip)]
    yaml: String,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "# version {}, digest {}", self.version, self.digest)?;
        if self.values.is_empty() {
            return Ok(());
        }
        f.write_str(&self.yaml)
    }
}

/// Runs the operation.
///
/// # Errors
///
/// Fails if the settings can't be read.
pub async fn run(connection: &Connection, options: &Options) -> Result<Outcome, Error> {
    let snapshot = connection.tree(options.at).await?;
    let path = options.path.clone().unwrap_or_default();
    let yaml = to_yaml(&snapshot.tree, &path);
    let mut values = BTreeMap::new();
    for (path, value) in snapshot.tree.subtree(&path) {
        values.insert(path.clone(), value.to_owned());
    }
    Ok(Outcome {
        version: snapshot.version,
        digest: snapshot.tree.digest().to_string(),
        values,
        yaml: yaml.map_err(|error| Error::local("writing YAML", error.to_string()))?,
    })
}
