use std::io;

use crate::{AppendFile, Disk, Operation, StoreError, file_name, frame::encode_frame, header::header};

/// Creates the empty log of `generation`.
pub(crate) fn create_log<Folder>(disk: &Folder, generation: u64) -> Result<Folder::File, StoreError>
where
    Folder: Disk,
{
    let name = file_name::log(generation);
    let mut log = create_file(disk, &name)?;
    write(&mut log, &name, &header())?;
    sync_folder(disk, &name)?;
    Ok(log)
}

/// Writes a file of one frame under a new name, syncs it, renames it and syncs the folder.
pub(crate) fn write_single<Folder>(disk: &Folder, name: &str, payload: &[u8]) -> Result<(), StoreError>
where
    Folder: Disk,
{
    let new_name = format!("{name}{}", file_name::NEW);
    let mut file = create_file(disk, &new_name)?;
    let mut bytes = header();
    bytes.extend(encode_frame(0, payload));
    write(&mut file, &new_name, &bytes)?;
    disk.rename(&new_name, name)
        .map_err(|source| StoreError::io(Operation::Rename, &new_name, source))?;
    sync_folder(disk, name)
}

fn create_file<Folder>(disk: &Folder, name: &str) -> Result<Folder::File, StoreError>
where
    Folder: Disk,
{
    disk.create(name)
        .map_err(|source| StoreError::io(Operation::Create, name, source))
}

/// Appends `bytes` and syncs.
pub(crate) fn write<File>(file: &mut File, name: &str, bytes: &[u8]) -> Result<(), StoreError>
where
    File: AppendFile,
{
    file.append(bytes)
        .map_err(|source| StoreError::io(Operation::Append, name, source))?;
    file.sync()
        .map_err(|source| StoreError::io(Operation::Sync, name, source))
}

fn sync_folder<Folder>(disk: &Folder, name: &str) -> Result<(), StoreError>
where
    Folder: Disk,
{
    disk.sync_folder()
        .map_err(|source| StoreError::io(Operation::SyncFolder, name, source))
}

/// Returns the content of the file `name`.
pub(crate) fn read<Folder>(disk: &Folder, name: &str) -> Result<Vec<u8>, StoreError>
where
    Folder: Disk,
{
    disk.read(name).map_err(|source| match source.kind() {
        io::ErrorKind::NotFound => StoreError::Missing {
            file: name.to_owned(),
        },
        _ => StoreError::io(Operation::Read, name, source),
    })
}
