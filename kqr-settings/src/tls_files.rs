use std::path::{Path, PathBuf};

use kqr_types::InstanceId;
use serde::{Deserialize, Serialize};

/// Placeholder for the id of the instance in a path of [`TlsFiles`].
const INSTANCE_PLACEHOLDER: &str = "{instance}";

/// PEM files for mutual TLS between the instances of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// Certificate chain of the instance, leaf certificate first.
    pub certificate: PathBuf,
    /// Private key of the leaf certificate.
    pub key: PathBuf,
    /// Certificates of the authorities that sign the certificates of the instances.
    pub authorities: PathBuf,
}

impl TlsFiles {
    /// Returns the files of the instance `own`; relative paths are resolved against `directory`.
    #[must_use]
    pub fn for_instance(&self, directory: &Path, own: &InstanceId) -> Self {
        let resolve = |path: &Path| {
            let path = path.to_string_lossy().replace(INSTANCE_PLACEHOLDER, own.as_str());
            directory.join(path)
        };
        Self {
            certificate: resolve(&self.certificate),
            key: resolve(&self.key),
            authorities: resolve(&self.authorities),
        }
    }
}
