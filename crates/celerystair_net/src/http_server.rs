//! An HTTP/1.1 server: one task for each connection, and a planned stop that cuts off nothing.

use std::{cell::Cell, convert::Infallible, io, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use celerystair_core::prelude::*;
use compio::net::TcpListener;
use cyper_core::HyperStream;
use futures_util::future::{Either, select};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use thiserror::Error;

use crate::{body::HttpBody, json::typed_response, timer::ConnectionTimer};

/// A request as it arrives.
pub type HttpRequest = http::Request<Incoming>;

/// An answer.
pub type HttpResponse = http::Response<HttpBody>;

/// What a connection may hold and how long it may stay idle.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// The largest request head; the library's own bound if absent.
    pub head_max_bytes: Option<usize>,
    /// How long the next request's head may take to come, the time before it included; as long
    /// as it likes if absent.
    pub idle_timeout_ms: Option<u64>,
}

impl ConnectionLimits {
    fn builder(self) -> http1::Builder {
        // The library takes no smaller buffer.
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

/// Why a process can't listen where it should.
#[derive(Debug, Error)]
#[error("can't listen on {address}: {error}")]
pub struct ListenError {
    /// Where.
    pub address: SocketAddr,
    /// Why.
    pub error: io::Error,
}

impl ListenError {
    /// The failure of opening `address`, for `map_err`.
    pub fn at(address: SocketAddr) -> impl Fn(io::Error) -> Self {
        move |error| Self { address, error }
    }
}

/// Binds a listener. The address may be one that an earlier process has just left.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Serves HTTP/1.1 until `stop` drains, then waits for the open connections and returns.
///
/// Each connection has a task of its own. Once a stop has begun, a connection finishes the
/// request that it is on and closes.
///
/// # Errors
/// The listener failed.
pub async fn serve_http<F, R>(listener: TcpListener, stop: Stop, handle: F) -> io::Result<()>
where
    F: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    serve_connections(listener, stop, own_limits, handle).await
}

/// The library's own timeout for a request's head.
fn own_limits() -> ConnectionLimits {
    const IDLE_TIMEOUT_MS: u64 = 30_000;
    ConnectionLimits {
        head_max_bytes: None,
        idle_timeout_ms: Some(IDLE_TIMEOUT_MS),
    }
}

/// Serves what `text` gives at `path`, such as metrics, until `stop` ends.
///
/// # Errors
/// The listener failed.
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

/// As [`serve_http`], for callers who learn late that the server stops: for `notice_ms` after the
/// stop has begun it goes on accepting connections and answering, and asks each caller to close
/// its connection. A caller of a balancer that has not noticed yet is thereby not turned away.
///
/// # Errors
/// The listener failed.
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
    serve_http_limited(listener, stop, notice_ms, own_limits, handle).await
}

/// As [`serve_http_with_notice`]; `limits` is asked at each new connection.
///
/// # Errors
/// The listener failed.
pub async fn serve_http_limited<F, R>(
    listener: TcpListener,
    stop: Stop,
    notice_ms: u64,
    limits: impl Fn() -> ConnectionLimits,
    handle: F,
) -> io::Result<()>
where
    F: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    let closing = delayed_stop(&stop, notice_ms);
    serve_connections(listener, closing, limits, move |request| {
        let answer = handle(request);
        let stop = stop.clone();
        async move {
            let mut answer = answer.await;
            if stop.is_draining() {
                let close = http::HeaderValue::from_static("close");
                answer.headers_mut().insert(http::header::CONNECTION, close);
            }
            answer
        }
    })
    .await
}

/// A stop that begins `notice_ms` after `stop` has begun, and ends with it.
pub fn delayed_stop(stop: &Stop, notice_ms: u64) -> Stop {
    let (stop, late) = (stop.clone(), Stop::new());
    let raised = late.clone();
    compio::runtime::spawn(async move {
        stop.draining().await;
        select(pin!(sleep_ms(notice_ms)), pin!(stop.ended())).await;
        raised.drain();
        stop.ended().await;
        raised.end();
    })
    .detach();
    late
}

async fn serve_connections<F, R>(
    listener: TcpListener,
    stop: Stop,
    limits: impl Fn() -> ConnectionLimits,
    handle: F,
) -> io::Result<()>
where
    F: Fn(HttpRequest) -> R + 'static,
    R: Future<Output = HttpResponse> + 'static,
{
    let handle = Rc::new(handle);
    let open = OpenConnections::default();
    accept_until(&listener, &stop, async |stream| {
        stream.set_nodelay(true).ok();
        let handle = handle.clone();
        let stop = stop.clone();
        let guard = open.enter();
        let builder = limits().builder();
        compio::runtime::spawn(async move {
            let service = service_fn(move |request| {
                let answer = handle(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let connection = builder.serve_connection(HyperStream::new_plain(stream), service);
            let mut connection = pin!(connection);
            let draining = pin!(stop.draining());
            if let Either::Right(((), _)) = select(connection.as_mut(), draining).await {
                connection.as_mut().graceful_shutdown();
                let _ = select(connection, pin!(stop.ended())).await;
            }
            drop(guard);
        })
        .detach();
    })
    .await?;
    drop(listener);
    open.wait_until_none(&stop).await;
    Ok(())
}

/// How long the queue of connections that the kernel has taken must stay empty before it is
/// closed: closing it resets what is in it.
const BACKLOG_EMPTY_MS: u64 = 20;

/// Accepts connections until `stop` drains, and then those that were made before.
pub(crate) async fn accept_until(
    listener: &TcpListener,
    stop: &Stop,
    serve: impl AsyncFn(compio::net::TcpStream),
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
        match select(pin!(listener.accept()), pin!(sleep_ms(BACKLOG_EMPTY_MS))).await {
            Either::Left((Ok((stream, _)), _)) => serve(stream).await,
            _ => break,
        }
    }
    Ok(())
}

/// Whether an accept failed for this one connection, or for want of descriptors that others
/// will free.
fn is_transient(error: &io::Error) -> bool {
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

/// Counts the connections that a server still has.
#[derive(Clone, Default)]
pub(crate) struct OpenConnections {
    count: Rc<Cell<usize>>,
    closed: Rc<event_listener::Event>,
}

impl OpenConnections {
    /// Counts one more until the guard is dropped.
    pub(crate) fn enter(&self) -> ConnectionGuard {
        self.count.set(self.count.get() + 1);
        ConnectionGuard(self.clone())
    }

    /// Returns when none is left, or when `stop` asks tasks to end.
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
