use kqr_agreement::{DurableState, Record};
use kqr_types::Incarnation;

use crate::{
    Disk, Identity, Operation, Owner, RecoveredState, StoreError, file_name,
    files::{create_log, read, write, write_single},
    frame::encode_frame,
    header::header,
    reader::{encode, read_log, read_single},
};

/// The durable state of one member of a replicated log.
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
    /// Returns whether `disk` holds no state yet, so that [`open`](Self::open) will create it.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read, or holds state without its identity.
    pub fn is_unused(disk: &Folder) -> Result<bool, StoreError> {
        let names = list(disk)?;
        if names.iter().any(|name| name == file_name::IDENTITY) {
            return Ok(false);
        }
        check_unused(disk, &names).map(|()| true)
    }

    /// Opens the store of `owner` on `disk`; an empty folder becomes a store with the storage incarnation `storage`.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is damaged, incomplete, of another owner or format, or can't be read or written.
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
        let identity: Identity = read_single(file_name::IDENTITY, &read(&disk, file_name::IDENTITY)?)?;
        if identity.owner != *owner {
            return Err(StoreError::WrongOwner { found: identity });
        }
        let generation = latest_generation(&disk, &names)?;
        let mut durable = read_snapshot(&disk, generation)?;
        let log_name = file_name::log(generation);
        let content = read_log(&log_name, &read(&disk, &log_name)?, &mut durable)?;
        let log = disk
            .open_truncated(&log_name, content.length)
            .map_err(|source| StoreError::io(Operation::Truncate, &log_name, source))?;
        let opened = RecoveredState {
            identity,
            durable: durable.clone(),
            torn_tail: content.torn_tail,
            is_new,
        };
        let store = Self {
            disk,
            log,
            generation,
            next_number: content.next_number,
            durable,
            is_failed: false,
        };
        store.remove_leftovers(&names);
        Ok((store, opened))
    }

    /// Appends `records` with one sync. After it returns they outlive a crash.
    ///
    /// # Errors
    ///
    /// Returns an error if the records may not be durable. The store refuses all further records: it must be opened
    /// anew, and whoever relied on its state must start from what is found then.
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
            write(&mut self.log, &name, &frame)?;
            self.next_number += 1;
        }
        for record in records {
            self.durable.apply(record);
        }
        if has_snapshot {
            self.roll()?;
        }
        self.is_failed = false;
        Ok(())
    }

    /// Closes the files and returns the disk.
    pub fn close(self) -> Folder {
        self.disk
    }

    /// Writes the whole state as a snapshot, followed by an empty log.
    fn roll(&mut self) -> Result<(), StoreError> {
        let next = self.generation + 1;
        self.log = create_log(&self.disk, next)?;
        let snapshot = file_name::snapshot(next);
        write_single(&self.disk, &snapshot, &encode(&snapshot, &self.durable)?)?;
        let old = [
            file_name::snapshot(self.generation),
            file_name::log(self.generation),
        ];
        self.generation = next;
        self.next_number = 0;
        self.remove_leftovers(&old);
        Ok(())
    }

    /// Removes files of other generations and unfinished ones. A file that stays is removed at the next open.
    fn remove_leftovers(&self, names: &[String]) {
        for name in names {
            let is_other = file_name::generation(name).is_some_and(|other| other != self.generation);
            if is_other || name.ends_with(file_name::NEW) {
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

/// Checks that a folder without identity holds no state.
fn check_unused<Folder>(disk: &Folder, names: &[String]) -> Result<(), StoreError>
where
    Folder: Disk,
{
    for name in names {
        let is_unfinished = name.ends_with(file_name::NEW) || name == file_name::FOUNDING;
        let is_first_log = *name == file_name::log(0) && read(disk, name)?.len() <= header().len();
        if !is_unfinished && !is_first_log {
            let file = file_name::IDENTITY.to_owned();
            return Err(StoreError::Missing { file });
        }
    }
    Ok(())
}

/// Returns the generation of the latest snapshot. The log of a later one may be there, but it is empty: the snapshot
/// was never finished.
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
        if generation > latest && read(disk, name)?.len() > header().len() {
            let file = file_name::snapshot(generation);
            return Err(StoreError::Missing { file });
        }
    }
    Ok(latest)
}

/// Creates the first log, then the identity: a folder with an identity is complete.
fn create<Folder>(disk: &Folder, identity: &Identity) -> Result<(), StoreError>
where
    Folder: Disk,
{
    create_log(disk, 0)?;
    let payload = encode(file_name::IDENTITY, identity)?;
    write_single(disk, file_name::IDENTITY, &payload)
}

fn read_snapshot<Folder>(disk: &Folder, generation: u64) -> Result<DurableState, StoreError>
where
    Folder: Disk,
{
    if generation == 0 {
        return Ok(DurableState::default());
    }
    let name = file_name::snapshot(generation);
    read_single(&name, &read(disk, &name)?)
}
