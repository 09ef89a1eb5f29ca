use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::{Path, PathBuf},
};

use crate::{AppendFile, Disk, Operation, StoreError};

/// Name of the file whose lock excludes other processes.
const LOCK_FILE: &str = "lock";

/// A folder of the file system, locked exclusively for this process.
#[derive(Debug)]
pub struct FolderDisk {
    path: PathBuf,
    lock: File,
}

/// A file of a [`FolderDisk`].
#[derive(Debug)]
pub struct FolderFile(File);

impl FolderDisk {
    /// Opens and locks the folder at `path`, creating it if it is missing.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Locked`] if another process holds the lock, and [`StoreError::Io`] if the folder
    /// can't be created or locked.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        let lock_error = |source| StoreError::io(Operation::Lock, &path.display().to_string(), source);
        fs::create_dir_all(path).map_err(lock_error)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))
            .map_err(lock_error)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let folder = path.display().to_string();
                return Err(StoreError::Locked { folder });
            }
            Err(TryLockError::Error(source)) => return Err(lock_error(source)),
        }
        let path = path.to_owned();
        Ok(Self { path, lock })
    }

    /// Releases the lock.
    ///
    /// # Errors
    ///
    /// Returns an error if the lock can't be released; it is released in any case when the process ends.
    pub fn close(self) -> io::Result<()> {
        self.lock.unlock()
    }
}

impl Disk for FolderDisk {
    type File = FolderFile;

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<FolderFile> {
        File::create(self.path.join(name)).map(FolderFile)
    }

    fn open_truncated(&self, name: &str, length: u64) -> io::Result<FolderFile> {
        let path = self.path.join(name);
        let file = OpenOptions::new().append(true).open(path)?;
        if file.metadata()?.len() != length {
            file.set_len(length)?;
            file.sync_all()?;
        }
        Ok(FolderFile(file))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl AppendFile for FolderFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }
}
