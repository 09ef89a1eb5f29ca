use eyre::WrapErr;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that a process of the fleet handles: SIGTERM, SIGINT and SIGHUP.
#[derive(Debug)]
pub struct Signals {
    sigterm: Signal,
    sigint: Signal,
    sighup: Signal,
}

/// Action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// Shut down gracefully.
    Stop,
    /// Reload the settings.
    Reload,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails if a handler can't be installed.
    pub fn listen() -> eyre::Result<Self> {
        let install =
            |kind, name: &str| signal(kind).wrap_err_with(|| format!("installing the handler of {name}"));
        Ok(Self {
            sigterm: install(SignalKind::terminate(), "SIGTERM")?,
            sigint: install(SignalKind::interrupt(), "SIGINT")?,
            sighup: install(SignalKind::hangup(), "SIGHUP")?,
        })
    }

    /// Waits for the next signal and returns its action.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.sigterm.recv() => SignalAction::Stop,
            _ = self.sigint.recv() => SignalAction::Stop,
            _ = self.sighup.recv() => SignalAction::Reload,
        }
    }
}
