use std::{fs, path::Path};

use eyre::WrapErr;
use kqr_telemetry::Event;

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

/// What was read from one event file.
#[derive(Clone, Debug, Default)]
pub struct Source {
    /// Events in the order of the file.
    pub events: Vec<Event>,
    /// Lines that are not events.
    pub torn: Vec<Torn>,
}

impl Source {
    /// Reads an event file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read. A malformed line is reported, not an error.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let bytes = fs::read(path).wrap_err_with(|| format!("reading {}", path.display()))?;
        Ok(Self::parse(&path.display().to_string(), &bytes))
    }

    /// Reads the events of a file from its content.
    pub fn parse(file: &str, bytes: &[u8]) -> Self {
        let mut source = Self::default();
        let lines: Vec<&[u8]> = bytes.split(|byte| *byte == b'\n').collect();
        for (index, line) in lines.iter().enumerate() {
            if line.is_empty() {
                continue;
            }
            if let Ok(event) = serde_json::from_slice(line) {
                source.events.push(event);
                continue;
            }
            let text = String::from_utf8_lossy(line);
            source.torn.push(Torn {
                file: file.to_owned(),
                line: index + 1,
                is_last: index + 1 == lines.len(),
                text: text.chars().take(SHOWN_CHARS).collect(),
            });
        }
        source
    }
}
