use std::{fmt, str::FromStr};

use kqr_types::{DataCentre, ParseError, Region, ServiceName, TargetId, TeamName};
use serde::{Deserialize, Serialize};

use crate::schema::Node;

/// Maximum length of a path, in bytes.
const MAX_PATH_BYTES: usize = 1500;

/// Path in the settings tree: segments joined by `/`. The root is the empty path.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SettingPath(String);

impl SettingPath {
    /// Returns the path as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        if self.0.is_empty() {
            return Vec::new();
        }
        self.0.split('/').collect()
    }

    /// Returns this path extended by `segments`, which are joined by `/`.
    #[must_use]
    pub fn join(&self, segments: &str) -> Self {
        if self.0.is_empty() {
            return Self(segments.to_owned());
        }
        Self(format!("{}/{segments}", self.0))
    }

    /// Returns whether this path is `other` or one of its ancestors.
    pub fn covers(&self, other: &Self) -> bool {
        if self.0.is_empty() || self == other {
            return true;
        }
        other
            .0
            .strip_prefix(&self.0)
            .is_some_and(|rest| rest.starts_with('/'))
    }

    /// Returns the path of `node`.
    pub fn of(node: &Node) -> Self {
        let parts = [
            ("regions", node.region.as_ref().map(Region::as_str)),
            ("data_centres", node.data_centre.as_ref().map(DataCentre::as_str)),
            ("services", node.service.as_ref().map(ServiceName::as_str)),
            ("targets", node.target.as_ref().map(TargetId::as_str)),
            ("teams", node.team.as_ref().map(TeamName::as_str)),
        ];
        let mut path = Self::default();
        for (group, name) in parts {
            let Some(name) = name else { continue };
            path = path.join(group).join(name);
        }
        path
    }
}

impl FromStr for SettingPath {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let text = if text == "/" { "" } else { text };
        let has_empty_segment = !text.is_empty() && text.split('/').any(str::is_empty);
        if has_empty_segment || text.len() > MAX_PATH_BYTES {
            let allowed = "segments joined by single slashes, at most 1500 bytes";
            return Err(ParseError::new("settings path", text, allowed));
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for SettingPath {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<SettingPath> for String {
    fn from(path: SettingPath) -> Self {
        path.0
    }
}

impl fmt::Display for SettingPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("/");
        }
        f.write_str(&self.0)
    }
}
