use std::fmt;

use kqr_settings::{Problems, Refusal};
use serde::Serialize;
use tonic::{Code, Status};

use crate::Format;

/// Kind of a failure; each has its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// Something else failed, such as reading a file.
    Other,
    /// The change was beaten by another one.
    Beaten,
    /// A path or value is not allowed.
    Invalid,
    /// A version is not retained or does not exist.
    Version,
    /// No quorum of control instances, or no entry, gives an answer now.
    Unavailable,
    /// The token is missing or wrong.
    Unauthenticated,
    /// No control instance or entry can be reached.
    Unreachable,
    /// No job with the key is known.
    UnknownJob,
}

/// Why an operation failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Failure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// Step that failed.
    pub step: &'static str,
    /// Control instance or entry at which it failed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
    /// Explanation for a person.
    pub detail: String,
    /// The refusal, if the change was refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refusal: Option<Box<Refusal>>,
}

impl Failure {
    /// Creates a failure of `step` on this side.
    pub fn local(step: &'static str, detail: String) -> Self {
        Self {
            kind: FailureKind::Other,
            step,
            peer: None,
            detail,
            refusal: None,
        }
    }

    /// Creates the failure of a path or value that is not allowed.
    pub fn invalid(step: &'static str, problems: Problems) -> Self {
        Self::refused(step, Refusal::Invalid(problems))
    }

    /// Creates the failure of a refused change.
    pub fn refused(step: &'static str, refusal: Refusal) -> Self {
        let kind = match &refusal {
            Refusal::Conflict { .. } => FailureKind::Beaten,
            Refusal::Invalid(_) | Refusal::EditCount { .. } => FailureKind::Invalid,
            Refusal::TooOld { .. } | Refusal::NotYet { .. } => FailureKind::Version,
        };
        Self {
            kind,
            detail: refusal.to_string(),
            refusal: Some(Box::new(refusal)),
            ..Self::local(step, String::new())
        }
    }

    /// Creates the failure of a call to `peer`.
    pub fn call(step: &'static str, peer: &str, status: &Status) -> Self {
        let kind = match status.code() {
            Code::Unauthenticated => FailureKind::Unauthenticated,
            Code::InvalidArgument => FailureKind::Invalid,
            Code::OutOfRange => FailureKind::Version,
            Code::Unavailable | Code::DeadlineExceeded => FailureKind::Unavailable,
            _ => FailureKind::Other,
        };
        Self {
            kind,
            peer: Some(peer.to_owned()),
            ..Self::local(step, status.message().to_owned())
        }
    }

    /// Returns the exit code: 1 other, 3 beaten, 4 invalid, 5 version, 6 unavailable, 7 unauthenticated, 8 unreachable,
    /// 9 unknown job.
    pub fn exit_code(&self) -> u8 {
        match self.kind {
            FailureKind::Other => 1,
            FailureKind::Beaten => 3,
            FailureKind::Invalid => 4,
            FailureKind::Version => 5,
            FailureKind::Unavailable => 6,
            FailureKind::Unauthenticated => 7,
            FailureKind::Unreachable => 8,
            FailureKind::UnknownJob => 9,
        }
    }

    /// Returns whether another control instance or entry may give another answer.
    pub fn may_differ_elsewhere(&self) -> bool {
        matches!(
            self.kind,
            FailureKind::Unavailable | FailureKind::Unreachable | FailureKind::Other
        )
    }

    /// Returns the failure in `format`.
    pub fn render(&self, format: Format) -> String {
        match format {
            Format::Text => format!("kqr: {self}"),
            Format::Json => serde_json::to_string_pretty(self).unwrap_or_else(|_| self.to_string()),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.step)?;
        if let Some(peer) = &self.peer {
            write!(f, " at {peer}")?;
        }
        write!(f, ": {}", self.detail)
    }
}

impl std::error::Error for Failure {}
