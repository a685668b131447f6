//! What a server knows of one connection: its bytes, its requests, and whether it ended with a
//! request that was read and not answered.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use celerystair_core::prelude::*;
use compio::net::TcpStream;
use http::{StatusCode, header::CONTENT_LENGTH};
use http_body::{Body, Frame, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::{
    body::{BodyError, HttpBody},
    http_server::Awaited,
    paced_stream::{HeadBytes, PacedStream},
};

/// Why a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionEnd {
    /// Its caller closed or reset it, or what came was no HTTP.
    Caller,
    /// The head of a request did not arrive in time.
    HeadTimeout,
    /// It was idle for too long.
    Idle,
    /// A handler panicked.
    Panic,
    /// A response was broken off, so that its caller can't take it for complete.
    ResponseBroken,
    /// The server stopped.
    Stop,
}

impl ConnectionEnd {
    /// Returns the end's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::HeadTimeout => "head_timeout",
            Self::Idle => "idle",
            Self::Panic => "panic",
            Self::ResponseBroken => "response_broken",
            Self::Stop => "stop",
        }
    }
}

/// A connection that ended, or whose handler panicked, with a request that was read, at least in
/// part, and has no complete response.
#[derive(Clone, Debug)]
pub struct UnansweredRequest {
    /// Why it has none.
    pub end: ConnectionEnd,
    /// The caller's address, if it is known.
    pub caller: Option<SocketAddr>,
    /// Requests that were read before on this connection.
    pub requests_before: u64,
    /// Bytes of a head that was not whole; 0 if the request was handed to the handler.
    pub head_bytes: u64,
    /// The time since the connection was accepted.
    pub connection_age_ms: u64,
    /// The time since the last response was sent, or since the connection was accepted.
    pub since_response_ms: u64,
    /// What else is known, such as a panic's message.
    pub detail: String,
}

/// The state of one connection, shared by its stream, its requests and the task that drives it.
#[derive(Debug)]
pub(crate) struct ConnectionWatch {
    caller: Option<SocketAddr>,
    accepted_unix_ms: u64,
    idle_since_unix_ms: Cell<u64>,
    /// When the first byte after the last request was read, and how many were.
    head_since_unix_ms: Cell<u64>,
    head_bytes: Cell<u64>,
    requests: Cell<u64>,
    /// Requests whose handler or response is under way.
    running: Cell<u64>,
    /// Requests that were dropped without a complete response.
    dropped: Cell<u64>,
    is_broken: Cell<bool>,
    is_flushed: Cell<bool>,
}

impl ConnectionWatch {
    pub(crate) fn new(stream: &TcpStream) -> Rc<Self> {
        let now = now_unix_ms();
        Rc::new(Self {
            caller: stream.peer_addr().ok(),
            accepted_unix_ms: now,
            idle_since_unix_ms: Cell::new(now),
            head_since_unix_ms: Cell::default(),
            head_bytes: Cell::default(),
            requests: Cell::default(),
            running: Cell::default(),
            dropped: Cell::default(),
            is_broken: Cell::default(),
            is_flushed: Cell::new(true),
        })
    }

    /// Returns what the connection waits for, whether or not a head has begun to arrive; `None` while a
    /// request runs or its response is being sent.
    pub(crate) fn awaited(&self) -> Option<Awaited> {
        let since_unix_ms = self.idle_since_unix_ms.get();
        let awaited = if self.requests.get() == 0 {
            Awaited::FirstRequest { since_unix_ms }
        } else {
            Awaited::NextRequest { since_unix_ms }
        };
        (!self.is_busy()).then_some(awaited)
    }

    /// Returns whether a request was answered and nothing of the next has been read.
    pub(crate) fn is_between_requests(&self) -> bool {
        self.requests.get() > 0 && self.head_bytes.get() == 0 && !self.is_busy()
    }

    fn is_busy(&self) -> bool {
        self.running.get() > 0 || !self.is_flushed.get()
    }

    /// Returns when the first byte was read of a head that is not whole, or possibly of the rest of a
    /// body that its handler did not want.
    pub(crate) fn head_begun_unix_ms(&self) -> Option<u64> {
        let has_begun = self.running.get() == 0 && self.head_bytes.get() > 0;
        has_begun.then(|| self.head_since_unix_ms.get())
    }

    /// Counts a request as running until the guard is dropped.
    pub(crate) fn start_request(self: &Rc<Self>, is_head: bool) -> RequestGuard {
        self.head_bytes.set(0);
        self.requests.set(self.requests.get() + 1);
        self.running.set(self.running.get() + 1);
        RequestGuard {
            watch: self.clone(),
            is_bodiless: is_head,
            left_bytes: None,
            is_answered: false,
        }
    }

