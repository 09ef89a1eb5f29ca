use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use kqr_placement::Target;

/// A slot of a target, which is released on drop.
#[derive(Debug)]
pub struct SlotGuard(pub Arc<Target>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.release_slot();
    }
}

/// The body of a relayed response. It holds the slot of the target until it is dropped.
#[derive(Debug)]
pub struct RelayBody {
    inner: Incoming,
    _slot: SlotGuard,
}

impl RelayBody {
    /// Creates the body of a response of the target whose `slot` is held.
    pub fn new(inner: Incoming, slot: SlotGuard) -> Self {
        Self { inner, _slot: slot }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
