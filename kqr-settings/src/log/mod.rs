//! The replicated log of changes to the settings: commands, answers, history and updates.

mod answer;
mod change;
mod collision;
mod command;
mod editing;
mod history;
mod settings_log;
mod short_name;
mod snapshot;
mod update;
mod version;

pub use answer::{Answer, Refusal};
pub use change::Change;
pub use command::{Action, Command, Edit};
pub use settings_log::{LogOptions, SettingsLog};
pub use short_name::{ChangeId, OperatorName};
pub use snapshot::RestoreError;
pub use update::{Update, UpdateBody, UpdateError};
pub use version::Version;
