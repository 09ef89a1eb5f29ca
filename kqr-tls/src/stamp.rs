use std::{fs, path::Path, time::SystemTime};

use kqr_settings::TlsFiles;

/// Modification time and length of each file; they tell whether a file was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stamp {
    files: [Option<(SystemTime, u64)>; 3],
}

impl Stamp {
    /// Looks at `files`.
    pub(crate) fn of(files: &TlsFiles) -> Self {
        Self {
            files: [&files.certificate, &files.key, &files.authorities].map(|path| look_at(path)),
        }
    }
}

fn look_at(path: &Path) -> Option<(SystemTime, u64)> {
    let found = fs::metadata(path).ok()?;
    Some((found.modified().ok()?, found.len()))
}
