use std::{fs, path::Path, time::SystemTime};

/// Modification time and length of each of several files; a different stamp means that a file was replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileStamp {
    files: Vec<Option<(SystemTime, u64)>>,
}

impl FileStamp {
    /// Reads the metadata of `files`. A file whose metadata can't be read differs from one whose metadata can.
    pub fn read(files: &[&Path]) -> Self {
        Self {
            files: files.iter().map(|path| read_metadata(path)).collect(),
        }
    }
}

fn read_metadata(path: &Path) -> Option<(SystemTime, u64)> {
    let metadata = fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
