use std::fmt;

use serde::Serialize;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The catalog is refused.
    Error,
    /// The catalog is accepted, but an entry has no effect or contradicts another one.
    Warning,
}

/// Result of the check of a catalog.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// Severity.
    pub severity: Severity,
    /// Entry of the catalog.
    pub subject: String,
    /// What is wrong with it.
    pub text: String,
}

impl Finding {
    /// Creates a finding for which a catalog is refused.
    pub fn error(subject: String, text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            subject,
            text: text.into(),
        }
    }

    /// Creates a finding with which a catalog is accepted.
    pub fn warning(subject: String, text: impl Into<String>) -> Self {
        Self {
            severity: Severity::Warning,
            subject,
            text: text.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: {}: {}", self.subject, self.text)
    }
}
