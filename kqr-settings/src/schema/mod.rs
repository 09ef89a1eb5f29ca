//! Schema of the settings tree: its nodes, the settings of each kind of node, and their allowed values.

mod level;
mod location;
mod setting_spec;
mod settings;

pub use level::Level;
pub use location::{Location, LocationError, Node};
pub use setting_spec::SettingSpec;
pub use settings::{ServiceSettings, TargetSettings, TeamSettings, settings_at};
