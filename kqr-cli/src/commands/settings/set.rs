//! Sets or removes single values.

use kqr_settings::{Action, Edit, SettingPath};

pub use crate::{Accepted as Outcome, Failure as Error};
use crate::{ChangeOptions, Connection, submit};

/// What is changed.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Values to set, such as `services/pressverk/retry/attempts=2`.
    #[arg(value_name = "PATH=VALUE", required_unless_present = "unset")]
    pub values: Vec<String>,
    /// Paths to remove with all that stands below them.
    #[arg(long)]
    pub unset: Vec<SettingPath>,
    /// What all changes have in common.
    #[command(flatten)]
    pub change: ChangeOptions,
}

/// Runs the operation.
///
/// # Errors
///
/// Fails if a value has no path or the change is not accepted.
pub async fn run(connection: &Connection, options: &Options) -> Result<Outcome, Error> {
    let mut edits = Vec::new();
    for path in &options.unset {
        edits.push(Edit {
            path: path.clone(),
            value: None,
        });
    }
    for text in &options.values {
        edits.push(edit_of(text)?);
    }
    submit(connection, &options.change, None, Action::Edit(edits)).await
}

fn edit_of(text: &str) -> Result<Edit, Error> {
    let step = "reading the values";
    let Some((path, value)) = text.split_once('=') else {
        return Err(Error::local(step, format!("{text:?}: expected PATH=VALUE")));
    };
    let path = path.parse();
    Ok(Edit {
        path: path.map_err(|error: kqr_types::ParseError| Error::local(step, error.to_string()))?,
        value: Some(value.to_owned()),
    })
}
