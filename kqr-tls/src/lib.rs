//! Streams between the processes of the system: plain TCP, or TLS with certificates on both ends.
//!
//! [`TransportSecurity`] opens and accepts [`PeerStream`]s. With TLS, each end checks that the certificate of the other one is
//! signed by a known authority and carries the id of an expected instance. [`TlsCredentials`] read the files anew when they change.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod credentials;
mod error;
mod file_stamp;
mod material;
mod peer_identity;
mod peer_listener;
mod security;
mod stream;

pub use credentials::TlsCredentials;
pub use error::TlsError;
pub use file_stamp::FileStamp;
pub use peer_identity::PeerIdentity;
pub use peer_listener::{AcceptedStreams, PeerListener};
pub use security::TransportSecurity;
pub use stream::PeerStream;
