//! An HTTP/1.1 server with one task per connection, whose graceful shutdown resets no connection.

use std::{
    cell::Cell, convert::Infallible, io, net::SocketAddr, panic::AssertUnwindSafe, pin::pin,
    rc::Rc, time::Duration,
};

use celerystair_core::prelude::*;
use compio::net::{TcpListener, TcpStream};
use futures_util::{
    FutureExt,
    future::{Either, select},
};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
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

/// Limits on the request head and the idle time of each connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// The largest request head in bytes, at least 8 KiB; `None` for hyper's default.
    pub head_max_bytes: Option<usize>,
    /// The time within which the next request's head must be complete, from the end of the previous
    /// request; `None` for no limit.
    pub idle_timeout_ms: Option<u64>,
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
        builder.header_read_timeout(self.idle_timeout_ms.map(Duration::from_millis));
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
/// Each connection runs in a task of its own. While draining, a connection finishes its current
/// request and closes. When `stop` ends, the remaining connections are cut off.
///
/// # Errors
/// An error of the listener that is not transient.
pub async fn serve_http<F, R>(listener: TcpListener, stop: Stop, handle: F) -> io::Result<()>
where
    F: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    serve_connections(listener, stop, default_limits, |_| {}, handle).await
}

/// hyper's default limits.
fn default_limits() -> ConnectionLimits {
    const IDLE_TIMEOUT_MS: u64 = 30_000;
    ConnectionLimits {
        head_max_bytes: None,
        idle_timeout_ms: Some(IDLE_TIMEOUT_MS),
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
    serve_http_limited(listener, stop, notice_ms, default_limits, |_| {}, handle).await
}

/// Serves as [`serve_http_with_notice`], with limits that are read anew for each connection, and
/// reports each request that is left unanswered.
///
/// # Errors
/// As [`serve_http`].
pub async fn serve_http_limited<F, R>(
    listener: TcpListener,
    stop: Stop,
    notice_ms: u64,
    limits: impl Fn() -> ConnectionLimits,
    report: impl Fn(&UnansweredRequest) + 'static,
    handle: F,
) -> io::Result<()>
where
    F: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    let delayed_stop = delayed_stop(&stop, notice_ms);
    serve_connections(listener, delayed_stop, limits, report, move |request| {
        let response = handle(request);
        let stop = stop.clone();
        async move {
            let mut response = response.await;
            if stop.is_draining() {
                let close = http::HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(http::header::CONNECTION, close);
            }
            response
        }
    })
    .await
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
    limits: impl Fn() -> ConnectionLimits,
    report: impl Fn(&UnansweredRequest) + 'static,
    handle: F,
) -> io::Result<()>
where
    F: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    let handle = Rc::new(handle);
    let report = Rc::new(report);
    let connections = OpenConnections::default();
    accept_until(&listener, &stop, async |stream| {
        stream.set_nodelay(true).ok();
        let handle = handle.clone();
        let stop = stop.clone();
        let guard = connections.track();
        let builder = limits().to_builder();
        let report = report.clone();
        compio::runtime::spawn(async move {
            let watch = ConnectionWatch::new(&stream);
            let driven = drive_connection(&builder, stream, &watch, &*handle, &stop);
            let (end, detail) = match AssertUnwindSafe(driven).catch_unwind().await {
                Ok(Ok(end)) => (end, String::new()),
                Ok(Err(error)) if error.is_timeout() => {
                    (ConnectionEnd::HeadTimeout, error.to_string())
                }
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
    Ok(())
}

/// Serves the requests of one connection until it ends, and returns why it ended.
async fn drive_connection<F, R>(
    builder: &http1::Builder,
    stream: TcpStream,
    watch: &Rc<ConnectionWatch>,
    handle: &F,
    stop: &Stop,
) -> hyper::Result<ConnectionEnd>
where
    F: Fn(HttpRequest) -> R,
    R: Future<Output = HttpResponse>,
{
    let service = service_fn(|request: HttpRequest| {
        let running = watch.start_request(request.method() == http::Method::HEAD);
        let response = handle(request);
        async move { Ok::<_, Infallible>(running.watch_response(response.await)) }
    });
    let stream = WatchedStream::new(stream, watch.clone());
    let mut connection = pin!(builder.serve_connection(stream, service));
    let draining = pin!(stop.draining());
    match select(connection.as_mut(), draining).await {
        Either::Left((result, _)) => return result.map(|()| ConnectionEnd::Caller),
        Either::Right(_) => connection.as_mut().graceful_shutdown(),
    }
    match select(connection, pin!(stop.ended())).await {
        Either::Left((result, _)) => result.map(|()| ConnectionEnd::Stop),
        Either::Right(_) => Ok(ConnectionEnd::Stop),
    }
}

/// Returns what a task said when it panicked.
fn panic_message(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_default()
}

/// How long the kernel's accept queue must stay empty before the listener is closed, because
/// closing it resets the connections in the queue.
const BACKLOG_IDLE_MS: u64 = 20;

/// Accepts connections until `stop` drains, then accepts those left in the kernel's queue.
pub(crate) async fn accept_until(
    listener: &TcpListener,
    stop: &Stop,
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
    while !stop.is_ended() {
        match select(pin!(listener.accept()), pin!(sleep_ms(BACKLOG_IDLE_MS))).await {
            Either::Left((Ok((stream, _)), _)) => serve(stream).await,
            _ => break,
        }
    }
    Ok(())
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
}

pub(crate) struct ConnectionGuard(OpenConnections);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.closed.notify(usize::MAX);
    }
}
