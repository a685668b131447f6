//! An HTTP/1.1 server with one task per connection, whose graceful shutdown resets no connection.

use std::{
    cell::Cell,
    convert::Infallible,
    future::poll_fn,
    io,
    net::SocketAddr,
    panic::AssertUnwindSafe,
    pin::{Pin, pin},
    rc::Rc,
    task::Poll,
};

use celerystair_core::{
    prelude::*,
    time::{before_deadline, clock_scale},
};
use compio::net::{TcpListener, TcpStream};
use futures_util::{
    FutureExt,
    future::{Either, select},
};
use hyper::{body::Incoming, rt::Write, server::conn::http1, service::service_fn};
use thiserror::Error;

use crate::{
    body::HttpBody,
    connection_watch::{ConnectionEnd, ConnectionWatch, UnansweredRequest, WatchedStream},
    json::typed_response,
    timer::ConnectionTimer,
};

/// A request whose body has not been read yet.
pub type HttpRequest = http::Request<Incoming>;

/// The response to an [`HttpRequest`].
pub type HttpResponse = http::Response<HttpBody>;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Awaited {
    /// Its first request.
    FirstRequest {
        /// When it was accepted.
        since_unix_ms: u64,
    },
    /// The next request.
    NextRequest {
        /// When the response before it had been sent.
        since_unix_ms: u64,
    },
    /// The rest of a request's head.
    RestOfHead {
        /// When its first byte was read.
        since_unix_ms: u64,
    },
}

/// Limits of one connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// The largest request head in bytes, at least 8 KiB; `None` for hyper's default. Holds for the
    /// connection's life.
    pub head_max_bytes: Option<usize>,
    /// Until when it waits. Asked anew when that time is over, so that it may have become later.
    pub until_unix_ms: u64,
}

impl ConnectionLimits {
    fn to_builder(self) -> http1::Builder {
        // hyper panics on a smaller buffer.
        const HEAD_MIN_BYTES: usize = 8192;
        let mut builder = http1::Builder::new();
        builder.timer(ConnectionTimer);
        if let Some(bytes) = self.head_max_bytes {
            builder.max_buf_size(bytes.max(HEAD_MIN_BYTES));
        }
        // hyper's own limit is fixed at the accept, and ends a connection whether or not a part of a
        // request has been read.
        builder.header_read_timeout(None);
        builder
    }
}

/// A failure to listen on an address.
#[derive(Debug, Error)]
#[error("failed to listen on {address}: {error}")]
pub struct ListenError {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The underlying error.
    pub error: io::Error,
}

impl ListenError {
    /// Returns a function for `map_err` that attributes an error to `address`.
    pub fn at(address: SocketAddr) -> impl Fn(io::Error) -> Self {
        move |error| Self { address, error }
    }
}

/// Binds a listener to `address`, with `SO_REUSEADDR` so that a restarted process can bind at once.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Serves HTTP/1.1 until `stop` drains, then waits for the open connections and returns.
///
/// Each connection runs in a task of its own. A handler that panics is answered with 500. While draining, a connection finishes its current
/// request and closes. When `stop` ends, the remaining connections are cut off.
///
/// # Errors
/// An error of the listener that is not transient.
pub async fn serve_http<F, R>(listener: TcpListener, stop: Stop, handle: F) -> io::Result<()>
where
    F: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    let draining = Draining::after_notice(0);
    serve_connections(listener, stop, draining, default_limits, |_| {}, handle).await
}

/// Is called as a listener begins to close.
pub type CloseReporter = Box<dyn Fn(Option<&io::Error>)>;

/// How a server goes on once its stop begins to drain.
pub struct Draining {
    /// How long it serves as before, in milliseconds.
    pub notice_ms: u64,
    /// Is told when the listener begins to close, with an error if it can't turn new connections away
    /// meanwhile.
    pub report_close: CloseReporter,
}

