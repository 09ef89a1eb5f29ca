//! Prints the quota of one team.

use std::fmt;

use kqr_settings::Version;
use kqr_types::TeamName;
use serde::Serialize;

use super::TeamQuota;
pub use crate::Failure as Error;
use crate::{Connection, Place};

/// What is printed.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// The team. One that the settings do not name has the defaults.
    pub team: TeamName,
    /// Place that the quota is in force at.
    #[command(flatten)]
    pub place: Place,
    /// Version; the highest accepted one if absent.
    #[arg(long)]
    pub at: Option<Version>,
}

/// The quota of a team.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Version that is shown.
    pub version: Version,
    /// What is in force.
    #[serde(flatten)]
    pub quota: TeamQuota,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.quota.fmt(f)
    }
}

/// Runs the operation.
///
/// # Errors
///
/// Fails if the settings can't be read.
pub async fn run(connection: &Connection, options: &Options) -> Result<Outcome, Error> {
    let snapshot = connection.tree(options.at).await?;
    Ok(Outcome {
        version: snapshot.version,
        quota: TeamQuota::of(&snapshot.tree, &options.team, &options.place),
    })
}
