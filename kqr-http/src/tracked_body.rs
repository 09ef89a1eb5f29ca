use std::{
    pin::Pin,
    task::{Context, Poll},
};

use hyper::body::{Body, Frame, SizeHint};

use crate::RequestScope;

/// The body of a response, whose request stays open until it is sent or dropped.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    body: B,
    _scope: RequestScope,
}

impl<B> TrackedBody<B> {
    pub(crate) const fn new(body: B, scope: RequestScope) -> Self {
        Self { body, _scope: scope }
    }
}

impl<B> Body for TrackedBody<B>
where
    B: Body + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
