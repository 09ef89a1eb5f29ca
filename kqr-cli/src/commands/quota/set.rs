//! Sets or removes the quota of one team at one place.

use kqr_settings::{Action, Edit, SettingPath};
use kqr_types::TeamName;

use super::team_quota::{BURST, QUOTA};
pub use crate::{Accepted as Outcome, Failure as Error};
use crate::{ChangeOptions, Connection, Place, submit};

/// What is set.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// The team.
    pub team: TeamName,
    /// Task starts that the team may use in the long run, such as `500/s`.
    #[arg(value_name = "RATE", required_unless_present_any = ["burst", "unset"])]
    pub quota: Option<String>,
    /// Task starts that it may use beyond its quota after a quiet time.
    #[arg(long, value_name = "COUNT")]
    pub burst: Option<String>,
    /// Removes what is set at the place, so that the team inherits it.
    #[arg(long, conflicts_with_all = ["quota", "burst"])]
    pub unset: bool,
    /// Place that it is set for.
    #[command(flatten)]
    pub place: Place,
    /// What all changes have in common.
    #[command(flatten)]
    pub change: ChangeOptions,
}

/// Runs the operation. Values are checked where the change is accepted, as with `kqr settings set`.
///
/// # Errors
///
/// Fails if the change is not accepted.
pub async fn run(connection: &Connection, options: &Options) -> Result<Outcome, Error> {
    let node = SettingPath::of(&options.place.team(&options.team));
    let mut edits = Vec::new();
    for (key, value) in [(QUOTA, &options.quota), (BURST, &options.burst)] {
        if options.unset || value.is_some() {
            edits.push(Edit {
                path: node.join(key),
                value: value.clone(),
            });
        }
    }
    submit(connection, &options.change, None, Action::Edit(edits)).await
}
