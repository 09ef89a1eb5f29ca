use std::{
    fmt,
    path::{Path, PathBuf},
};

/// Error about certificates or keys that can't be used.
#[derive(Debug)]
pub struct TlsError {
    /// Operation that failed, such as `reading the certificate`.
    pub step: &'static str,
    /// File that caused the error.
    pub file: PathBuf,
    /// Cause of the error.
    pub detail: String,
}

impl TlsError {
    pub(crate) fn new(step: &'static str, file: &Path, detail: &dyn fmt::Display) -> Self {
        Self {
            step,
            file: file.to_owned(),
            detail: detail.to_string(),
        }
    }
}

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.step, self.file.display(), self.detail)
    }
}

impl std::error::Error for TlsError {}
