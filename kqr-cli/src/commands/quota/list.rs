//! Lists the quotas of all teams that the settings name.

use std::{collections::BTreeSet, fmt};

use kqr_settings::{Tree, Version, schema::Location};
use kqr_types::TeamName;
use serde::Serialize;

use super::TeamQuota;
pub use crate::Failure as Error;
use crate::{Connection, Place};

/// What is listed.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Place that the quotas are in force at.
    #[command(flatten)]
    pub place: Place,
    /// Version; the highest accepted one if absent.
    #[arg(long)]
    pub at: Option<Version>,
}

/// The quotas.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Version that is shown.
    pub version: Version,
    /// Teams by name.
    pub teams: Vec<TeamQuota>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for team in &self.teams {
            team.fmt(f)?;
        }
        Ok(())
    }
}

/// Runs the operation.
///
/// # Errors
///
/// Fails if the settings can't be read.
pub async fn run(connection: &Connection, options: &Options) -> Result<Outcome, Error> {
    let snapshot = connection.tree(options.at).await?;
    let mut teams = Vec::new();
    for team in named(&snapshot.tree) {
        teams.push(TeamQuota::of(&snapshot.tree, &team, &options.place));
    }
    Ok(Outcome {
        version: snapshot.version,
        teams,
    })
}

/// Returns the teams that `tree` names at any place.
fn named(tree: &Tree) -> BTreeSet<TeamName> {
    let mut teams = BTreeSet::new();
    for (path, _) in tree.iter() {
        if let Ok(Location::Value(node, _)) = Location::find(&path.segments()) {
            teams.extend(node.team);
        }
    }
    teams
}
