//! Adds, promotes or removes one voter of the settings log.

use std::fmt;

use kqr_wire::control::messages::voters_request::Change;
use serde::Serialize;

use crate::Connection;
pub use crate::Failure as Error;

/// What is done with a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Adds an instance that receives the log without a vote.
    Add,
    /// Gives a vote to an added instance that has caught up.
    Promote,
    /// Removes a voter or an added instance.
    Remove,
}

/// Which voter is changed.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// What is done.
    #[arg(value_enum)]
    pub step: Step,
    /// Voter as `kqr status` shows it, such as `control-1#1`.
    pub voter: String,
}

/// The accepted change.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// What was done.
    pub step: Step,
    /// The voter.
    pub voter: String,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let done = match self.step {
            Step::Add => "added",
            Step::Promote => "promoted",
            Step::Remove => "removed",
        };
        write!(f, "{done} {}", self.voter)
    }
}

/// Runs the operation.
///
/// # Errors
///
/// Fails if the change is not accepted.
pub async fn run(connection: &Connection, options: &Options) -> Result<Outcome, Error> {
    let voter = options.voter.clone();
    let change = match options.step {
        Step::Add => Change::Add(voter),
        Step::Promote => Change::Promote(voter),
        Step::Remove => Change::Remove(voter),
    };
    connection.change_voters(change).await?;
    Ok(Outcome {
        step: options.step,
        voter: options.voter.clone(),
    })
}
