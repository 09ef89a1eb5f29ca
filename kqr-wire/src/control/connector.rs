use std::{
    io,
    net::SocketAddr,
    task::{Context, Poll},
};

use futures::future::BoxFuture;
use hyper_util::rt::TokioIo;
use kqr_tls::{PeerStream, TransportSecurity};
use kqr_types::InstanceId;
use tonic::codegen::{Service, http::Uri};

/// Opens the streams of a tonic channel to one instance, ignoring the URI of the channel.
#[derive(Clone, Debug)]
pub(super) struct Connector {
    /// Transport security of the streams.
    pub(super) security: TransportSecurity,
    /// Expected instance at the other end.
    pub(super) peer: InstanceId,
    /// Address on which the instance listens for other instances.
    pub(super) address: SocketAddr,
}

impl Service<Uri> for Connector {
    type Response = TokioIo<PeerStream>;
    type Error = io::Error;
    type Future = BoxFuture<'static, io::Result<TokioIo<PeerStream>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: Uri) -> Self::Future {
        let Self {
            security,
            peer,
            address,
        } = self.clone();
        Box::pin(async move { security.connect(&peer, address).await.map(TokioIo::new) })
    }
}
