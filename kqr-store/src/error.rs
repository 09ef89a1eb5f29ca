use std::{fmt, io};

use crate::Identity;

/// What the store was doing when an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Locking the folder.
    Lock,
    /// Listing the folder.
    List,
    /// Reading a file.
    Read,
    /// Creating a file.
    Create,
    /// Cutting a torn tail.
    Truncate,
    /// Appending to a file.
    Append,
    /// Syncing a file.
    Sync,
    /// Renaming a file.
    Rename,
    /// Syncing the folder.
    SyncFolder,
    /// Encoding records.
    Encode,
}

/// Why a store can't be opened or written.
#[derive(Debug)]
pub enum StoreError {
    /// The operating system reported an error.
    Io {
        /// What was being done.
        operation: Operation,
        /// File or folder.
        file: String,
        /// The error.
        source: io::Error,
    },
    /// The disk is full; the records are not acknowledged.
    Full {
        /// What was being done.
        operation: Operation,
        /// File.
        file: String,
    },
    /// A synced part of a file is damaged.
    Corrupt {
        /// File.
        file: String,
        /// Where the damaged part begins, in bytes.
        offset: u64,
        /// What is wrong.
        detail: &'static str,
    },
    /// A file is of another format version.
    UnsupportedFormat {
        /// File.
        file: String,
        /// Version of the file.
        found: u32,
        /// Version that this program reads and writes.
        supported: u32,
    },
    /// The folder belongs to another owner.
    WrongOwner {
        /// The folder's identity.
        found: Identity,
    },
    /// A file that must be there is missing.
    Missing {
        /// File.
        file: String,
    },
    /// Another process has the folder.
    Locked {
        /// Folder.
        folder: String,
    },
    /// An earlier write failed; the store must be opened anew.
    Failed,
}

impl StoreError {
    pub(crate) fn io(operation: Operation, file: &str, source: io::Error) -> Self {
        let file = file.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full { operation, file },
            _ => Self::Io {
                operation,
                file,
                source,
            },
        }
    }

    pub(crate) fn corrupt(file: &str, offset: usize, detail: &'static str) -> Self {
        Self::Corrupt {
            file: file.to_owned(),
            offset: offset as u64,
            detail,
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io {
                operation,
                file,
                source,
            } => write!(f, "{operation:?} of {file} failed: {source}"),
            Self::Full { operation, file } => write!(f, "{operation:?} of {file} failed: the disk is full"),
            Self::Corrupt { file, offset, detail } => {
                write!(f, "{file} is damaged at byte {offset}: {detail}")
            }
            Self::UnsupportedFormat {
                file,
                found,
                supported,
            } => write!(
                f,
                "{file} has format version {found}, this program reads version {supported}"
            ),
            Self::WrongOwner { found } => write!(f, "the folder belongs to {found}"),
            Self::Missing { file } => write!(f, "{file} is missing"),
            Self::Locked { folder } => write!(f, "{folder} is in use by another process"),
            Self::Failed => f.write_str("an earlier write failed; the store must be opened anew"),
        }
    }
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Io { source, .. } => Some(source),
            _ => None,
        }
    }
}
