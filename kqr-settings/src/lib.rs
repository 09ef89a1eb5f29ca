//! The settings tree with inheritance, its replicated changes, and the bootstrap file of an instance.
//!
//! [`Tree`] holds the settings as one text per path, [`schema`] says which paths and values are allowed, [`ResolvedSettings`]
//! is the view of one place, [`SettingsLog`] applies changes on each replica, and [`Follower`] decides which version an
//! instance applies.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod bootstrap;
mod follower;
mod log;
pub mod schema;
mod tls_files;
mod tree;
mod values;

pub use follower::{Follower, FollowerInput, FollowerOptions, FollowerOutput};
pub use log::{
    Action, Answer, Change, ChangeId, Command, Edit, LogOptions, OperatorName, Refusal, RestoreError,
    SettingsLog, Update, UpdateBody, UpdateError, Version,
};
pub use tls_files::TlsFiles;
pub use tree::{
    Digest, Leaf, OverriddenValue, Problem, Problems, ResolvedSettings, SettingExplanation, SettingPath,
    TargetNames, Tree, canonical_value, from_yaml, to_yaml, validate, validate_changed,
};
pub use values::{Count, Flag, ResubmissionRule, TargetAliases, TimeSpan};
