use std::{fs, path::Path, time::SystemTime};

/// Modification time and length of each of several files; a difference tells that a file was replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileStamp {
    files: Vec<Option<(SystemTime, u64)>>,
}

impl FileStamp {
    /// Looks at `files`. One that can't be looked at differs from one that can.
    pub fn read(files: &[&Path]) -> Self {
        Self {
            files: files.iter().map(|path| look_at(path)).collect(),
        }
    }
}

fn look_at(path: &Path) -> Option<(SystemTime, u64)> {
    let found = fs::metadata(path).ok()?;
    Some((found.modified().ok()?, found.len()))
}
