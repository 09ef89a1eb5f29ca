use std::{path::PathBuf, time::SystemTime};

use eyre::{WrapErr, bail, ensure};
use kqr_settings::bootstrap::Instance;
use kqr_store::{FolderDisk, Founding, FoundingId, Owner, RecoveredState, Store};
use kqr_types::{Incarnation, InstanceId};

use crate::Options;

/// Storage incarnation of the founding voters. It is fixed, so that each founder knows the ids of all voters.
pub const FOUNDING_STORAGE: Incarnation = Incarnation(1);

/// Way in which the instance starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The data folder holds the state of the instance.
    Resume,
    /// The data folder holds no state yet, and the instance is to be added to a running system.
    Join,
    /// The data folder holds no state yet, and the instance founds a system with the other founders.
    Found,
}

/// Data folder of this process, locked against use by other processes.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    owner: InstanceId,
    disk: FolderDisk,
    start: Start,
}

impl DataFolder {
    /// Locks the folder and determines how the instance `own` starts.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be used, or if it holds no state yet and the options allow
    /// neither founding nor joining.
    pub fn open(options: &Options, own: &Instance) -> eyre::Result<Self> {
        let path = options.data.clone();
        let folder = path.display();
        let disk = FolderDisk::open(&path).wrap_err_with(|| format!("opening the data folder {folder}"))?;
        let is_unused = Store::is_unused(&disk);
        let is_unused = is_unused.wrap_err_with(|| format!("reading the data folder {folder}"))?;
        let start = match (is_unused, options.found, options.join) {
            (false, ..) => Start::Resume,
            (true, true, _) => Start::Found,
            (true, _, true) => Start::Join,
            (true, false, false) => bail!(
                "the data folder {folder} is empty: give --found to start a new system, or --join to be \
                 added to a running one, also after the loss of a disk"
            ),
        };
        ensure!(
            start != Start::Found || own.founding,
            "{} is not a founding instance: give --join",
            own.id
        );
        Ok(Self {
            owner: own.id.clone(),
            path,
            disk,
            start,
        })
    }

    /// Returns how the instance starts.
    pub fn start(&self) -> Start {
        self.start
    }

    /// Returns the id of the folder for founding a system. Stores `new_id` if the folder has no id yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read or written.
    pub fn begin_founding(&self, new_id: FoundingId) -> eyre::Result<FoundingId> {
        if let Some(founding) = self.founding()? {
            return Ok(founding.own);
        }
        self.write_founding(&Founding::begin(new_id))?;
        Ok(new_id)
    }

    /// Stores the ids of the folders with which the system is founded.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be written.
    pub fn write_founding(&self, founding: &Founding) -> eyre::Result<()> {
        let written = founding.write(&self.disk);
        written.wrap_err_with(|| format!("writing the data folder {}", self.path.display()))
    }

    /// Returns the founding that is stored in the folder, if any.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read.
    pub fn founding(&self) -> eyre::Result<Option<Founding>> {
        let read = Founding::read(&self.disk);
        read.wrap_err_with(|| format!("reading the data folder {}", self.path.display()))
    }

    /// Opens the store, and creates it if the folder holds no state yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is damaged, belongs to another instance, or can't be read or written.
    pub fn into_store(self) -> eyre::Result<(Store<FolderDisk>, RecoveredState)> {
        let storage = match self.start {
            Start::Found => FOUNDING_STORAGE,
            Start::Join | Start::Resume => new_storage_incarnation(),
        };
        let owner = Owner {
            log: "settings".to_owned(),
            instance: self.owner,
        };
        let opened = Store::open(self.disk, &owner, storage);
        let folder = self.path.display();
        let (store, opened) = opened.wrap_err_with(|| format!("reading the data folder {folder}"))?;
        if let Some(torn) = &opened.torn_tail {
            log::warn!(
                "dropped {} unacknowledged bytes at byte {} of {}",
                torn.bytes,
                torn.offset,
                torn.file
            );
        }
        Ok((store, opened))
    }
}

/// Returns the incarnation of a new data folder: the present time in milliseconds since the Unix epoch.
fn new_storage_incarnation() -> Incarnation {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Incarnation(unix.unwrap_or_default().as_millis() as u64)
}
