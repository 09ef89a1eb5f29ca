use std::io;

/// A folder that holds the files of one store.
pub trait Disk {
    /// A file open for appending.
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

    /// Creates the file `name`, empty, in place of an older one.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be created.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens the file `name` and cuts it to `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is missing or can't be cut.
    fn open_truncated(&self, name: &str, length: u64) -> io::Result<Self::File>;

    /// Renames the file `from` to `to`, in place of an older one.
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

    /// Syncs the folder, so that created, renamed and removed files outlive a crash.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be synced.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A file that is only appended to.
pub trait AppendFile {
    /// Appends all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if not all bytes could be written; some of them may have been.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Syncs content and length.
    ///
    /// # Errors
    ///
    /// Returns an error if what was appended may be lost in a crash.
    fn sync(&mut self) -> io::Result<()>;
}
