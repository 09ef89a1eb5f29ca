use std::{
    fmt,
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
};

use kqr_settings::{Tree, Update, Version};
use prost::Message;

use super::messages;

/// A durable local copy of the applied settings, for instances with a disk.
#[derive(Clone, Debug)]
pub struct SettingsCopy {
    path: PathBuf,
}

/// Error returned when the copy can't be read or written.
#[derive(Debug)]
pub enum CopyError {
    /// An I/O operation failed.
    Io {
        /// Path of the copy.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file is not a settings copy or is damaged.
    Damaged {
        /// Path of the copy.
        path: PathBuf,
        /// Description of the damage.
        detail: String,
    },
}

impl fmt::Display for CopyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { path, source } => write!(f, "settings copy {}: {source}", path.display()),
            Self::Damaged { path, detail } => write!(f, "settings copy {}: {detail}", path.display()),
        }
    }
}

impl std::error::Error for CopyError {}

impl SettingsCopy {
    /// Creates a copy stored at `path`, whose folder must exist. Does not access the file.
    pub fn new(path: PathBuf) -> Self {
        Self { path }
    }

    /// Returns the stored version and its settings, or `None` if there is no file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is damaged. The instance must then start as if it had no copy.
    pub fn load(&self) -> Result<Option<(Version, Tree)>, CopyError> {
        let bytes = match fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(self.io_error(source)),
        };
        let Some((checksum, body)) = bytes.split_first_chunk() else {
            return Err(self.damaged_error(&"the file is shorter than its checksum"));
        };
        if u32::from_le_bytes(*checksum) != crc32fast::hash(body) {
            return Err(self.damaged_error(&"the checksum does not match"));
        }
        let update = messages::Update::decode(body).map_err(|error| self.damaged_error(&error))?;
        let update = Update::try_from(update).map_err(|error| self.damaged_error(&error))?;
        let tree = update.apply(Version(0), &Tree::default());
        let tree = tree.map_err(|error| self.damaged_error(&error))?;
        Ok(Some((update.version, tree)))
    }

    /// Replaces the copy. The new copy is durable once this returns.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written. The previous copy then remains.
    pub fn store(&self, version: Version, tree: &Tree) -> Result<(), CopyError> {
        let body = messages::Update::from_update(Update::snapshot(version, tree), true).encode_to_vec();
        let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
        bytes.extend(body);
        self.replace(&bytes).map_err(|source| self.io_error(source))
    }

    /// Writes and syncs a new file, renames it over the old one and syncs the folder.
    fn replace(&self, bytes: &[u8]) -> io::Result<()> {
        let new = self.path.with_extension("new");
        let mut file = File::create(&new)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new, &self.path)?;
        let folder = self.path.parent().filter(|folder| !folder.as_os_str().is_empty());
        File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
    }

    fn io_error(&self, source: io::Error) -> CopyError {
        let path = self.path.clone();
        CopyError::Io { path, source }
    }

    fn damaged_error(&self, error: &dyn fmt::Display) -> CopyError {
        CopyError::Damaged {
            path: self.path.clone(),
            detail: error.to_string(),
        }
    }
}
