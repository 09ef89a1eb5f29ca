use std::fmt;

use serde::{Deserialize, Serialize};

use super::SettingPath;

/// One invalid path or value of a settings tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// File, with the line if it is known, such as `tree.yaml:12`; `None` if unknown.
    #[serde(rename = "place", default, skip_serializing_if = "Option::is_none")]
    pub source_location: Option<String>,
    /// Path of the invalid value or key.
    pub path: SettingPath,
    /// Given value, or `None` if the path itself is not allowed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Description of what is allowed.
    pub allowed: String,
    /// Known key that is most similar to the given one, as a suggestion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nearest: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(location) = &self.source_location {
            write!(f, "{location}: ")?;
        }
        write!(f, "{}", self.path)?;
        match &self.value {
            Some(value) => write!(f, ": {value:?} is not allowed")?,
            None => f.write_str(": unknown, or not allowed at this position")?,
        }
        write!(f, "; allowed: {}", self.allowed)?;
        if let Some(nearest) = &self.nearest {
            write!(f, "; nearest known key: {nearest}")?;
        }
        Ok(())
    }
}

/// All problems of a settings tree, in the order in which the checks found them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
