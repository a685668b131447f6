//! A response body that is whole, or fed by a task through a bounded channel.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::{FutureExt, Stream, StreamExt};
use http_body::{Frame, SizeHint};
use thiserror::Error;

/// The answer ended before it was whole. Sent through a body, it aborts the connection, so
/// that the receiver can't take the part for the whole.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the answer was cut off before it was whole")]
pub struct BodyError;

impl From<Infallible> for BodyError {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>>>>;

/// A response body.
pub enum HttpBody {
    /// All of it.
    Full(Option<Bytes>),
    /// Chunks as a task produces them; the channel's bound pushes back on the task.
    Chunks(Chunks),
}

impl HttpBody {
    /// A body that is known as a whole.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// No body.
    pub fn empty() -> Self {
        Self::Full(None)
    }

    /// A body that is fed chunk by chunk.
    pub fn chunks(chunks: impl Stream<Item = Result<Bytes, BodyError>> + 'static) -> Self {
        Self::Chunks(Box::pin(chunks))
    }
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
