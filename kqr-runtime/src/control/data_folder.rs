use std::{path::Path, time::SystemTime};

use eyre::WrapErr;
use kqr_agreement::{Configuration, VoterId};
use kqr_store::{FolderDisk, Founding, FoundingId, Owner, RecoveredState, Store};
use kqr_types::{Incarnation, InstanceId};

use super::ControlSettings;

/// Storage incarnation of the founders.
const FOUNDING_STORAGE: Incarnation = Incarnation(1);
/// Name of the replicated log, which is part of the folder's owner.
const LOG_NAME: &str = "fleet";

/// The opened data folder of a control instance.
#[derive(Debug)]
pub(super) struct DataFolder {
    pub(super) store: Store<FolderDisk>,
    pub(super) opened: RecoveredState,
    pub(super) voter: VoterId,
    /// The founding voters if this instance is one of them, else empty.
    pub(super) founding: Configuration,
}

impl DataFolder {
    /// Returns whether the folder is empty and the system is started for the first time, so that its founders
    /// have to be known before the folder is opened.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be read.
    pub(super) fn needs_founders(settings: &ControlSettings) -> eyre::Result<bool> {
        if !settings.is_founding {
            return Ok(false);
        }
        let disk = FolderDisk::open(&settings.data_folder)?;
        Ok(Founding::read(&disk)?.is_none() && Store::is_unused(&disk)?)
    }

    /// Opens the folder. An empty folder becomes that of a founder, if this instance is one of `founders`, or of a
    /// member that has yet to join the log.
    ///
    /// # Errors
    ///
    /// Fails if the folder is corrupt, belongs to another owner, or can't be read or written.
    pub(super) fn open(settings: &ControlSettings, founders: &[InstanceId]) -> eyre::Result<Self> {
        let path = &settings.data_folder;
        Self::open_at(path, settings, founders)
            .wrap_err_with(|| format!("opening data folder {}", path.display()))
    }

    fn open_at(path: &Path, settings: &ControlSettings, founders: &[InstanceId]) -> eyre::Result<Self> {
        let instance = settings.instance_id()?;
        let disk = FolderDisk::open(path)?;
        let founders = read_or_begin_founding(&disk, &instance, founders)?;
        let storage = match founders {
            Some(_) => FOUNDING_STORAGE,
            None => new_storage_incarnation(),
        };
        let owner = Owner {
            log: LOG_NAME.to_owned(),
            instance: instance.clone(),
        };
        let (store, opened) = Store::open(disk, &owner, storage)?;
        if let Some(torn) = &opened.torn_tail {
            let (bytes, offset, file) = (torn.bytes, torn.offset, &torn.file);
            log::warn!("dropped {bytes} unacknowledged bytes at byte {offset} of {file}");
        }
        let voters = founders.unwrap_or_default().into_iter();
        let voters = voters.map(|founder| VoterId::new(founder, FOUNDING_STORAGE));
        Ok(Self {
            voter: VoterId::new(instance, opened.identity.storage),
            founding: Configuration::of_voters(voters),
            store,
            opened,
        })
    }
}

/// Returns the founders of the system if the own instance is one of them.
///
/// The folder stores them, so that they are known after a restart.
fn read_or_begin_founding(
    disk: &FolderDisk,
    own: &InstanceId,
    founders: &[InstanceId],
) -> eyre::Result<Option<Vec<InstanceId>>> {
    if let Some(founding) = Founding::read(disk)? {
        let mut founders: Vec<InstanceId> = founding.others.into_keys().collect();
        founders.push(own.clone());
        return Ok(Some(founders));
    }
    if !founders.contains(own) || !Store::is_unused(disk)? {
        return Ok(None);
    }
    let mut founding = Founding::begin(FoundingId(FOUNDING_STORAGE.0));
    for founder in founders.iter().filter(|founder| *founder != own) {
        founding.others.insert(founder.clone(), founding.own);
    }
    founding.write(disk)?;
    Ok(Some(founders.to_vec()))
}

/// Returns the storage incarnation of a data folder that is created now. It never equals that of a founder.
fn new_storage_incarnation() -> Incarnation {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let process_bits = u64::from(std::process::id()) & 0xffff;
    Incarnation((unix.unwrap_or_default().as_millis() as u64) << 16 | process_bits)
}
