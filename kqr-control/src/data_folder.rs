use std::{path::PathBuf, time::SystemTime};

use eyre::{WrapErr, bail, ensure};
use kqr_settings::bootstrap::Instance;
use kqr_store::{FolderDisk, Founding, FoundingId, Opened, Owner, Store};
use kqr_types::{Incarnation, InstanceId};

use crate::Options;

/// Storage incarnation of the founding voters.
pub const FOUNDING_STORAGE: Incarnation = Incarnation(1);

/// How the instance starts with its data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The folder holds its state.
    Again,
    /// The folder is empty, and the instance is to be added to a running system.
    Join,
    /// The folder is empty, and the instance founds a system with others.
    Found,
}

/// The data folder of this process, locked against others.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    owner: InstanceId,
    disk: FolderDisk,
    start: Start,
}

impl DataFolder {
    /// Locks the folder and decides how `own` starts with it.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be used, or is empty while the options do not say what that means.
    pub fn open(options: &Options, own: &Instance) -> eyre::Result<Self> {
        let path = options.data.clone();
        let shown = path.display();
        let disk = FolderDisk::open(&path).wrap_err_with(|| format!("opening the data folder {shown}"))?;
        let is_unused = Store::is_unused(&disk);
        let is_unused = is_unused.wrap_err_with(|| format!("reading the data folder {shown}"))?;
        let start = match (is_unused, options.found, options.join) {
            (false, ..) => Start::Again,
            (true, true, _) => Start::Found,
            (true, _, true) => Start::Join,
            (true, false, false) => bail!(
                "the data folder {shown} is empty: give --found to start a new system, or --join to be added to a \
                 running one, also after the loss of a disk"
            ),
        };
        ensure!(
            start != Start::Found || own.founding,
            "{} is not among the founding instances: give --join",
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

    /// Returns the number that the folder drew for a founding; it draws `fresh` at the first time.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read or written.
    pub fn begin_founding(&self, fresh: FoundingId) -> eyre::Result<FoundingId> {
        if let Some(begun) = self.founding()? {
            return Ok(begun.own);
        }
        self.write_founding(&Founding::begin(fresh))?;
        Ok(fresh)
    }

    /// Notes with which folders the system is founded.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be written.
    pub fn write_founding(&self, founding: &Founding) -> eyre::Result<()> {
        let written = founding.write(&self.disk);
        written.wrap_err_with(|| format!("writing the data folder {}", self.path.display()))
    }

    /// Returns with which folders the system was founded, if the folder was there.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read.
    pub fn founding(&self) -> eyre::Result<Option<Founding>> {
        let read = Founding::read(&self.disk);
        read.wrap_err_with(|| format!("reading the data folder {}", self.path.display()))
    }

    /// Opens the store; an empty folder becomes that of a voter.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is damaged, foreign, or can't be read or written.
    pub fn into_store(self) -> eyre::Result<(Store<FolderDisk>, Opened)> {
        let storage = match self.start {
            Start::Found => FOUNDING_STORAGE,
            Start::Join | Start::Again => new_storage(),
        };
        let owner = Owner {
            log: "settings".to_owned(),
            instance: self.owner,
        };
        let opened = Store::open(self.disk, &owner, storage);
        let shown = self.path.display();
        let (store, opened) = opened.wrap_err_with(|| format!("reading the data folder {shown}"))?;
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

/// Returns the incarnation of a data folder that is created now.
fn new_storage() -> Incarnation {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Incarnation(unix.unwrap_or_default().as_millis() as u64)
}
