use std::fmt;

use kqr_settings::{Action, Command, Edit, Version};
use kqr_types::ParseError;

use super::messages;

/// Error about a control message with an invalid field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageError {
    /// Name of the invalid field.
    pub field: &'static str,
    /// Why the field is invalid.
    pub cause: String,
}

impl MessageError {
    pub(super) fn new(field: &'static str, cause: impl fmt::Display) -> Self {
        Self {
            field,
            cause: cause.to_string(),
        }
    }
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "control message, field {}: {}", self.field, self.cause)
    }
}

impl std::error::Error for MessageError {}

impl From<Edit> for messages::Edit {
    fn from(edit: Edit) -> Self {
        Self {
            path: edit.path.into(),
            value: edit.value,
        }
    }
}

impl TryFrom<messages::Edit> for Edit {
    type Error = ParseError;

    fn try_from(edit: messages::Edit) -> Result<Self, ParseError> {
        Ok(Self {
            path: edit.path.parse()?,
            value: edit.value,
        })
    }
}

pub(super) fn parse_edits(edits: Vec<messages::Edit>) -> Result<Vec<Edit>, MessageError> {
    let mut parsed = Vec::with_capacity(edits.len());
    for edit in edits {
        parsed.push(Edit::try_from(edit).map_err(|error| MessageError::new("edits", error))?);
    }
    Ok(parsed)
}

/// Converts a change request to a command.
///
/// # Errors
///
/// Fails if a field is invalid.
pub fn command_from_request(request: messages::ChangeRequest) -> Result<Command, MessageError> {
    let action = match request.rollback_to {
        Some(_) if !request.edits.is_empty() => {
            return Err(MessageError::new("edits", "a rollback has no edits"));
        }
        Some(version) => Action::Rollback(Version(version)),
        None => Action::Edit(parse_edits(request.edits)?),
    };
    let change = request.change.parse();
    let operator = request.operator.parse();
    Ok(Command {
        change: change.map_err(|error: ParseError| MessageError::new("change", error))?,
        base: Version(request.base),
        operator: operator.map_err(|error: ParseError| MessageError::new("operator", error))?,
        unix_ms: request.unix_ms,
        is_exclusive: request.is_exclusive,
        action,
    })
}

/// Converts `command` to a change request.
pub fn change_request(command: Command) -> messages::ChangeRequest {
    let (edits, rollback_to) = match command.action {
        Action::Edit(edits) => (edits.into_iter().map(Into::into).collect(), None),
        Action::Rollback(version) => (Vec::new(), Some(version.0)),
    };
    messages::ChangeRequest {
        change: command.change.into(),
        base: command.base.0,
        operator: command.operator.into(),
        unix_ms: command.unix_ms,
        is_exclusive: command.is_exclusive,
        edits,
        rollback_to,
    }
}
