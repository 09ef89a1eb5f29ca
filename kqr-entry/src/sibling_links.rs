use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kqr_tls::{PeerStream, TransportSecurity};
use kqr_types::InstanceId;
use kqr_wire::siblings::SiblingClient;
use tarpc::{
    client, serde_transport,
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

use crate::sibling_link::SiblingLink;

/// Largest frame between siblings.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Connections to sibling entries, opened on first use.
#[derive(Debug)]
pub struct SiblingLinks {
    silence_timeout: Duration,
    security: TransportSecurity,
    links: Mutex<BTreeMap<InstanceId, SiblingLink>>,
}

impl SiblingLinks {
    /// Creates a pool whose connections use `security` and count as silent after `silence_timeout` without an
    /// answer.
    pub fn new(silence_timeout: Duration, security: TransportSecurity) -> Self {
        Self {
            silence_timeout,
            security,
            links: Mutex::default(),
        }
    }

    /// Returns the open connection to `peer`, or opens one to `address`.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened or the other end does not authenticate as `peer`; no call was
    /// sent then.
    pub async fn get(&self, peer: &InstanceId, address: SocketAddr) -> std::io::Result<SiblingLink> {
        if let Some(link) = self.lock().get(peer) {
            return Ok(link.clone());
        }
        let stream = self.security.connect(peer, address).await?;
        let transport = serde_transport::new(frame_stream(stream), Bincode::default());
        let client = SiblingClient::new(client::Config::default(), transport).spawn();
        let link = SiblingLink::new(client, self.silence_timeout);
        // Of two connections that were opened concurrently, all callers share the first one in the map.
        Ok(self.lock().entry(peer.clone()).or_insert(link).clone())
    }

    /// Discards a connection to `peer`: its pending calls fail, and the next call opens a new one.
    pub fn discard(&self, peer: &InstanceId, link: &SiblingLink) {
        link.lost.cancel();
        let mut links = self.lock();
        if links.get(peer).is_some_and(|present| present.lost.is_cancelled()) {
            links.remove(peer);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, SiblingLink>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Splits a stream between siblings into length-delimited frames.
pub fn frame_stream(stream: PeerStream) -> Framed<PeerStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}
