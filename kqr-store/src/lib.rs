//! Durable log and snapshots under one data folder.
//!
//! [`Store::append`] returns after its records are synced; records that are appended together share one sync.
//! [`Store::open`] restores the appended records. It drops and reports the torn tail of a write that was
//! never acknowledged, and rejects a folder that is corrupt, locked, of another owner, or of an unsupported
//! format.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod disk;
mod error;
mod file_name;
mod files;
mod folder_disk;
mod founding;
mod frame;
mod header;
mod identity;
mod reader;
mod recovered_state;
mod store;

pub use disk::{AppendFile, Disk};
pub use error::{Operation, StoreError};
pub use folder_disk::{FolderDisk, FolderFile};
pub use founding::{Founding, FoundingId};
pub use header::FORMAT_VERSION;
pub use identity::{Identity, Owner};
pub use recovered_state::{RecoveredState, TornTail};
pub use store::Store;