    /// Returns the request that a connection which has ended so leaves without a complete response, if
    /// there is one.
    pub(crate) fn unanswered(
        &self,
        end: ConnectionEnd,
        detail: String,
    ) -> Option<UnansweredRequest> {
        let is_running = self.running.get() + self.dropped.get() > 0;
        let head_bytes = if is_running { 0 } else { self.head_bytes.get() };
        let is_broken = self.is_broken.get() && end == ConnectionEnd::Caller;
        (is_running || head_bytes > 0).then(|| {
            let now = now_unix_ms();
            UnansweredRequest {
                end: if is_broken {
                    ConnectionEnd::ResponseBroken
                } else {
                    end
                },
                caller: self.caller,
                requests_before: self.requests.get().saturating_sub(u64::from(is_running)),
                head_bytes,
                connection_age_ms: now.saturating_sub(self.accepted_unix_ms),
                since_response_ms: now.saturating_sub(self.idle_since_unix_ms.get()),
                detail,
            }
        })
    }

    fn record_read(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        if self.head_bytes.get() == 0 {
            self.head_since_unix_ms.set(now_unix_ms());
        }
        let known = self.head_bytes.get();
        self.head_bytes.set(known.saturating_add(bytes as u64));
    }

    fn record_flushed(&self) {
        if !self.is_flushed.replace(true) {
            self.idle_since_unix_ms.set(now_unix_ms());
        }
    }
}

/// Counts a request as running; it is unanswered if its response does not end before.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    watch: Rc<ConnectionWatch>,
    /// Whether the response has no body, whatever length it declares.
    is_bodiless: bool,
    /// How many bytes the response lacks of the length that it declares, if it declares one.
    left_bytes: Option<u64>,
    is_answered: bool,
}

impl RequestGuard {
    /// Returns a response whose end is watched.
    pub(crate) fn watch_response(
        mut self,
        response: http::Response<HttpBody>,
    ) -> http::Response<WatchedBody> {
        let length = response.headers().get(CONTENT_LENGTH);
        self.left_bytes = length.and_then(|length| length.to_str().ok()?.parse().ok());
        let status = response.status();
        self.is_bodiless |= matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        self.is_answered = self.has_ended(response.body().is_end_stream());
        response.map(|inner| WatchedBody { inner, guard: self })
    }
}

impl RequestGuard {
    /// Returns whether the response is complete. One that declares a length ends with it: its body may
    /// not be read any further, or may end sooner.
    fn has_ended(&self, has_body_ended: bool) -> bool {
        let has_all_bytes = self.left_bytes.map_or(has_body_ended, |left| left == 0);
        self.is_bodiless || has_all_bytes
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let watch = &self.watch;
        watch.running.set(watch.running.get().saturating_sub(1));
        // What was read until now belongs to the request, such as its body.
        watch.head_bytes.set(0);
        if !self.is_answered {
            watch.dropped.set(watch.dropped.get() + 1);
        }
    }
}

/// A response's body whose end is watched.
pub(crate) struct WatchedBody {
    inner: HttpBody,
    guard: RequestGuard,
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        let has_body_ended = match &frame {
            Some(Err(_)) => {
                self.guard.watch.is_broken.set(true);
                return Poll::Ready(frame);
            }
            Some(Ok(frame)) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
                let left_bytes = &mut self.guard.left_bytes;
                *left_bytes = left_bytes.map(|left| left.saturating_sub(bytes));
                self.inner.is_end_stream()
            }
            None => true,
        };
        self.guard.is_answered = self.guard.has_ended(has_body_ended);
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A connection's stream whose bytes are watched.
pub(crate) struct WatchedStream {
    inner: PacedStream,
    watch: Rc<ConnectionWatch>,
}

impl WatchedStream {
    pub(crate) fn new(stream: TcpStream, watch: Rc<ConnectionWatch>) -> Self {
        Self {
            // The head of a request is limited by its buffer and its time.
            inner: PacedStream::new(stream, HeadBytes::default()),
            watch,
        }
    }
}

impl Read for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let count = ready!(self.inner.poll_read_count(cx, &mut cursor))?;
        self.watch.record_read(count);
        Poll::Ready(Ok(()))
    }
}

impl Write for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.watch.is_flushed.set(false);
        Write::poll_write(Pin::new(&mut self.inner), cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.watch.is_flushed.set(false);
        Write::poll_write_vectored(Pin::new(&mut self.inner), cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Write::poll_flush(Pin::new(&mut self.inner), cx))?;
        self.watch.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Write::poll_shutdown(Pin::new(&mut self.inner), cx)
    }
}
