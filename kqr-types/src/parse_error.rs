use std::fmt;

/// A text that is not a valid value of one of the newtypes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError {
    /// The kind of value that was expected, such as `job key`.
    pub what: &'static str,
    /// The text that was given, cut to a length fit for a message.
    pub given: String,
    /// The form that is allowed.
    pub allowed: &'static str,
}

impl ParseError {
    /// Longest part of the given text that is repeated in a message, in characters.
    const SHOWN_CHARS: usize = 60;

    /// Creates the error for `given`.
    pub fn new(what: &'static str, given: &str, allowed: &'static str) -> Self {
        let given = given.chars().take(Self::SHOWN_CHARS).collect();
        Self { what, given, allowed }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid {} {:?}: expected {}",
            self.what, self.given, self.allowed
        )
    }
}

impl std::error::Error for ParseError {}
