//! Stops or resumes sending new work to a target, service, data centre or region.

use kqr_settings::{Action, Edit, SettingPath};

pub use crate::{Accepted as Outcome, Failure as Error};
use crate::{ChangeOptions, Connection, submit};

/// What is drained.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Path of the node, such as `services/pressverk/targets/worker-7`.
    pub path: SettingPath,
    /// Resumes sending new work.
    #[arg(long)]
    pub off: bool,
    /// What all changes have in common.
    #[command(flatten)]
    pub change: ChangeOptions,
}

/// Runs the operation.
///
/// # Errors
///
/// Fails if the path is no node that can be drained or the change is not accepted.
pub async fn run(connection: &Connection, options: &Options) -> Result<Outcome, Error> {
    let edit = Edit {
        path: options.path.join("drain"),
        value: Some((!options.off).to_string()),
    };
    submit(connection, &options.change, None, Action::Edit(vec![edit])).await
}