impl Draining {
    /// Returns a server's behaviour that stops accepting connections after `notice_ms`.
    pub fn after_notice(notice_ms: u64) -> Self {
        Self {
            notice_ms,
            report_close: Box::new(|_| {}),
        }
    }
}

/// Limits of servers whose callers are told none.
pub fn default_limits(awaited: Awaited) -> ConnectionLimits {
    const WAIT_MAX_MS: u64 = 30_000;
    let (Awaited::FirstRequest { since_unix_ms }
    | Awaited::NextRequest { since_unix_ms }
    | Awaited::RestOfHead { since_unix_ms }) = awaited;
    // In real time, as the network between the processes is no faster in a test.
    let wait_max_ms = WAIT_MAX_MS.saturating_mul(clock_scale());
    ConnectionLimits {
        head_max_bytes: None,
        until_unix_ms: since_unix_ms.saturating_add(wait_max_ms),
    }
}

/// Serves the result of `text` at `path`, such as metrics, until `stop` drains.
///
/// # Errors
/// As [`serve_http`].
pub async fn serve_text(
    listener: TcpListener,
    path: &'static str,
    stop: Stop,
    text: impl Fn() -> Vec<u8> + 'static,
) -> io::Result<()> {
    serve_http(listener, stop, move |request| {
        let response = if request.uri().path() == path {
            typed_response(200, "text/plain; version=0.0.4", text())
        } else {
            typed_response(404, "text/plain", "no such path\n")
        };
        async move { response }
    })
    .await
}

/// Serves as [`serve_http`], but goes on accepting connections and requests for `notice_ms` after
/// `stop` begins to drain, with `Connection: close` on each response. A load balancer that has not
/// noticed the shutdown yet thus gets no refused connections.
///
/// # Errors
/// As [`serve_http`].
pub async fn serve_http_with_notice<F, R>(
    listener: TcpListener,
    stop: Stop,
    notice_ms: u64,
    handle: F,
) -> io::Result<()>
where
    F: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    let draining = Draining::after_notice(notice_ms);
    serve_http_limited(listener, stop, draining, default_limits, |_| {}, handle).await
}

/// Serves as [`serve_http_with_notice`], with limits that are read anew whenever they matter, and
/// reports each request that is left unanswered, and when the listener closes.
///
/// # Errors
/// As [`serve_http`].
pub async fn serve_http_limited<F, R>(
    listener: TcpListener,
    stop: Stop,
    draining: Draining,
    limits: impl Fn(Awaited) -> ConnectionLimits + 'static,
    report: impl Fn(&UnansweredRequest) + 'static,
    handle: F,
) -> io::Result<()>
where
    F: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    let delayed_stop = delayed_stop(&stop, draining.notice_ms);
    let handle = move |request| {
        let response = handle(request);
        let stop = stop.clone();
        async move {
            let mut response = response.await;
            if stop.is_draining() {
                ask_to_close(&mut response);
            }
            response
        }
    };
    serve_connections(listener, delayed_stop, draining, limits, report, handle).await
}

fn ask_to_close(response: &mut HttpResponse) {
    let close = http::HeaderValue::from_static("close");
    response
        .headers_mut()
        .insert(http::header::CONNECTION, close);
}

/// Returns a shutdown signal that begins to drain `notice_ms` after `stop` does, and ends when
/// `stop` ends.
pub fn delayed_stop(stop: &Stop, notice_ms: u64) -> Stop {
    let (stop, delayed) = (stop.clone(), Stop::new());
    let task_delayed = delayed.clone();
    compio::runtime::spawn(async move {
        stop.draining().await;
        select(pin!(sleep_ms(notice_ms)), pin!(stop.ended())).await;
        task_delayed.drain();
        stop.ended().await;
        task_delayed.end();
    })
    .detach();
    delayed
}

