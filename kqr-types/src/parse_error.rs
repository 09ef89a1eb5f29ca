use std::fmt;

/// Error returned for text that is not a valid value of the expected type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// Kind of the expected value, such as `job key`.
    pub kind: &'static str,
    /// The rejected text, truncated for the error message.
    pub given: String,
    /// Description of the allowed form.
    pub allowed: &'static str,
}

impl ParseError {
    /// Maximum number of characters of the rejected text in an error message.
    const MAX_SHOWN_CHARS: usize = 60;

    /// Creates an error for the rejected text `given`.
    pub fn new(kind: &'static str, given: &str, allowed: &'static str) -> Self {
        let given = given.chars().take(Self::MAX_SHOWN_CHARS).collect();
        Self { kind, given, allowed }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid {} {:?}: expected {}",
            self.kind, self.given, self.allowed
        )
    }
}

impl std::error::Error for ParseError {}
