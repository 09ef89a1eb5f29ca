//! Tells for each value of a node where it comes from.

use std::fmt;

use kqr_settings::{
    Problem, Problems, ResolvedSettings, SettingExplanation, SettingPath, Version,
    schema::{Location, Node},
};
use serde::Serialize;

use crate::Connection;
pub use crate::Failure as Error;

/// What is explained.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Path of a node or value, such as `regions/svealand/data_centres/uppsala/services/pressverk`.
    pub path: SettingPath,
    /// Version; the highest accepted one if absent.
    #[arg(long)]
    pub at: Option<Version>,
}

/// The values and where they come from.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Version that is explained.
    pub version: Version,
    /// Values.
    pub values: Vec<SettingExplanation>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.values {
            match &line.origin {
                Some(origin) => writeln!(f, "{} = {}  from {origin}", line.key, line.value)?,
                None => writeln!(f, "{} = {}  default", line.key, line.value)?,
            }
            for hidden in &line.overridden {
                writeln!(f, "    hides {} at {}", hidden.value, hidden.path)?;
            }
        }
        Ok(())
    }
}

/// Runs the operation.
///
/// # Errors
///
/// Fails if the path is unknown or the settings can't be read.
pub async fn run(connection: &Connection, options: &Options) -> Result<Outcome, Error> {
    let (node, key) = locate(&options.path)?;
    let snapshot = connection.tree(options.at).await?;
    let mut values = ResolvedSettings::explain(&snapshot.tree, &node);
    if let Some(key) = key {
        values.retain(|line| line.key == key);
    }
    Ok(Outcome {
        version: snapshot.version,
        values,
    })
}

fn locate(path: &SettingPath) -> Result<(Node, Option<&'static str>), Error> {
    match Location::find(&path.segments()) {
        Ok(Location::Node(node) | Location::Group(node)) => Ok((node, None)),
        Ok(Location::Value(node, rule)) => Ok((node, Some(rule.key))),
        Err(error) => {
            let problem = Problem {
                source_location: None,
                path: path.clone(),
                value: None,
                allowed: error.allowed,
                nearest: error.nearest,
            };
            Err(Error::invalid("reading the path", Problems(vec![problem])))
        }
    }
}
