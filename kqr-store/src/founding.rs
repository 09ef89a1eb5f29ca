use std::{collections::BTreeMap, fmt};

use kqr_types::InstanceId;
use serde::{Deserialize, Serialize};

use crate::{
    Disk, StoreError, file_name,
    files::{read, write_single},
    reader::{encode, read_single},
};

/// Number that a data folder draws when its instance begins to found a system. A new folder draws another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundingId(pub u64);

impl fmt::Display for FoundingId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// With which folders of the other founders a system was founded. It outlives the founding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Founding {
    /// Number of the own folder.
    pub own: FoundingId,
    /// Numbers of the other founders' folders; empty until all of them have answered.
    pub others: BTreeMap<InstanceId, FoundingId>,
}

impl Founding {
    /// Begins a founding with the folder's number `own`.
    pub fn begin(own: FoundingId) -> Self {
        Self {
            own,
            others: BTreeMap::new(),
        }
    }

    /// Returns what `disk` holds, or `None` if its instance has not begun to found a system.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is damaged or can't be read.
    pub fn read<Folder>(disk: &Folder) -> Result<Option<Self>, StoreError>
    where
        Folder: Disk,
    {
        match read(disk, file_name::FOUNDING) {
            Ok(bytes) => read_single(file_name::FOUNDING, &bytes).map(Some),
            Err(StoreError::Missing { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Replaces what `disk` holds; it outlives a crash once this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written; the former one stays.
    pub fn write<Folder>(&self, disk: &Folder) -> Result<(), StoreError>
    where
        Folder: Disk,
    {
        write_single(disk, file_name::FOUNDING, &encode(file_name::FOUNDING, self)?)
    }
}
