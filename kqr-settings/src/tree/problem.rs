use std::fmt;

use serde::{Deserialize, Serialize};

use super::SettingPath;

/// One thing that is wrong with a settings tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// File and line, such as `tree.yaml:12`, if they are known.
    #[serde(rename = "place", default, skip_serializing_if = "Option::is_none")]
    pub source_location: Option<String>,
    /// Path in the tree.
    pub path: SettingPath,
    /// Value that was given, if the value is what is wrong.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// What is allowed.
    pub allowed: String,
    /// Known key that is most like the given one.
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
            None => f.write_str(": unknown or out of place")?,
        }
        write!(f, "; allowed: {}", self.allowed)?;
        if let Some(nearest) = &self.nearest {
            write!(f, "; nearest known key: {nearest}")?;
        }
        Ok(())
    }
}

/// All that is wrong with a settings tree, in the order of its paths.
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
