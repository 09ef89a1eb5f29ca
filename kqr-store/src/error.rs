use std::{fmt, io};

use crate::Identity;

/// Operation of the store during which an error occurred.
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
    /// Truncating a torn tail.
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

/// Error of opening or writing a store.
#[derive(Debug)]
pub enum StoreError {
    /// The operating system reported an error.
    Io {
        /// Operation that failed.
        operation: Operation,
        /// Name of the file or folder.
        file: String,
        /// Underlying error.
        source: io::Error,
    },
    /// The disk is full; the records are not acknowledged.
    Full {
        /// Operation that failed.
        operation: Operation,
        /// Name of the file.
        file: String,
    },
    /// A part of a file that was synced is corrupt.
    Corrupt {
        /// Name of the file.
        file: String,
        /// Offset of the corrupt part, in bytes.
        offset: u64,
        /// Check that failed.
        detail: &'static str,
    },
    /// A file has a format version that this program doesn't support.
    UnsupportedFormat {
        /// Name of the file.
        file: String,
        /// Format version of the file.
        found: u32,
        /// Format version that this program reads and writes.
        supported: u32,
    },
    /// The folder belongs to another owner.
    WrongOwner {
        /// Identity of the folder.
        found: Identity,
    },
    /// A required file is missing.
    Missing {
        /// Name of the file.
        file: String,
    },
    /// Another process holds the lock of the folder.
    Locked {
        /// Path of the folder.
        folder: String,
    },
    /// An earlier write failed; the store must be reopened.
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
                write!(f, "{file} is corrupt at byte {offset}: {detail}")
            }
            Self::UnsupportedFormat {
                file,
                found,
                supported,
            } => write!(
                f,
                "{file} has format version {found}, but only version {supported} is supported"
            ),
            Self::WrongOwner { found } => write!(f, "the folder belongs to {found}"),
            Self::Missing { file } => write!(f, "{file} is missing"),
            Self::Locked { folder } => write!(f, "{folder} is locked by another process"),
            Self::Failed => f.write_str("an earlier write failed; the store must be reopened"),
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
