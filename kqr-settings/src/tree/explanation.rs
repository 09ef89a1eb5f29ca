use serde::{Deserialize, Serialize};

use super::SettingPath;

/// Where one value of a resolved view comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingExplanation {
    /// Key of the setting.
    pub key: String,
    /// Value in force.
    pub value: String,
    /// Path that the value was taken from, or `None` for the built-in default.
    pub origin: Option<SettingPath>,
    /// Values further up that this one hides, the nearest first.
    #[serde(rename = "hidden")]
    pub overridden: Vec<OverriddenValue>,
}

/// A value that a closer one hides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverriddenValue {
    /// Path of the hidden value.
    pub path: SettingPath,
    /// The hidden value.
    pub value: String,
}
