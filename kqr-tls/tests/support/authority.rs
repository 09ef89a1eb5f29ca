//! Certificate authority that signs the certificates of instances in tests.
#![allow(dead_code)]

use std::{fs, path::Path};

use kqr_settings::TlsFiles;
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};

pub struct Authority {
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    pub fn new(name: &str) -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key).unwrap().pem();
        let issuer = Issuer::new(params, key);
        Self { pem, issuer }
    }

    /// Returns the authority's own certificate.
    pub fn pem(&self) -> &str {
        &self.pem
    }

    /// Returns a certificate for `name` and its private key.
    pub fn sign(&self, name: &str) -> (String, String) {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        (certificate.pem(), key.serialize_pem())
    }

    /// Writes `FILE.pem` and `FILE.key` with a certificate for `name`, and `authorities.pem`.
    pub fn write(&self, folder: &Path, file: &str, name: &str) -> TlsFiles {
        let (certificate, key) = self.sign(name);
        let files = TlsFiles {
            certificate: folder.join(format!("{file}.pem")),
            key: folder.join(format!("{file}.key")),
            authorities: folder.join("authorities.pem"),
        };
        fs::write(&files.certificate, certificate).unwrap();
        fs::write(&files.key, key).unwrap();
        fs::write(&files.authorities, self.pem()).unwrap();
        files
    }
}