async fn serve_connections<F, R>(
    listener: TcpListener,
    stop: Stop,
    draining: Draining,
    limits: impl Fn(Awaited) -> ConnectionLimits + 'static,
    report: impl Fn(&UnansweredRequest) + 'static,
    handle: F,
) -> io::Result<()>
where
    F: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    let handle = Rc::new(handle);
    let limits = Rc::new(limits);
    let report = Rc::new(report);
    let connections = OpenConnections::default();
    accept_until(&listener, &stop, &draining.report_close, async |stream| {
        stream.set_nodelay(true).ok();
        let handle = handle.clone();
        let stop = stop.clone();
        let guard = connections.track();
        let (limits, report) = (limits.clone(), report.clone());
        compio::runtime::spawn(async move {
            let watch = ConnectionWatch::new(&stream);
            let driven = drive_connection(stream, &watch, &*limits, &*handle, &*report, &stop);
            let (end, detail) = match AssertUnwindSafe(driven).catch_unwind().await {
                Ok(Ok(end)) => (end, String::new()),
                Ok(Err(error)) => (ConnectionEnd::Caller, error.to_string()),
                Err(panic) => (ConnectionEnd::Panic, panic_message(&*panic)),
            };
            if let Some(unanswered) = watch.unanswered(end, detail) {
                report(&unanswered);
            }
            drop(guard);
        })
        .detach();
    })
    .await?;
    drop(listener);
    connections.wait_until_none(&stop).await;
    connections.wait_for_ends().await;
    Ok(())
}

/// How long a connection on which something has come waits for it to be read.
const RECHECK_MS: u64 = 20;

/// Serves the requests of one connection until it ends, and returns why it ended.
async fn drive_connection<F, R>(
    stream: TcpStream,
    watch: &Rc<ConnectionWatch>,
    limits: &impl Fn(Awaited) -> ConnectionLimits,
    handle: &F,
    report: &impl Fn(&UnansweredRequest),
    stop: &Stop,
) -> hyper::Result<ConnectionEnd>
where
    F: Fn(HttpRequest) -> R,
    R: Future<Output = HttpResponse>,
{
    let accept_limits = limits(Awaited::FirstRequest {
        since_unix_ms: now_unix_ms(),
    });
    let service = service_fn(|request: HttpRequest| {
        let running = watch.start_request(request.method() == http::Method::HEAD);
        let handled = AssertUnwindSafe(async move { handle(request).await }).catch_unwind();
        async move {
            let mut response = handled.await.unwrap_or_else(|panic| {
                let panicked = watch.unanswered(ConnectionEnd::Panic, panic_message(&*panic));
                panicked.iter().for_each(report);
                let mut response = typed_response(500, "text/plain", "internal error\n");
                ask_to_close(&mut response);
                response
            });
            let since_unix_ms = now_unix_ms();
            let head_max_bytes = limits(Awaited::NextRequest { since_unix_ms }).head_max_bytes;
            // The connection can't take the larger heads that are allowed now; a new one can.
            let is_outdated = head_max_bytes > accept_limits.head_max_bytes;
            if stop.is_draining() || is_outdated {
                ask_to_close(&mut response);
            }
            Ok::<_, Infallible>(running.watch_response(response))
        }
    });
    let socket = stream.clone();
    let stream = WatchedStream::new(stream, watch.clone());
    let mut connection = accept_limits.to_builder().serve_connection(stream, service);
    let mut check_unix_ms = accept_limits.until_unix_ms;
    loop {
        let is_draining = stop.is_draining();
        // Ends with `None` once a draining connection has nothing to do. If the kernel has bytes of it,
        // reading them wakes this task.
        let served = poll_fn(|cx| match Pin::new(&mut connection).poll(cx) {
            Poll::Ready(result) => Poll::Ready(Some(result)),
            Poll::Pending => {
                let is_over =
                    is_draining && watch.is_between_requests() && !has_unread_bytes(&socket);
                if is_over {
                    Poll::Ready(None)
                } else {
                    Poll::Pending
                }
            }
        });
        let next_phase = async {
            if is_draining {
                stop.ended().await;
            } else {
                stop.draining().await;
            }
        };
        let timer = pin!(sleep_until_unix_ms(check_unix_ms));
        match select(served, select(pin!(next_phase), timer)).await {
            Either::Left((Some(result), _)) => return result.map(|()| ConnectionEnd::Caller),
            Either::Left((None, _)) => return Ok(ConnectionEnd::Stop),
            Either::Right(_) if stop.is_ended() => return Ok(ConnectionEnd::Stop),
            Either::Right(_) => {}
        }
        let now = now_unix_ms();
        check_unix_ms = until_unix_ms(watch, limits, stop, now);
        if now < check_unix_ms {
            continue;
        }
        if watch.head_begun_unix_ms().is_some() {
            refuse_late_head(connection.into_parts()).await;
            return Ok(ConnectionEnd::HeadTimeout);
        }
        if !has_unread_bytes(&socket) {
            let is_draining = stop.is_draining();
            return Ok(if is_draining {
                ConnectionEnd::Stop
            } else {
                ConnectionEnd::Idle
            });
        }
        check_unix_ms = now + RECHECK_MS;
    }
}

