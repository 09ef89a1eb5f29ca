//! Streams between the processes of the system: plain TCP, or TLS with certificates on both ends.
//!
//! [`Security`] opens and accepts [`PeerStream`]s. With TLS, each end checks that the certificate of the other one is
//! signed by a known authority and carries the id of an expected instance. [`Keys`] read the files anew when they change.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod error;
mod file_stamp;
mod incoming;
mod keys;
mod material;
mod peer_identity;
mod security;
mod stream;

pub use error::TlsError;
pub use file_stamp::FileStamp;
pub use incoming::{Incoming, Listening};
pub use keys::Keys;
pub use peer_identity::PeerIdentity;
pub use security::Security;
pub use stream::PeerStream;
