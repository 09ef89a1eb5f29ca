use std::{collections::BTreeSet, sync::Arc};

use kqr_types::InstanceId;
use rustls::{
    client::verify_server_name,
    pki_types::{CertificateDer, ServerName},
    server::ParsedCertificate,
};

/// Who is at the other end of an accepted stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerIdentity {
    /// The stream is plain: the other end may be anybody.
    Unverified,
    /// The certificate of the other end carries the ids of these instances.
    Verified(Arc<BTreeSet<InstanceId>>),
}

impl PeerIdentity {
    /// Returns whether the other end may speak for `instance`.
    pub fn can_act_as(&self, instance: &InstanceId) -> bool {
        match self {
            Self::Unverified => true,
            Self::Verified(ids) => ids.contains(instance),
        }
    }

    /// Finds those of `known` that the verified `certificate` carries as subject alternative names.
    pub(crate) fn of_certificate(
        certificate: &CertificateDer<'_>,
        known: &BTreeSet<InstanceId>,
    ) -> Result<BTreeSet<InstanceId>, rustls::Error> {
        let certificate = ParsedCertificate::try_from(certificate)?;
        let mut ids = BTreeSet::new();
        for id in known {
            let Ok(name) = ServerName::try_from(id.as_str()) else {
                continue;
            };
            if verify_server_name(&certificate, &name).is_ok() {
                ids.insert(id.clone());
            }
        }
        Ok(ids)
    }
}
