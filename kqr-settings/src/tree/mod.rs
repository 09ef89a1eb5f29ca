//! The settings tree: paths, values, validation and the resolved view.

mod deadline_check;
mod digest;
mod document;
mod explained;
mod names_check;
mod path;
mod problem;
mod region_check;
mod resolved;
mod settings_tree;
mod target_names;
mod validation;

pub use digest::Digest;
pub use document::{Leaf, from_yaml, to_yaml};
pub use explained::{OverriddenValue, SettingExplanation};
pub use path::SettingPath;
pub use problem::{Problem, Problems};
pub use resolved::ResolvedSettings;
pub use settings_tree::Tree;
pub use target_names::TargetNames;
pub use validation::{canonical_value, validate, validate_changed};
