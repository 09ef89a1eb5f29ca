use std::{collections::BTreeSet, fmt, path::Path, sync::Arc};

use kqr_settings::TlsFiles;
use kqr_types::InstanceId;
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    client::Resumption,
    crypto::{CryptoProvider, ring},
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    server::WebPkiClientVerifier,
    version::TLS13,
};

use crate::{PeerIdentity, TlsError};

/// Protocol versions. Both ends always run this program, so older versions are not needed.
const TLS_VERSIONS: &[&rustls::SupportedProtocolVersion] = &[&TLS13];

/// Client and server configurations, built from the files as last read.
pub(crate) struct TlsConfigs {
    /// Configuration for streams that this process opens.
    pub(crate) client: Arc<ClientConfig>,
    /// Configuration for streams that this process accepts.
    pub(crate) server: Arc<ServerConfig>,
}

impl TlsConfigs {
    /// Reads `files`, which must contain a certificate of the instance `own`.
    pub(crate) fn read(files: &TlsFiles, own: &InstanceId) -> Result<Self, TlsError> {
        let chain = read_certificates("reading the certificate", &files.certificate)?;
        check_own_id(&chain, own, &files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key);
        let key = key.map_err(|error| TlsError::new("reading the private key", &files.key, &error))?;
        let authorities = Arc::new(read_authorities(&files.authorities)?);
        let provider = Arc::new(ring::default_provider());
        Ok(Self {
            client: client_config(files, &provider, &authorities, chain.clone(), key.clone_key())?,
            server: server_config(files, &provider, authorities, chain, key)?,
        })
    }
}

impl fmt::Debug for TlsConfigs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TlsConfigs(..)")
    }
}

fn read_certificates(step: &'static str, path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let error = |detail: &dyn fmt::Display| TlsError::new(step, path, detail);
    let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    let certificates: Vec<CertificateDer<'static>> = read.map_err(|cause| error(&cause))?;
    if certificates.is_empty() {
        return Err(error(&"the file contains no certificate"));
    }
    Ok(certificates)
}

fn check_own_id(chain: &[CertificateDer<'_>], own: &InstanceId, path: &Path) -> Result<(), TlsError> {
    let error = |detail: &dyn fmt::Display| TlsError::new("checking the certificate", path, detail);
    let Some(first) = chain.first() else {
        return Err(error(&"the file contains no certificate"));
    };
    let ids = PeerIdentity::of_certificate(first, &BTreeSet::from([own.clone()]));
    if ids.map_err(|cause| error(&cause))?.is_empty() {
        let detail = format!("expected the subject alternative name DNS:{own}");
        return Err(error(&detail));
    }
    Ok(())
}

fn read_authorities(path: &Path) -> Result<RootCertStore, TlsError> {
    const STEP: &str = "reading the authorities";
    let mut authorities = RootCertStore::empty();
    for certificate in read_certificates(STEP, path)? {
        let added = authorities.add(certificate);
        added.map_err(|error| TlsError::new(STEP, path, &error))?;
    }
    Ok(authorities)
}

/// Builds the client configuration, without session resumption: a resumed session would skip the certificate check.
fn client_config(
    files: &TlsFiles,
    provider: &Arc<CryptoProvider>,
    authorities: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Arc<ClientConfig>, TlsError> {
    let error = |cause: rustls::Error| TlsError::new("using the private key", &files.key, &cause);
    let builder = ClientConfig::builder_with_provider(Arc::clone(provider));
    let builder = builder.with_protocol_versions(TLS_VERSIONS).map_err(error)?;
    let builder = builder.with_root_certificates(Arc::clone(authorities));
    let mut config = builder.with_client_auth_cert(chain, key).map_err(error)?;
    config.resumption = Resumption::disabled();
    Ok(Arc::new(config))
}

fn server_config(
    files: &TlsFiles,
    provider: &Arc<CryptoProvider>,
    authorities: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<Arc<ServerConfig>, TlsError> {
    let error = |cause: rustls::Error| TlsError::new("using the private key", &files.key, &cause);
    let verifier = WebPkiClientVerifier::builder_with_provider(authorities, Arc::clone(provider)).build();
    let verifier =
        verifier.map_err(|cause| TlsError::new("using the authorities", &files.authorities, &cause))?;
    let builder = ServerConfig::builder_with_provider(Arc::clone(provider));
    let builder = builder.with_protocol_versions(TLS_VERSIONS).map_err(error)?;
    let builder = builder.with_client_cert_verifier(verifier);
    let mut config = builder.with_single_cert(chain, key).map_err(error)?;
    config.send_tls13_tickets = 0;
    Ok(Arc::new(config))
}
