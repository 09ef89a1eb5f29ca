//! Settings tree with inheritance, its replicated log of changes, and the bootstrap file of an instance.
//!
//! [`Tree`] maps each path to the text of its value, and [`schema`] defines the allowed paths and values.
//! [`ResolvedSettings`] contains the effective settings of one node. [`SettingsLog`] is the replicated state
//! machine that applies changes, and [`Follower`] decides which version an instance applies.
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
