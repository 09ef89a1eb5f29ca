use std::{fmt::Display, str::FromStr};

use kqr_types::ParseError;

use super::Level;

/// One setting: its key below a node, its allowed values and its default.
#[derive(Debug)]
pub struct SettingSpec {
    /// Key below the node: one or two segments.
    pub key: &'static str,
    /// Kinds of nodes that may carry it.
    pub levels: &'static [Level],
    /// Value where no node carries it.
    pub default: &'static str,
    /// Smallest and largest value, or `None` if each well-formed value is allowed.
    pub bounds: Option<(&'static str, &'static str)>,
    /// What it means.
    pub description: &'static str,
    /// Checks a text and returns its canonical form.
    pub(super) check: Check,
}

/// Checks a text against the smallest and largest value and returns its canonical form, or what is allowed.
pub(super) type Check = fn(&str, Option<(&str, &str)>) -> Result<String, String>;

impl SettingSpec {
    /// Returns the canonical form of `text`.
    ///
    /// # Errors
    ///
    /// Fails with a description of what is allowed if the value is malformed or out of bounds.
    pub fn canonicalize(&self, text: &str) -> Result<String, String> {
        (self.check)(text, self.bounds)
    }
}

/// Checks `text` as a value of type `Value` between `bounds`.
pub(super) fn check<Value>(text: &str, bounds: Option<(&str, &str)>) -> Result<String, String>
where
    Value: FromStr<Err = ParseError> + Display + PartialOrd,
{
    let value: Value = text
        .parse()
        .map_err(|error: ParseError| error.allowed.to_owned())?;
    let Some((least, most)) = bounds else {
        return Ok(value.to_string());
    };
    match (least.parse::<Value>(), most.parse::<Value>()) {
        (Ok(low), Ok(high)) if value >= low && value <= high => Ok(value.to_string()),
        _ => Err(format!("{least} to {most}")),
    }
}