/// How long a new connection of a draining server waits for its first request, which is on its way.
const FIRST_REQUEST_MS: u64 = 1000;

/// Returns until when a connection may wait as it does now. A head that has begun to arrive has its own
/// time, and at least that in which it might have begun.
fn until_unix_ms(
    watch: &ConnectionWatch,
    limits: &impl Fn(Awaited) -> ConnectionLimits,
    stop: &Stop,
    now_unix_ms: u64,
) -> u64 {
    let Some(awaited) = watch.awaited() else {
        // The next request can't be late before that.
        let since_unix_ms = now_unix_ms;
        return limits(Awaited::NextRequest { since_unix_ms })
            .until_unix_ms
            .max(now_unix_ms + RECHECK_MS);
    };
    let idle_until_unix_ms = match awaited {
        Awaited::FirstRequest { since_unix_ms } if stop.is_draining() => {
            since_unix_ms + FIRST_REQUEST_MS
        }
        Awaited::NextRequest { since_unix_ms } if stop.is_draining() => since_unix_ms,
        _ => limits(awaited).until_unix_ms,
    };
    let head_until_unix_ms = watch.head_begun_unix_ms().map(|since_unix_ms| {
        let awaited = Awaited::RestOfHead { since_unix_ms };
        limits(awaited).until_unix_ms
    });
    idle_until_unix_ms.max(head_until_unix_ms.unwrap_or(0))
}

/// Returns whether the kernel has bytes of a connection that have not been read.
fn has_unread_bytes(socket: &TcpStream) -> bool {
    rustix::io::ioctl_fionread(socket).is_ok_and(|count| count > 0)
}

/// Tells a caller that the head of its request did not arrive in time, unless what was read was the
/// rest of a body, or the line end that some callers send after one.
async fn refuse_late_head<S>(parts: http1::Parts<WatchedStream, S>) {
    const RESPONSE: &[u8] =
        b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    const SEND_MAX_MS: u64 = 1000;
    let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
    if parts.read_buf.iter().all(is_line_end) {
        return;
    }
    let mut stream = parts.io;
    let sending = async {
        let mut rest = RESPONSE;
        while !rest.is_empty() {
            let count = poll_fn(|cx| Pin::new(&mut stream).poll_write(cx, rest)).await?;
            rest = &rest[count..];
        }
        poll_fn(|cx| Pin::new(&mut stream).poll_flush(cx)).await?;
        poll_fn(|cx| Pin::new(&mut stream).poll_shutdown(cx)).await
    };
    // A caller that does not take it has left.
    let sending = before_deadline(now_unix_ms() + SEND_MAX_MS, sending);
    let _: Option<io::Result<()>> = sending.await;
}

/// Returns what a task said when it panicked.
fn panic_message(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_default()
}

/// How long the kernel's accept queue must stay empty before the listener is closed if new connections
/// can't be turned away, because closing it resets the connections in the queue.
const BACKLOG_IDLE_MS: u64 = 20;
/// How long it must stay empty once new ones are turned away: handshakes that have begun are complete
/// after one round trip.
const HANDSHAKE_MS: u64 = 100;

