use std::{fmt::Display, str::FromStr};

use kqr_types::ParseError;

use super::Level;

/// Definition of one setting: its key within a node, its allowed values and its default.
#[derive(Debug)]
pub struct SettingSpec {
    /// Path of the value relative to its node: one or two segments.
    pub key: &'static str,
    /// Kinds of nodes that may contain the setting.
    pub levels: &'static [Level],
    /// Value that applies if no node sets one.
    pub default: &'static str,
    /// Minimum and maximum value, both inclusive, or `None` if every well-formed value is allowed.
    pub bounds: Option<(&'static str, &'static str)>,
    /// Description of the setting.
    pub description: &'static str,
    /// Validates a text and returns its canonical form.
    pub(super) validate: ValidateFn,
}

/// Validates a text against the minimum and maximum value and returns its canonical form, or a description of
/// what is allowed.
pub(super) type ValidateFn = fn(&str, Option<(&str, &str)>) -> Result<String, String>;

impl SettingSpec {
    /// Returns the canonical form of `text`.
    ///
    /// # Errors
    ///
    /// Returns a description of what is allowed if the value is malformed or out of bounds.
    pub fn canonicalize(&self, text: &str) -> Result<String, String> {
        (self.validate)(text, self.bounds)
    }
}

/// Parses `text` as a `Value`, checks that it is within `bounds`, and returns its canonical form.
pub(super) fn validate_value<Value>(text: &str, bounds: Option<(&str, &str)>) -> Result<String, String>
where
    Value: FromStr<Err = ParseError> + Display + PartialOrd,
{
    let value: Value = text
        .parse()
        .map_err(|error: ParseError| error.allowed.to_owned())?;
    let Some((min, max)) = bounds else {
        return Ok(value.to_string());
    };
    match (min.parse::<Value>(), max.parse::<Value>()) {
        (Ok(low), Ok(high)) if value >= low && value <= high => Ok(value.to_string()),
        _ => Err(format!("{min} to {max}")),
    }
}
