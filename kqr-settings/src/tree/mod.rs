//! Settings tree: paths, values, validation, and resolution of inherited values.

mod alias_check;
mod deadline_check;
mod digest;
mod explanation;
mod path;
mod problem;
mod region_check;
mod resolved;
mod settings_tree;
mod target_names;
mod validation;
mod yaml;

pub use digest::Digest;
pub use explanation::{OverriddenValue, SettingExplanation};
pub use path::SettingPath;
pub use problem::{Problem, Problems};
pub use resolved::ResolvedSettings;
pub use settings_tree::Tree;
pub use target_names::TargetNames;
pub use validation::{canonical_value, validate, validate_changed};
pub use yaml::{Leaf, from_yaml, to_yaml};
