//! Response bodies: complete ones, and ones that a task streams through a bounded channel.

use std::{
    convert::Infallible,
    future::poll_fn,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::{FutureExt, Stream, StreamExt};
use http_body::{Frame, SizeHint};
use thiserror::Error;

/// The response ended early. Yielded by a body, it aborts the connection, so that the receiver
/// can't mistake the truncated response for a complete one.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the response ended before it was complete")]
pub struct BodyError;

impl From<Infallible> for BodyError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>>>>;

/// The body of an [`HttpResponse`](crate::http_server::HttpResponse).
pub enum HttpBody {
    /// A complete body; `None` if it is empty or has been sent.
    Full(Option<Bytes>),
    /// Chunks that a task produces; a bounded channel applies backpressure to the task.
    Chunks(Chunks),
}

impl HttpBody {
    /// Creates a complete body of known length.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
    }

    /// Creates an empty body.
    pub fn empty() -> Self {
        Self::Full(None)
    }

    /// Creates a body from a stream of chunks. Those before an error are sent first: a connection drops
    /// what it has buffered when it aborts.
    pub fn chunks(chunks: impl Stream<Item = Result<Bytes, BodyError>> + 'static) -> Self {
        Self::Chunks(Box::pin(chunks.then(|chunk| async {
            if chunk.is_err() {
                yield_once().await;
            }
            chunk
        })))
    }
}

/// Returns when the task that waits for this is polled again, as it is at once.
async fn yield_once() {
    let mut has_yielded = false;
    poll_fn(|cx| {
        if std::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

impl http_body::Body for HttpBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks(chunks) => chunks
                .next()
                .poll_unpin(cx)
                .map(|next| next.map(|item| item.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

/// A complete body that is sent in frames. A stream copies what it sends, so a long body in one frame
/// would be held twice.
#[derive(Clone, Debug)]
pub struct FramedBody {
    rest: Bytes,
}

impl FramedBody {
    const FRAME_MAX_BYTES: usize = 64 * 1024;

    /// Creates a body of known length.
    pub fn new(bytes: Bytes) -> Self {
        Self { rest: bytes }
    }
}

impl http_body::Body for FramedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let frame_bytes = self.rest.len().min(Self::FRAME_MAX_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(frame_bytes)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
