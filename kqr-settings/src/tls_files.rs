use std::path::{Path, PathBuf};

use kqr_types::InstanceId;
use serde::{Deserialize, Serialize};

/// Stands for the id of the instance in a path of [`TlsFiles`].
const INSTANCE: &str = "{instance}";

/// PEM files for mutual TLS between the processes of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// Certificate chain of the instance, its own certificate first.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
    /// Certificates of the authorities that sign those of the instances.
    pub authorities: PathBuf,
}

impl TlsFiles {
    /// Returns the files of `own`; relative paths start at `folder`.
    #[must_use]
    pub fn for_instance(&self, folder: &Path, own: &InstanceId) -> Self {
        let resolve = |path: &Path| {
            let path = path.to_string_lossy().replace(INSTANCE, own.as_str());
            folder.join(path)
        };
        Self {
            certificate: resolve(&self.certificate),
            key: resolve(&self.key),
            authorities: resolve(&self.authorities),
        }
    }
}
