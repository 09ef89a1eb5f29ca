//! The replicated log of changes to the settings: commands, answers, history and updates.

mod answer;
mod change;
mod change_id;
mod collision;
mod command;
mod editing;
mod history;
mod operator_name;
mod settings_log;
mod snapshot;
mod update;
mod version;

pub use answer::{Answer, Refusal};
pub use change::Change;
pub use change_id::ChangeId;
pub use command::{Action, Command, Edit};
pub use operator_name::OperatorName;
pub use settings_log::{LogOptions, SettingsLog};
pub use snapshot::RestoreError;
pub use update::{Update, UpdateBody, UpdateError};
pub use version::Version;
