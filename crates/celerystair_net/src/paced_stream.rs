//! A connection's stream that bounds what its peer can take of the thread: the work of one turn, and
//! the bytes of one response's head. A peer whose bytes are always there would otherwise be read on within
//! one turn, while timers, probes and all other connections wait. See `docs/PLATFORM.md`, "What one peer
//! can take".

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::AsyncRead;
use hyper::rt::{Read, ReadBufCursor, Write};
use thiserror::Error;

use crate::turns::Turn;

/// The most that is read in one turn while a head is awaited: it may hold hundreds of short ones.
const HEAD_TURN_BYTES: usize = 4 * 1024;
/// The most that is read in one turn otherwise.
const TURN_BYTES: usize = 64 * 1024;
/// The most that is read at once: as much as the stream itself buffers.
const READ_BYTES: usize = 8 * 1024;

/// The head of a response, with the interim responses and empty lines before it, is too long.
#[derive(Clone, Copy, Debug, Error)]
#[error("the head and what came before it exceed the limit of {max_bytes} bytes")]
pub struct HeadTooLong {
    /// The limit.
    pub max_bytes: usize,
}

/// Counts the bytes of one head at a time; its clones share the count.
#[derive(Clone, Debug, Default)]
pub struct HeadBytes {
    /// The bytes of the awaited head so far, and the most it may have; `None` while none is awaited.
    awaited: Rc<Cell<Option<(usize, usize)>>>,
}

impl HeadBytes {
    /// Begins to count a head. What is read ahead of its body counts too, so `max_bytes` should be several
    /// times the connection's buffer.
    pub fn begin(&self, max_bytes: usize) {
        self.awaited.set(Some((0, max_bytes)));
    }

    /// Ends the count, as the head has been handed over.
    pub fn end(&self) {
        self.awaited.set(None);
    }

    /// Returns the bytes of the awaited head so far; 0 while none is awaited.
    pub fn known_bytes(&self) -> usize {
        self.awaited.get().map_or(0, |(known_bytes, _)| known_bytes)
    }

    fn add(&self, bytes: usize) -> Result<(), HeadTooLong> {
        let Some((known_bytes, max_bytes)) = self.awaited.get() else {
            return Ok(());
        };
        let known_bytes = known_bytes.saturating_add(bytes);
        self.awaited.set(Some((known_bytes, max_bytes)));
        if known_bytes > max_bytes {
            return Err(HeadTooLong { max_bytes });
        }
        Ok(())
    }

    fn turn_bytes(&self) -> usize {
        self.awaited.get().map_or(TURN_BYTES, |_| HEAD_TURN_BYTES)
    }
}

/// A stream that gives way after a bounded number of bytes, and that ends only where its peer has ended it:
/// the end of what is read on a connection that was reset is an error.
pub struct PacedStream {
    inner: HyperStream<TcpStream>,
    head: HeadBytes,
    has_write_failed: bool,
    /// Bytes that were read since its last turn began, or since it last had nothing to read.
    turn_bytes: usize,
    /// The turn that it waits for.
    turn: Option<Turn>,
}

impl PacedStream {
    /// Creates a stream that reads `stream` and counts heads with `head`.
    pub fn new(stream: TcpStream, head: HeadBytes) -> Self {
        Self {
            inner: HyperStream::new_plain(stream),
            head,
            has_write_failed: false,
            turn_bytes: 0,
            turn: None,
        }
    }

    /// Reads into `cursor` and returns the number of bytes.
    pub(crate) fn poll_read_count(
        &mut self,
        cx: &mut Context<'_>,
        cursor: &mut ReadBufCursor<'_>,
    ) -> Poll<io::Result<usize>> {
        if let Some(turn) = &self.turn {
            ready!(turn.poll(cx));
            self.turn = None;
            self.turn_bytes = 0;
        }
        let turn_max_bytes = self.head.turn_bytes();
        if self.turn_bytes >= turn_max_bytes {
            self.turn = Some(Turn::queue(cx));
            return Poll::Pending;
        }
        let mut bytes = [0; READ_BYTES];
        let room = cursor.remaining().min(turn_max_bytes - self.turn_bytes);
        let room = &mut bytes[..room.min(READ_BYTES)];
        let read = AsyncRead::poll_read(Pin::new(&mut self.inner), cx, room);
        if read.is_pending() {
            self.turn_bytes = 0;
        }
        let count = ready!(read)?;
        if count == 0 && !room.is_empty() {
            self.check_end(cx)?;
        }
        self.turn_bytes += count;
        self.head.add(count).map_err(io::Error::other)?;
        cursor.put_slice(&bytes[..count]);
        Poll::Ready(Ok(count))
    }

    fn observe_write<T>(&mut self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.has_write_failed |= matches!(written, Poll::Ready(Err(_)));
        written
    }

    /// Checks that the peer has ended what is read. The kernel reports a reset to the first call that comes
    /// after it. If that was a write, reading yields the bytes that came before and then an end.
    fn check_end(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.has_write_failed {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        // A pending write may have failed since it was last polled.
        match Write::poll_flush(Pin::new(self), cx) {
            Poll::Ready(flushed) => flushed,
            Poll::Pending => Ok(()),
        }
    }
}

impl Read for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_read_count(cx, &mut cursor))?;
        Poll::Ready(Ok(()))
    }
}

impl Write for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Write::poll_write(Pin::new(&mut self.inner), cx, bytes);
        self.observe_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Write::poll_write_vectored(Pin::new(&mut self.inner), cx, slices);
        self.observe_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let written = Write::poll_flush(Pin::new(&mut self.inner), cx);
        self.observe_write(written)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let written = Write::poll_shutdown(Pin::new(&mut self.inner), cx);
        self.observe_write(written)
    }
}
