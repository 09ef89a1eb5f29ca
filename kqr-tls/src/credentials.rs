use std::{collections::BTreeSet, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use kqr_settings::TlsFiles;
use kqr_types::InstanceId;
use tokio_util::sync::CancellationToken;

use crate::{FileStamp, TlsError, material::Material};

/// Time between two looks at the files.
const CHECK_EVERY: Duration = Duration::from_secs(2);

/// Certificate, private key and authorities of this process, as its files hold them.
#[derive(Debug)]
pub struct TlsCredentials {
    own: InstanceId,
    known: BTreeSet<InstanceId>,
    files: TlsFiles,
    material: ArcSwap<Material>,
    first_stamp: FileStamp,
}

impl TlsCredentials {
    /// Reads `files` of the instance `own`; `known` are the instances that may connect to it.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read, is no PEM, the key is not that of the certificate, or the certificate does not
    /// carry the id of `own`.
    pub fn read(own: InstanceId, known: BTreeSet<InstanceId>, files: TlsFiles) -> Result<Self, TlsError> {
        let first_stamp = stamp_of(&files);
        let material = Material::read(&files, &own)?;
        Ok(Self {
            own,
            known,
            files,
            material: ArcSwap::from_pointee(material),
            first_stamp,
        })
    }

    /// Reads the files anew whenever they change, until `shutdown`. Files that can't be used are told in the log, and
    /// what was read before stays in force.
    pub async fn watch(&self, shutdown: CancellationToken) {
        let mut seen = self.first_stamp.clone();
        let mut checks = tokio::time::interval(CHECK_EVERY);
        loop {
            tokio::select! {
                _ = checks.tick() => {}
                () = shutdown.cancelled() => return,
            }
            let present = stamp_of(&self.files);
            if present == seen {
                continue;
            }
            seen = present;
            match self.reload() {
                Ok(()) => {
                    log::info!("TLS: the changed certificates and key are in force for new connections");
                }
                Err(error) => log::error!("TLS: {error}; the former certificates and key stay in force"),
            }
        }
    }

    /// Reads the files and puts them in force for new streams.
    ///
    /// # Errors
    ///
    /// Fails as [`read`](Self::read) does; what was read before stays in force then.
    pub fn reload(&self) -> Result<(), TlsError> {
        let material = Material::read(&self.files, &self.own)?;
        self.material.store(Arc::new(material));
        Ok(())
    }

    /// Returns the instances that may connect.
    pub(crate) fn known(&self) -> &BTreeSet<InstanceId> {
        &self.known
    }

    /// Returns what is in force.
    pub(crate) fn material(&self) -> Arc<Material> {
        self.material.load_full()
    }
}

fn stamp_of(files: &TlsFiles) -> FileStamp {
    FileStamp::read(&[&files.certificate, &files.key, &files.authorities])
}