/// Accepts connections until `stop` drains, then those that callers already take for established.
pub(crate) async fn accept_until(
    listener: &TcpListener,
    stop: &Stop,
    report_close: &CloseReporter,
    serve: impl AsyncFn(TcpStream),
) -> io::Result<()> {
    while !stop.is_draining() {
        match select(pin!(listener.accept()), pin!(stop.draining())).await {
            Either::Left((Ok((stream, _)), _)) => serve(stream).await,
            Either::Left((Err(error), _)) if is_transient(&error) => sleep_ms(10).await,
            Either::Left((Err(error), _)) => return Err(error),
            Either::Right(_) => break,
        }
    }
    let turned_away = turn_away_handshakes(listener);
    let idle_ms = turned_away
        .as_ref()
        .map_or(BACKLOG_IDLE_MS, |()| HANDSHAKE_MS);
    report_close(turned_away.as_ref().err());
    while !stop.is_ended() {
        match select(pin!(listener.accept()), pin!(sleep_ms(idle_ms))).await {
            Either::Left((Ok((stream, _)), _)) => serve(stream).await,
            Either::Left((Err(error), _)) if is_transient(&error) => sleep_ms(10).await,
            _ => break,
        }
    }
    Ok(())
}

/// Lets the kernel drop the packets that open connections to the listener. Their callers send them again,
/// and are refused once the listener is closed; without this, a handshake may end during the close.
#[cfg(target_os = "linux")]
fn turn_away_handshakes(listener: &TcpListener) -> io::Result<()> {
    use socket2::{SockFilter, SockRef};
    /// Offset of the flags in a TCP header, and the flag of an opening packet.
    const FLAGS_OFFSET: u32 = 13;
    const SYN: u32 = 0x02;
    // Instructions of classic BPF: load a byte, jump if bits are set, return how much to keep.
    const LOAD_BYTE: u16 = 0x30;
    const JUMP_IF_SET: u16 = 0x45;
    const RETURN: u16 = 0x06;
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    SockRef::from(listener).attach_filter(&filter)
}

#[cfg(not(target_os = "linux"))]
fn turn_away_handshakes(_listener: &TcpListener) -> io::Result<()> {
    Err(io::ErrorKind::Unsupported.into())
}

/// Returns whether accepting failed for one connection only, or for a shortage of file descriptors,
/// which passes once other connections close.
fn is_transient(error: &io::Error) -> bool {
    // ENFILE and EMFILE.
    const NO_DESCRIPTORS: [i32; 2] = [23, 24];
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    ) || error
        .raw_os_error()
        .is_some_and(|code| NO_DESCRIPTORS.contains(&code))
}

/// Counts a server's open connections.
#[derive(Clone, Default)]
pub(crate) struct OpenConnections {
    count: Rc<Cell<usize>>,
    closed: Rc<event_listener::Event>,
}

impl OpenConnections {
    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn track(&self) -> ConnectionGuard {
        self.count.set(self.count.get() + 1);
        ConnectionGuard(self.clone())
    }

    /// Waits until no connection is open, or `stop` ends.
    pub(crate) async fn wait_until_none(&self, stop: &Stop) {
        while self.count.get() > 0 && !stop.is_ended() {
            let closed = self.closed.listen();
            if self.count.get() == 0 {
                return;
            }
            select(closed, pin!(stop.ended())).await;
        }
    }

    /// Waits until the connections that a stop has cut have reported what they cut.
    async fn wait_for_ends(&self) {
        const ENDS_MAX_MS: u64 = 100;
        let until_unix_ms = now_unix_ms() + ENDS_MAX_MS;
        while self.count.get() > 0 {
            let closed = self.closed.listen();
            if self.count.get() == 0 || before_deadline(until_unix_ms, closed).await.is_none() {
                return;
            }
        }
    }
}

pub(crate) struct ConnectionGuard(OpenConnections);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.closed.notify(usize::MAX);
    }
}
