use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::ConnectionTicket;

/// A TCP stream that records its progress.
#[derive(Debug)]
pub(crate) struct TrackedIo {
    stream: TcpStream,
    ticket: ConnectionTicket,
    is_write_blocked: bool,
    /// Whether nothing was received yet.
    is_new: bool,
}

/// Beginning of the first bytes of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI ";

impl TrackedIo {
    pub(crate) const fn new(stream: TcpStream, ticket: ConnectionTicket) -> Self {
        Self {
            stream,
            ticket,
            is_write_blocked: false,
            is_new: true,
        }
    }

    /// Records the result of a write.
    fn record_write(&mut self, result: &Poll<io::Result<usize>>) {
        let is_blocked = result.is_pending();
        if is_blocked != self.is_write_blocked || !is_blocked {
            self.is_write_blocked = is_blocked;
            self.ticket.record_write(is_blocked);
        }
    }
}

impl AsyncRead for TrackedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received = &buf.filled()[filled..];
        if !received.is_empty() {
            if self.is_new && received.starts_with(HTTP2_PREFACE) {
                self.ticket.record_multiplexed();
            }
            self.is_new = false;
            self.ticket.record_read(received.len());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
