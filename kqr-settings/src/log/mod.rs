//! Replicated log of settings changes: commands, answers, the retained history, and updates for followers.

mod answer;
mod applied_edits;
mod change;
mod command;
mod conflict;
mod history;
mod identifiers;
mod settings_log;
mod snapshot;
mod update;
mod version;

pub use answer::{Answer, Refusal};
pub use change::Change;
pub use command::{Action, Command, Edit};
pub use identifiers::{ChangeId, OperatorName};
pub use settings_log::{LogOptions, SettingsLog};
pub use snapshot::RestoreError;
pub use update::{Update, UpdateBody, UpdateError};
pub use version::Version;
