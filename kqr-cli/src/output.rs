use std::fmt::Display;

use serde::Serialize;

use crate::Failure;

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Text for a person.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

/// Returns `outcome` in `format`, ending with a new line.
///
/// # Errors
///
/// Fails if the outcome can't be encoded.
pub fn render<Outcome>(outcome: &Outcome, format: Format) -> Result<String, Failure>
where
    Outcome: Serialize + Display,
{
    let mut text = match format {
        Format::Text => outcome.to_string(),
        Format::Json => serde_json::to_string_pretty(outcome)
            .map_err(|error| Failure::local("writing the output", error.to_string()))?,
    };
    if !text.is_empty() && !text.ends_with('\n') {
        text.push('\n');
    }
    Ok(text)
}
