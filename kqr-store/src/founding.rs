use std::{collections::BTreeMap, fmt};

use kqr_types::InstanceId;
use serde::{Deserialize, Serialize};

use crate::{
    Disk, StoreError, file_name,
    files::{read_file, write_single_frame},
    reader::{encode, read_single_frame},
};

/// Identifier that a data folder gets when its instance begins to found a system. A new folder gets another
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundingId(pub u64);

impl fmt::Display for FoundingId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The data folders that a system was founded with. The record is kept after the founding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Founding {
    /// Identifier of the own folder.
    pub own: FoundingId,
    /// Identifiers of the other founders' folders; empty until all of them have answered.
    pub others: BTreeMap<InstanceId, FoundingId>,
}

impl Founding {
    /// Creates the record of a founding that has begun in the folder `own`.
    pub fn begin(own: FoundingId) -> Self {
        Self {
            own,
            others: BTreeMap::new(),
        }
    }

    /// Reads the record from `disk`. Returns `None` if its instance has not begun to found a system.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is corrupt or can't be read.
    pub fn read<Folder>(disk: &Folder) -> Result<Option<Self>, StoreError>
    where
        Folder: Disk,
    {
        match read_file(disk, file_name::FOUNDING) {
            Ok(bytes) => read_single_frame(file_name::FOUNDING, &bytes).map(Some),
            Err(StoreError::Missing { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Replaces the record on `disk`. The new one is durable when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written; the previous record stays.
    pub fn write<Folder>(&self, disk: &Folder) -> Result<(), StoreError>
    where
        Folder: Disk,
    {
        write_single_frame(disk, file_name::FOUNDING, &encode(file_name::FOUNDING, self)?)
    }
}
