use std::{
    fs,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use eyre::{WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};

/// Interval between checks for the exit of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A program of the system and the process that runs it, if any. Signals are sent to this process only.
#[derive(Debug)]
pub struct Program {
    name: String,
    path: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Program {
    /// Creates a program at `path` that has its settings and log in `folder`.
    pub fn new(name: &str, path: &Path, folder: &Path) -> Self {
        Self {
            name: name.to_owned(),
            path: path.to_owned(),
            folder: folder.to_owned(),
            child: None,
        }
    }

    /// Returns the name that its files in the folder have.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the number of lines of the log that contain `text`.
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

    /// Returns the path of the settings file.
    pub fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.yaml", self.name))
    }

    /// Writes the settings file, which a running process reads when it reloads its settings.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be written.
    pub fn write_settings(&self, settings: &str) -> eyre::Result<()> {
        fs::write(self.settings_path(), settings)
            .wrap_err_with(|| format!("writing the settings of {}", self.name))
    }

    /// Starts a process with `settings`.
    ///
    /// # Errors
    ///
    /// Fails if a process is already running, or can't be started.
    pub fn start(&mut self, settings: &str) -> eyre::Result<()> {
        if self.child.is_some() {
            return Err(eyre!("{} is already running", self.name));
        }
        self.write_settings(settings)?;
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

    /// Sends `signal` to the process, if it is running.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let id = Pid::from_raw(i32::try_from(child.id())?).ok_or_else(|| eyre!("process id 0 is invalid"))?;
        kill_process(id, signal).wrap_err_with(|| format!("sending a signal to {}", self.name))
    }

    /// Kills the process, if it is running.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be killed.
    pub fn kill(&mut self) -> eyre::Result<()> {
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Waits for the exit of a process that was told to stop, and kills it after `limit`. Returns whether it
    /// exited successfully.
    ///
    /// # Errors
    ///
    /// Fails if the state of the process can't be read.
    pub async fn wait(&mut self, limit: Duration) -> eyre::Result<bool> {
        let Some(mut child) = self.child.take() else {
            return Ok(true);
        };
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = child.try_wait()? {
                return Ok(status.success());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        child.kill()?;
        child.wait()?;
        Ok(false)
    }

    /// Returns whether the process has exited without [`Program::kill`] or [`Program::wait`].
    ///
    /// # Errors
    ///
    /// Fails if the state of the process can't be read.
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
            log::warn!("killing {}: {error}", self.name);
        }
    }
}
