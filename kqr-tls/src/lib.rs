//! Streams between the processes of the system: plain TCP or mutual TLS.
//!
//! [`TransportSecurity`] opens and accepts [`PeerStream`]s. With TLS, each end checks that the certificate of the other
//! end is signed by a known authority and contains the id of an expected instance. [`TlsCredentials`] are reloaded when
//! their files change.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod credentials;
mod error;
mod file_stamp;
mod peer_identity;
mod peer_listener;
mod stream;
mod tls_configs;
mod transport_security;

pub use credentials::TlsCredentials;
pub use error::TlsError;
pub use file_stamp::FileStamp;
pub use peer_identity::PeerIdentity;
pub use peer_listener::{AcceptedStreams, PeerListener};
pub use stream::PeerStream;
pub use transport_security::TransportSecurity;
