//! Which paths may stand in the settings tree, and which values they may have.

mod level;
mod location;
mod rule;
mod rules;

pub use level::Level;
pub use location::{Location, LocationError, Node};
pub use rule::SettingSpec;
pub use rules::{ServiceSettings, TargetSettings, TeamSettings, settings_at};
