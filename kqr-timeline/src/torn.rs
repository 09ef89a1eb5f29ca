use std::fmt;

/// Largest part of a malformed line that is shown, in characters.
const SHOWN_CHARS: usize = 60;

/// A line that is not an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Torn {
    /// Name of the file.
    pub file: String,
    /// Number of the line, from 1.
    pub line: usize,
    /// Whether it is the last line, without its end: the process was killed while writing.
    pub is_last: bool,
    /// Beginning of the line.
    pub text: String,
}

impl Torn {
    /// Describes the line with `number`, read without its end if `is_last`.
    pub(crate) fn new(file: &str, number: usize, is_last: bool, bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        Self {
            file: file.to_owned(),
            line: number,
            is_last,
            text: text.chars().take(SHOWN_CHARS).collect(),
        }
    }
}

impl fmt::Display for Torn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cause = if self.is_last {
            "torn last line, the process ended while writing"
        } else {
            "not an event"
        };
        write!(f, "{}:{}: {cause}: {}", self.file, self.line, self.text)
    }
}
