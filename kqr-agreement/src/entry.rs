use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{Configuration, Index, Term, VoterId};

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// No content. A new leader commits earlier terms' entries with it.
    Empty,
    /// A command of the application.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A configuration. It takes effect when it is appended, not when it is committed.
    Configuration(Configuration),
    /// A configuration in which voters are being replaced, and the former voters. Takes effect like a configuration.
    Joint(Configuration, BTreeSet<VoterId>),
}

impl Payload {
    /// Returns the payload that stores `configuration`.
    pub(crate) fn of_configuration(configuration: Configuration) -> Self {
        if configuration.is_joint() {
            let outgoing = configuration.outgoing.clone();
            Self::Joint(configuration, outgoing)
        } else {
            Self::Configuration(configuration)
        }
    }

    /// Returns the configuration that takes effect with the entry, if it has one.
    pub(crate) fn configuration(&self) -> Option<Configuration> {
        match self {
            Self::Configuration(configuration) => Some(configuration.clone()),
            Self::Joint(configuration, outgoing) => Some(Configuration {
                outgoing: outgoing.clone(),
                ..configuration.clone()
            }),
            Self::Empty | Self::Command(_) => None,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size of an entry's metadata, in bytes.
    const OVERHEAD_BYTES: usize = 32;

    /// Returns the approximate size of the entry in a message, in bytes.
    pub(crate) fn approximate_size(&self) -> usize {
        match &self.payload {
            Payload::Command(command) => Self::OVERHEAD_BYTES + command.len(),
            Payload::Empty | Payload::Configuration(_) | Payload::Joint(..) => Self::OVERHEAD_BYTES,
        }
    }
}
