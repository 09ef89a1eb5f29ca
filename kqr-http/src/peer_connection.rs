use std::{io, net::SocketAddr};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, StatusCode,
    client::conn::http1::{self, SendRequest},
    header::{self, HeaderValue},
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{BodyLimits, ClientError, ClientOptions, client::format_error_chain, read_body};

/// An HTTP/1 connection that carries one request at a time.
#[derive(Debug)]
pub struct PeerConnection<Peer> {
    address: SocketAddr,
    host: HeaderValue,
    sender: SendRequest<Full<Bytes>>,
    peer: Option<Peer>,
    max_response_bytes: usize,
}

impl<Peer> PeerConnection<Peer> {
    /// Opens a connection to `address`, whose peer is not known yet.
    pub(crate) async fn open(address: SocketAddr, options: ClientOptions) -> Result<Self, ClientError> {
        let not_sent = |cause: String| ClientError::NotSent(cause);
        let connecting = tokio::time::timeout(options.connect_timeout, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ClientError::Refused(format!("connecting to {address}: {error}")));
            }
            Ok(Err(error)) => return Err(not_sent(format!("connecting to {address}: {error}"))),
            Err(_) => return Err(not_sent(format!("connecting to {address}: timed out"))),
        };
        let _ = stream.set_nodelay(true);
        let host =
            HeaderValue::from_str(&address.to_string()).map_err(|error| not_sent(error.to_string()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(format_error_chain(&error)))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        Ok(Self {
            address,
            host,
            sender,
            peer: None,
            max_response_bytes: options.max_response_bytes,
        })
    }

    /// Returns the address of the peer.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the peer that is known to have answered on this connection.
    pub const fn peer(&self) -> Option<&Peer> {
        self.peer.as_ref()
    }

    /// Records that `peer` has answered on this connection.
    pub fn set_peer(&mut self, peer: Peer) {
        self.peer = Some(peer);
    }

    /// Returns whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends `req`, whose URI is a path, once and reads the whole response. The connection must be dropped after a
    /// failure, or if the returned future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed or no complete response arrives within the limits of the body.
    pub async fn exchange(
        &mut self,
        mut req: Request<Full<Bytes>>,
        limit: std::time::Duration,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        req.headers_mut().insert(header::HOST, self.host.clone());
        self.sender
            .ready()
            .await
            .map_err(|error| ClientError::NotSent(format_error_chain(&error)))?;
        let response = self
            .sender
            .send_request(req)
            .await
            .map_err(|error| ClientError::MaybeSent(format_error_chain(&error)))?;
        let status = response.status();
        let limits = BodyLimits {
            max_bytes: self.max_response_bytes,
            timeout: limit,
        };
        let bytes = read_body(response.into_body(), limits).await;
        bytes
            .map(|bytes| (status, bytes))
            .map_err(|error| ClientError::MaybeSent(error.to_string()))
    }
}
