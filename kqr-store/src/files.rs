use std::io;

use crate::{AppendFile, Disk, Operation, StoreError, file_name, frame::encode_frame, header::encode_header};

/// Creates the empty log of `generation`.
pub(crate) fn create_log<Folder>(disk: &Folder, generation: u64) -> Result<Folder::File, StoreError>
where
    Folder: Disk,
{
    let name = file_name::log(generation);
    let mut log = create_file(disk, &name)?;
    append_and_sync(&mut log, &name, &encode_header())?;
    sync_folder(disk, &name)?;
    Ok(log)
}

/// Replaces the file `name` atomically by one that holds the single frame `payload`.
///
/// The content is written to a temporary file and synced; then the file is renamed and the folder synced.
pub(crate) fn write_single_frame<Folder>(disk: &Folder, name: &str, payload: &[u8]) -> Result<(), StoreError>
where
    Folder: Disk,
{
    let new_name = format!("{name}{}", file_name::NEW_SUFFIX);
    let mut file = create_file(disk, &new_name)?;
    let mut bytes = encode_header();
    bytes.extend(encode_frame(0, payload));
    append_and_sync(&mut file, &new_name, &bytes)?;
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

/// Appends `bytes` to `file` and syncs it. The file is called `name` in errors.
pub(crate) fn append_and_sync<File>(file: &mut File, name: &str, bytes: &[u8]) -> Result<(), StoreError>
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
pub(crate) fn read_file<Folder>(disk: &Folder, name: &str) -> Result<Vec<u8>, StoreError>
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
