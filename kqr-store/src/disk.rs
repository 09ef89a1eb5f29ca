use std::io;

/// Access to the folder that holds the files of one store.
pub trait Disk {
    /// A file that is open for appending.
    type File: AppendFile;

    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the content of the file `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is missing or can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates the empty file `name`, replacing an existing one.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be created.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens the file `name` for appending after truncating it to `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is missing or can't be truncated.
    fn open_truncated(&self, name: &str, length: u64) -> io::Result<Self::File>;

    /// Renames the file `from` to `to`, replacing an existing one.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be renamed.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes the file `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be removed.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Syncs the folder, so that the creation, renaming and removal of files survive a crash.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be synced.
    fn sync_folder(&self) -> io::Result<()>;
}

/// An append-only file.
pub trait AppendFile {
    /// Appends all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if not all bytes were written; a prefix of them may have been.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Syncs the content and the length.
    ///
    /// # Errors
    ///
    /// Returns an error if appended bytes may be lost in a crash.
    fn sync(&mut self) -> io::Result<()>;
}
