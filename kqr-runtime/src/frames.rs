//! Streams between instances, divided into messages.

use std::{io, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tarpc::{
    serde_transport::{self, Transport},
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};
use tokio::net::TcpStream;

/// Largest message between instances, in bytes: a snapshot with the largest catalog fits.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Longest time for opening a connection: some round trips between data centres and one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Messages on a stream between two instances.
pub(crate) type Messages<Item, Sink> = Transport<TcpStream, Item, Sink, Bincode<Item, Sink>>;

/// Divides a stream into messages.
pub(crate) fn messages_of<Item, Sink>(stream: TcpStream) -> Messages<Item, Sink>
where
    Item: for<'de> Deserialize<'de>,
    Sink: Serialize,
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
/// Fails if the connection can't be opened in time.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(stream) => stream?,
        Err(_) => {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "connecting took too long",
            ));
        }
    };
    stream.set_nodelay(true)?;
    Ok(stream)
}
