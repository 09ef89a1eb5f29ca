use std::path::{Path, PathBuf};

use eyre::WrapErr;
use serde::de::DeserializeOwned;

/// A YAML settings file that can be reloaded when its content changes.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    /// Reads the file at `path` and its settings.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or does not contain valid settings.
    pub fn open<Settings>(path: &Path) -> eyre::Result<(Self, Settings)>
    where
        Settings: DeserializeOwned,
    {
        let text = read(path)?;
        let settings = parse(path, &text)?;
        let path = path.to_owned();
        Ok((Self { path, text }, settings))
    }

    /// Reads the file again. Returns the settings if the content has changed since the last read.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or does not contain valid settings. The previous settings then stay
    /// in force; invalid content is reported only once until it changes.
    pub fn reload<Settings>(&mut self) -> eyre::Result<Option<Settings>>
    where
        Settings: DeserializeOwned,
    {
        let text = read(&self.path)?;
        if text == self.text {
            return Ok(None);
        }
        self.text = text;
        parse(&self.path, &self.text).map(Some)
    }
}

fn read(path: &Path) -> eyre::Result<String> {
    let text = std::fs::read_to_string(path);
    text.wrap_err_with(|| format!("reading settings file {}", path.display()))
}

fn parse<Settings>(path: &Path, text: &str) -> eyre::Result<Settings>
where
    Settings: DeserializeOwned,
{
    serde_saphyr::from_str(text).wrap_err_with(|| format!("parsing settings file {}", path.display()))
}
