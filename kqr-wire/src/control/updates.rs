use kqr_settings::{Change, Digest, Edit, Update, UpdateBody, Version};
use kqr_types::ParseError;

use super::{MessageError, edits::parse_edits, messages};

/// Parses a digest from its 16 big-endian bytes.
pub(super) fn parse_digest(bytes: &[u8]) -> Result<Digest, MessageError> {
    let bytes = bytes.try_into();
    let bytes = bytes.map_err(|_| MessageError::new("digest", "expected 16 bytes"))?;
    Ok(Digest(u128::from_be_bytes(bytes)))
}

fn edit_messages(edits: Vec<Edit>) -> Vec<messages::Edit> {
    edits.into_iter().map(Into::into).collect()
}

impl messages::Update {
    /// Creates the message for `update`.
    pub fn from_update(update: Update, is_confirmed: bool) -> Self {
        let (base, edits) = match update.body {
            UpdateBody::Delta { base, edits } => (Some(base.0), edits),
            UpdateBody::Snapshot(edits) => (None, edits),
        };
        Self {
            version: update.version.0,
            digest: update.digest.0.to_be_bytes().to_vec(),
            base,
            edits: edit_messages(edits),
            is_confirmed,
        }
    }
}

impl TryFrom<messages::Update> for Update {
    type Error = MessageError;

    fn try_from(update: messages::Update) -> Result<Self, MessageError> {
        let edits = parse_edits(update.edits)?;
        let body = match update.base {
            Some(base) => UpdateBody::Delta {
                base: Version(base),
                edits,
            },
            None => UpdateBody::Snapshot(edits),
        };
        Ok(Self {
            version: Version(update.version),
            digest: parse_digest(&update.digest)?,
            body,
        })
    }
}

impl messages::Heartbeat {
    /// Creates the heartbeat of an instance that has `version` with its `digest`.
    pub fn new(version: Version, digest: Digest, is_in_touch: bool) -> Self {
        Self {
            version: version.0,
            digest: digest.0.to_be_bytes().to_vec(),
            is_in_touch,
        }
    }

    /// Returns the digest of the version.
    ///
    /// # Errors
    ///
    /// Fails if the digest does not have 16 bytes.
    pub fn digest(&self) -> Result<Digest, MessageError> {
        parse_digest(&self.digest)
    }
}

impl From<Change> for messages::ChangeEntry {
    fn from(change: Change) -> Self {
        Self {
            version: change.version.0,
            change: change.change.into(),
            base: change.base.0,
            operator: change.operator.into(),
            unix_ms: change.unix_ms,
            edits: edit_messages(change.edits),
            before: edit_messages(change.before),
        }
    }
}

impl TryFrom<messages::ChangeEntry> for Change {
    type Error = MessageError;

    fn try_from(entry: messages::ChangeEntry) -> Result<Self, MessageError> {
        let invalid = |error: ParseError| MessageError::new("change", error);
        Ok(Self {
            version: Version(entry.version),
            change: entry.change.parse().map_err(invalid)?,
            base: Version(entry.base),
            operator: entry.operator.parse().map_err(invalid)?,
            unix_ms: entry.unix_ms,
            digest: Digest::default(),
            edits: parse_edits(entry.edits)?,
            before: parse_edits(entry.before)?,
        })
    }
}
