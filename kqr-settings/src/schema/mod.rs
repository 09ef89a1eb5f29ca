//! Which paths may stand in the settings tree, and which values they may have.

mod level;
mod location;
mod setting_spec;
mod settings;

pub use level::Level;
pub use location::{Location, LocationError, Node};
pub use setting_spec::SettingSpec;
pub use settings::{ServiceSettings, TargetSettings, TeamSettings, settings_at};
