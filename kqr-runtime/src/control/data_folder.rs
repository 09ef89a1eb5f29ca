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
    /// Opens the folder. An empty folder becomes that of a founder, or of a member that has yet to join the
    /// log.
    ///
    /// # Errors
    ///
    /// Fails if the folder is corrupt, belongs to another owner, or can't be read or written.
    pub(super) fn open(settings: &ControlSettings) -> eyre::Result<Self> {
        let path = &settings.data_folder;
        Self::open_at(path, settings).wrap_err_with(|| format!("opening data folder {}", path.display()))
    }

    fn open_at(path: &Path, settings: &ControlSettings) -> eyre::Result<Self> {
        let instance = settings.instance_id()?;
        let disk = FolderDisk::open(path)?;
        let founders = read_or_begin_founding(&disk, &instance, settings)?;
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
/// The folder stores them at the founding, because the seeds in the settings may change later.
fn read_or_begin_founding(
    disk: &FolderDisk,
    own: &InstanceId,
    settings: &ControlSettings,
) -> eyre::Result<Option<Vec<InstanceId>>> {
    if let Some(founding) = Founding::read(disk)? {
        let mut founders: Vec<InstanceId> = founding.others.into_keys().collect();
        founders.push(own.clone());
        return Ok(Some(founders));
    }
    let seeds = settings.seed_ids()?;
    let is_founder = settings.is_founding && seeds.contains(own) && Store::is_unused(disk)?;
    if !is_founder {
        return Ok(None);
    }
    let mut founding = Founding::begin(FoundingId(FOUNDING_STORAGE.0));
    for seed in seeds.iter().filter(|seed| *seed != own) {
        founding.others.insert(seed.clone(), founding.own);
    }
    founding.write(disk)?;
    Ok(Some(seeds))
}

/// Returns the storage incarnation of a data folder that is created now. It never equals that of a founder.
fn new_storage_incarnation() -> Incarnation {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let process_bits = u64::from(std::process::id()) & 0xffff;
    Incarnation((unix.unwrap_or_default().as_millis() as u64) << 16 | process_bits)
}
