use eyre::WrapErr;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that a process of the fleet obeys.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// End gracefully.
    Stop,
    /// Read the settings again.
    Reload,
}

impl Signals {
    /// Begins to listen.
    ///
    /// # Errors
    ///
    /// Fails if a signal can't be listened for.
    pub fn listen() -> eyre::Result<Self> {
        let listen = |kind, name: &str| signal(kind).wrap_err_with(|| format!("listening for {name}"));
        Ok(Self {
            terminate: listen(SignalKind::terminate(), "SIGTERM")?,
            interrupt: listen(SignalKind::interrupt(), "SIGINT")?,
            reload: listen(SignalKind::hangup(), "SIGHUP")?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.reload.recv() => SignalAction::Reload,
        }
    }
}
