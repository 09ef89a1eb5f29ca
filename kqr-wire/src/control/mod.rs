//! Control messages over tonic: agreement, the settings stream and the calls of operators.

mod answers;
mod connect;
mod connector;
mod edits;
mod peer;
mod settings_copy;
mod settings_stream;
mod updates;

/// Messages and services, generated from `proto/control.proto`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod messages {
    include!("generated/kqr.control.rs");
}

pub use connect::{connect, connect_instance, connect_instance_with_keepalive};
pub use edits::{MessageError, change_request, command_from_request};
pub use peer::{Peer, rank_control_peers};
pub use settings_copy::{CopyError, SettingsCopy};
pub use settings_stream::SettingsStream;
