use serde::{Deserialize, Serialize};

use super::SettingPath;

/// Effective value of one setting, with the path that it comes from and the values that it overrides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingExplanation {
    /// Key of the setting.
    pub key: String,
    /// Effective value.
    pub value: String,
    /// Path that sets the value, or `None` if the value is the built-in default.
    pub origin: Option<SettingPath>,
    /// Values of the ancestors that this value overrides, the closest first.
    #[serde(rename = "hidden")]
    pub overridden: Vec<OverriddenValue>,
}

/// A value that a closer node overrides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverriddenValue {
    /// Path of the overridden value.
    pub path: SettingPath,
    /// The overridden value.
    pub value: String,
}
