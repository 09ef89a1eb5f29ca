use std::{collections::BTreeSet, sync::Arc};

use kqr_types::InstanceId;
use rustls::{
    client::verify_server_name,
    pki_types::{CertificateDer, ServerName},
    server::ParsedCertificate,
};

/// Identity of the other end of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerIdentity {
    /// The stream is plain TCP, so the identity of the other end is not verified.
    Unverified,
    /// The certificate of the other end contains the ids of these instances.
    Verified(Arc<BTreeSet<InstanceId>>),
}

impl PeerIdentity {
    /// Returns whether the other end may act as `instance`.
    pub fn can_act_as(&self, instance: &InstanceId) -> bool {
        match self {
            Self::Unverified => true,
            Self::Verified(ids) => ids.contains(instance),
        }
    }

    /// Returns the instances of `known` that the verified `certificate` contains as subject alternative names.
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
