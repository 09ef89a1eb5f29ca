use std::{
    fs,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use eyre::{WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};

/// Time between two looks at whether a process has ended.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// A program of the system with the process that runs it, if one does. Only this process is ever signalled.
#[derive(Debug)]
pub struct Program {
    name: String,
    path: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Program {
    /// Creates a program at `path`, whose settings and log are kept in `folder`.
    pub fn new(name: &str, path: &Path, folder: &Path) -> Self {
        Self {
            name: name.to_owned(),
            path: path.to_owned(),
            folder: folder.to_owned(),
            child: None,
        }
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns in how many lines of its log the program has written `text`.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be read.
    pub fn count_log_lines(&self, text: &str) -> eyre::Result<usize> {
        let log = fs::read(self.log_path())?;
        let log = String::from_utf8_lossy(&log);
        Ok(log.lines().filter(|line| line.contains(text)).count())
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }

    /// Returns the settings file.
    pub fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.yaml", self.name))
    }

    /// Starts a process with `settings`.
    ///
    /// # Errors
    ///
    /// Fails if a process runs already, or none can be started.
    pub fn start(&mut self, settings: &str) -> eyre::Result<()> {
        if self.child.is_some() {
            return Err(eyre!("{} runs already", self.name));
        }
        fs::write(self.settings_path(), settings)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path())?;
        let child = Command::new(&self.path)
            .arg("--config")
            .arg(self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn();
        self.child = Some(child.wrap_err_with(|| format!("starting {}", self.path.display()))?);
        Ok(())
    }

    /// Sends `signal` to the process, if one runs.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let id = Pid::from_raw(i32::try_from(child.id())?).ok_or_else(|| eyre!("process 0"))?;
        kill_process(id, signal).wrap_err_with(|| format!("signalling {}", self.name))
    }

    /// Kills the process, if one runs.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be ended.
    pub fn kill(&mut self) -> eyre::Result<()> {
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Waits for the end of a process that was told to end; kills it after `limit`. Returns whether it ended well.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be watched.
    pub async fn wait(&mut self, limit: Duration) -> eyre::Result<bool> {
        let Some(mut child) = self.child.take() else {
            return Ok(true);
        };
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if let Some(status) = child.try_wait()? {
                return Ok(status.success());
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        }
        child.kill()?;
        child.wait()?;
        Ok(false)
    }

    /// Returns whether the process has ended though nobody ended it.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be watched.
    pub fn has_exited_unexpectedly(&mut self) -> eyre::Result<bool> {
        match &mut self.child {
            Some(child) => Ok(child.try_wait()?.is_some()),
            None => Ok(false),
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            log::warn!("ending {}: {error}", self.name);
        }
    }
}
