use std::{collections::BTreeSet, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use kqr_settings::TlsFiles;
use kqr_types::InstanceId;
use tokio_util::sync::CancellationToken;

use crate::{FileStamp, TlsError, tls_configs::TlsConfigs};

/// Interval at which the files are checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Certificate, private key and certificate authorities of this process, as last read from their files.
#[derive(Debug)]
pub struct TlsCredentials {
    own: InstanceId,
    known: BTreeSet<InstanceId>,
    files: TlsFiles,
    configs: ArcSwap<TlsConfigs>,
    initial_stamp: FileStamp,
}

impl TlsCredentials {
    /// Reads the `files` of the instance `own`; `known` are the instances that may connect to it.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or is not valid PEM, if the key does not match the certificate, or if the
    /// certificate does not contain the id of `own`.
    pub fn read(own: InstanceId, known: BTreeSet<InstanceId>, files: TlsFiles) -> Result<Self, TlsError> {
        let initial_stamp = read_stamp(&files);
        let configs = TlsConfigs::read(&files, &own)?;
        Ok(Self {
            own,
            known,
            files,
            configs: ArcSwap::from_pointee(configs),
            initial_stamp,
        })
    }

    /// Reloads the files whenever they change, until `shutdown`. Errors are logged, and the previous credentials remain
    /// in use.
    pub async fn watch(&self, shutdown: CancellationToken) {
        let mut last_stamp = self.initial_stamp.clone();
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
        loop {
            tokio::select! {
                _ = checks.tick() => {}
                () = shutdown.cancelled() => return,
            }
            let stamp = read_stamp(&self.files);
            if stamp == last_stamp {
                continue;
            }
            last_stamp = stamp;
            match self.reload() {
                Ok(()) => {
                    log::info!("TLS: new connections use the changed certificates and key");
                }
                Err(error) => log::error!("TLS: {error}; the previous certificates and key remain in use"),
            }
        }
    }

    /// Reloads the files and uses them for new streams.
    ///
    /// # Errors
    ///
    /// Fails as [`read`](Self::read) does; the previous credentials then remain in use.
    pub fn reload(&self) -> Result<(), TlsError> {
        let configs = TlsConfigs::read(&self.files, &self.own)?;
        self.configs.store(Arc::new(configs));
        Ok(())
    }

    /// Returns the instances that may connect.
    pub(crate) fn known(&self) -> &BTreeSet<InstanceId> {
        &self.known
    }

    /// Returns the current TLS configurations.
    pub(crate) fn configs(&self) -> Arc<TlsConfigs> {
        self.configs.load_full()
    }
}

fn read_stamp(files: &TlsFiles) -> FileStamp {
    FileStamp::read(&[&files.certificate, &files.key, &files.authorities])
}
