use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_rustls::TlsStream;
use tonic::transport::server::Connected;

use crate::PeerIdentity;

/// A stream to another process of the system.
#[derive(Debug)]
pub struct PeerStream {
    transport: Transport,
    identity: PeerIdentity,
}

/// Underlying byte stream.
#[derive(Debug)]
enum Transport {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

impl PeerStream {
    pub(crate) fn plain(tcp: TcpStream) -> Self {
        Self {
            transport: Transport::Plain(tcp),
            identity: PeerIdentity::Unverified,
        }
    }

    pub(crate) fn verified(tls: TlsStream<TcpStream>, identity: PeerIdentity) -> Self {
        Self {
            transport: Transport::Tls(Box::new(tls)),
            identity,
        }
    }

    /// Returns the identity of the other end.
    pub fn identity(&self) -> &PeerIdentity {
        &self.identity
    }
}

/// Calls a method of the underlying transport.
macro_rules! delegate {
    ($stream:expr, $method:ident $(, $argument:expr)*) => {
        match &mut $stream.get_mut().transport {
            Transport::Plain(tcp) => Pin::new(tcp).$method($($argument),*),
            Transport::Tls(tls) => Pin::new(tls.as_mut()).$method($($argument),*),
        }
    };
}

impl AsyncRead for PeerStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        delegate!(self, poll_read, cx, buf)
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        delegate!(self, poll_write, cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        delegate!(self, poll_flush, cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        delegate!(self, poll_shutdown, cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        delegate!(self, poll_write_vectored, cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        match &self.transport {
            Transport::Plain(tcp) => tcp.is_write_vectored(),
            Transport::Tls(tls) => tls.is_write_vectored(),
        }
    }
}

impl Connected for PeerStream {
    type ConnectInfo = PeerIdentity;

    fn connect_info(&self) -> PeerIdentity {
        self.identity.clone()
    }
}
