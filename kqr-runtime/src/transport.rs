//! Message transport between instances: length-delimited frames over TCP.

use std::{io, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tarpc::{
    serde_transport::{self, Transport},
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};
use tokio::net::TcpStream;

/// Maximum size of a message between instances. A snapshot with the largest catalog fits.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Timeout for opening a connection: some round trips between data centres and one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Transport that receives messages of type `Item` and sends messages of type `SinkItem`.
pub(crate) type MessageTransport<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Creates the message transport on `stream`.
pub(crate) fn framed<Item, SinkItem>(stream: TcpStream) -> MessageTransport<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    serde_transport::new(Framed::new(stream, codec), Bincode::default())
}

/// Opens a connection to another instance.
///
/// # Errors
///
/// Fails if the connection can't be opened within the timeout.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connection = TcpStream::connect(address);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connection).await {
        Ok(stream) => stream?,
        Err(_) => {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the connection attempt timed out",
            ));
        }
    };
    stream.set_nodelay(true)?;
    Ok(stream)
}
