use kqr_agreement::{DurableState, Record};
use kqr_types::Incarnation;

use crate::{
    Disk, Identity, Operation, Owner, RecoveredState, StoreError, file_name,
    files::{append_and_sync, create_log, read_file, write_single_frame},
    frame::encode_frame,
    header::encode_header,
    reader::{encode, read_single_frame, replay_log},
};

/// The durable log and snapshot of one member of a replicated log.
///
/// The files are numbered by generation: each snapshot begins a generation and is followed by a log of its
/// own.
#[derive(Debug)]
pub struct Store<Folder>
where
    Folder: Disk,
{
    disk: Folder,
    log: Folder::File,
    generation: u64,
    next_number: u32,
    durable: DurableState,
    is_failed: bool,
}

impl<Folder> Store<Folder>
where
    Folder: Disk,
{
    /// Returns whether `disk` holds no state yet, so that [`open`](Self::open) would create a new store.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read, or holds state but no identity.
    pub fn is_unused(disk: &Folder) -> Result<bool, StoreError> {
        let names = list(disk)?;
        if names.iter().any(|name| name == file_name::IDENTITY) {
            return Ok(false);
        }
        check_unused(disk, &names).map(|()| true)
    }

    /// Opens the store of `owner` on `disk`. In an empty folder a new store is created, with the storage
    /// incarnation `storage`.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is corrupt, incomplete, of another owner, or of an unsupported format,
    /// or if it can't be read or written.
    pub fn open(
        disk: Folder,
        owner: &Owner,
        storage: Incarnation,
    ) -> Result<(Self, RecoveredState), StoreError> {
        let names = list(&disk)?;
        let is_new = Self::is_unused(&disk)?;
        if is_new {
            create(
                &disk,
                &Identity {
                    owner: owner.clone(),
                    storage,
                },
            )?;
        }
        let identity: Identity =
            read_single_frame(file_name::IDENTITY, &read_file(&disk, file_name::IDENTITY)?)?;
        if identity.owner != *owner {
            return Err(StoreError::WrongOwner { found: identity });
        }
        let generation = latest_generation(&disk, &names)?;
        let mut durable = read_snapshot(&disk, generation)?;
        let log_name = file_name::log(generation);
        let replayed = replay_log(&log_name, &read_file(&disk, &log_name)?, &mut durable)?;
        let log = disk
            .open_truncated(&log_name, replayed.length)
            .map_err(|source| StoreError::io(Operation::Truncate, &log_name, source))?;
        let recovered = RecoveredState {
            identity,
            durable: durable.clone(),
            torn_tail: replayed.torn_tail,
            is_new,
        };
        let store = Self {
            disk,
            log,
            generation,
            next_number: replayed.next_number,
            durable,
            is_failed: false,
        };
        store.remove_stale_files(&names);
        Ok((store, recovered))
    }

    /// Appends `records` with one sync. They are durable when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the records may not be durable. The store then rejects all further records: it
    /// must be reopened, and its user must continue from the state that is recovered then.
    pub fn append(&mut self, records: Vec<Record>) -> Result<(), StoreError> {
        if self.is_failed {
            return Err(StoreError::Failed);
        }
        if records.is_empty() {
            return Ok(());
        }
        self.is_failed = true;
        let has_snapshot = records.iter().any(|record| matches!(record, Record::Snapshot(_)));
        let name = file_name::log(self.generation);
        if !has_snapshot {
            let frame = encode_frame(self.next_number, &encode(&name, &records)?);
            append_and_sync(&mut self.log, &name, &frame)?;
            self.next_number += 1;
        }
        for record in records {
            self.durable.apply(record);
        }
        if has_snapshot {
            self.begin_generation()?;
        }
        self.is_failed = false;
        Ok(())
    }

    /// Closes the files and returns the disk.
    pub fn close(self) -> Folder {
        self.disk
    }

    /// Begins a new generation: writes the whole state as a snapshot, with an empty log after it.
    ///
    /// The log is created before the snapshot, so that a snapshot always has its log.
    fn begin_generation(&mut self) -> Result<(), StoreError> {
        let next = self.generation + 1;
        self.log = create_log(&self.disk, next)?;
        let snapshot = file_name::snapshot(next);
        write_single_frame(&self.disk, &snapshot, &encode(&snapshot, &self.durable)?)?;
        let old_files = [
            file_name::snapshot(self.generation),
            file_name::log(self.generation),
        ];
        self.generation = next;
        self.next_number = 0;
        self.remove_stale_files(&old_files);
        Ok(())
    }

    /// Removes those of the files `names` that belong to other generations or are incomplete. Errors are
    /// ignored: the next open removes what is left.
    fn remove_stale_files(&self, names: &[String]) {
        for name in names {
            let is_stale = file_name::generation(name).is_some_and(|other| other != self.generation);
            if is_stale || name.ends_with(file_name::NEW_SUFFIX) {
                let _ = self.disk.remove(name);
            }
        }
    }
}

fn list<Folder>(disk: &Folder) -> Result<Vec<String>, StoreError>
where
    Folder: Disk,
{
    disk.list()
        .map_err(|source| StoreError::io(Operation::List, "the folder", source))
}

/// Checks that a folder without an identity holds no state: only incomplete files, a founding, or an empty
/// first log.
fn check_unused<Folder>(disk: &Folder, names: &[String]) -> Result<(), StoreError>
where
    Folder: Disk,
{
    for name in names {
        let is_ignored = name.ends_with(file_name::NEW_SUFFIX) || name == file_name::FOUNDING;
        let is_first_log =
            *name == file_name::log(0) && read_file(disk, name)?.len() <= encode_header().len();
        if !is_ignored && !is_first_log {
            let file = file_name::IDENTITY.to_owned();
            return Err(StoreError::Missing { file });
        }
    }
    Ok(())
}

/// Returns the generation of the latest snapshot.
///
/// A log of a later generation is empty, as its snapshot was never completed; records in it mean that the
/// snapshot is missing.
fn latest_generation<Folder>(disk: &Folder, names: &[String]) -> Result<u64, StoreError>
where
    Folder: Disk,
{
    let snapshots = names
        .iter()
        .filter_map(|name| file_name::snapshot_generation(name));
    let latest = snapshots.max().unwrap_or(0);
    for name in names {
        let Some(generation) = file_name::generation(name) else {
            continue;
        };
        if generation > latest && read_file(disk, name)?.len() > encode_header().len() {
            let file = file_name::snapshot(generation);
            return Err(StoreError::Missing { file });
        }
    }
    Ok(latest)
}

/// Creates the first log, then the identity, so that a folder with an identity is complete.
fn create<Folder>(disk: &Folder, identity: &Identity) -> Result<(), StoreError>
where
    Folder: Disk,
{
    create_log(disk, 0)?;
    let payload = encode(file_name::IDENTITY, identity)?;
    write_single_frame(disk, file_name::IDENTITY, &payload)
}

fn read_snapshot<Folder>(disk: &Folder, generation: u64) -> Result<DurableState, StoreError>
where
    Folder: Disk,
{
    if generation == 0 {
        return Ok(DurableState::default());
    }
    let name = file_name::snapshot(generation);
    read_single_frame(&name, &read_file(disk, &name)?)
}
