use std::fmt;

use kqr_settings::{ResolvedSettings, SettingExplanation, Tree};
use kqr_types::TeamName;
use serde::Serialize;

use crate::Place;

/// Key of the task starts a second that a team may use in the long run.
pub(super) const QUOTA: &str = "quota";
/// Key of the task starts that a team may use beyond its quota after a quiet time.
pub(super) const BURST: &str = "burst";

/// What is in force for one team at one place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TeamQuota {
    /// The team.
    pub team: TeamName,
    /// Its quota and burst, with the paths that they come from.
    pub values: Vec<SettingExplanation>,
}

impl TeamQuota {
    /// Looks up what is in force for `team` at `place`.
    pub fn of(tree: &Tree, team: &TeamName, place: &Place) -> Self {
        let mut values = ResolvedSettings::explain(tree, &place.team(team));
        values.retain(|line| [QUOTA, BURST].contains(&line.key.as_str()));
        Self {
            team: team.clone(),
            values,
        }
    }
}

impl fmt::Display for TeamQuota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.team)?;
        for line in &self.values {
            match &line.origin {
                Some(origin) => writeln!(f, "    {} = {}  from {origin}", line.key, line.value)?,
                None => writeln!(f, "    {} = {}  default", line.key, line.value)?,
            }
        }
        Ok(())
    }
}
