//! The pool of connections to an upstream. A connection serves one request at a time, and is kept
//! for reuse if the upstream keeps it open too.

use std::{
    cell::{Cell, RefCell},
    io::ErrorKind,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
};

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::{body::FramedBody, prelude::*};
use celerystair_policy::prelude::*;
use compio::{net::TcpStream, runtime::JoinHandle};
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderName};
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{Builder, SendRequest},
    },
};

/// Time limit for opening a connection: upstreams are one or two milliseconds away.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// An idle connection is discarded this long before the upstream's announced idle timeout.
const IDLE_MARGIN_MS: u64 = 500;
/// How long an idle connection is kept if the upstream announces no idle timeout or a shorter one.
const DEFAULT_IDLE_MS: u64 = 300;
/// How long a connection may take to become free after its response, because the upstream may still
/// be reading the rest of a long request; after that it is closed.
const REUSE_WAIT_MS: u64 = 500;

/// A request that can't be repeated reuses a connection only if it was in use within this time: the
/// upstream may be closing a connection that has been idle for longer.
const RECENT_USE_MS: u64 = 300;
/// One part in this many of a router's share of an upstream's connections may be idle.
const IDLE_SHARE_DIVISOR: u32 = 2;

/// Returns how many idle connections one of `routers` routers may keep to an upstream that accepts
/// `connections_max` connections in total. Many routers that each keep a few can exceed that limit
/// together; the upstream then resets the surplus connections, with the requests sent on them.
pub fn max_idle_connections(connections_max: u32, routers: u32) -> usize {
    (connections_max / routers.max(1) / IDLE_SHARE_DIVISOR).max(1) as usize
}

/// The longest head of a response, and the most that a connection reads ahead.
const READ_BUFFER_MAX_BYTES: usize = 64 * 1024;
/// The most bytes before the end of a response's head: interim responses and empty lines, the head, and
/// what is read ahead of the body before the head is handed over.
const HEAD_BYTES_MAX: usize = 2 * READ_BUFFER_MAX_BYTES;

/// A connection to an upstream, closed when dropped.
pub struct UpstreamConnection {
    /// Sends requests on the connection.
    pub sender: SendRequest<FramedBody>,
    head: HeadBytes,
    /// When this process began to open the connection.
    pub opened_unix_ms: u64,
    /// Whether the connection has served a request before.
    pub is_reused: bool,
    /// The requests that were refused on the connection.
    pub refused: RefusedRequests,
    // The task that drives the connection; dropping the handle cancels it.
    _task: JoinHandle<()>,
}

impl UpstreamConnection {
    /// Sends the request and returns the response once its head has arrived.
    ///
    /// # Errors
    /// That of the connection, which has ended; with the request if it was not sent.
    pub async fn send(
        &mut self,
        request: http::Request<FramedBody>,
    ) -> Result<http::Response<Incoming>, TrySendError<http::Request<FramedBody>>> {
        self.head.begin(HEAD_BYTES_MAX);
        let response = self.sender.try_send_request(request).await?;
        self.head.end();
        Ok(response)
    }

    /// Returns the bytes that have come of the head which is awaited.
    pub fn head_bytes(&self) -> usize {
        self.head.known_bytes()
    }
}

struct IdleConnection {
    connection: UpstreamConnection,
    since_unix_ms: u64,
    use_until_unix_ms: u64,
}

/// The idle connections to one upstream, most recently used last; cheap to clone.
#[derive(Clone, Default)]
pub struct Connections {
    idle: Rc<RefCell<Vec<IdleConnection>>>,
    max_idle: Rc<Cell<usize>>,
}

impl Connections {
    /// Sets the maximum number of idle connections.
    pub fn set_max_idle(&self, max_idle: usize) {
        self.max_idle.set(max_idle);
    }

    /// Closes the idle connections that began to be opened until this time.
    pub fn close_opened_until(&self, opened_unix_ms: u64) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| idle.connection.opened_unix_ms > opened_unix_ms);
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Takes the most recently used idle connection that is still open and may carry the request. For
    /// a request that can't be repeated, takes it only if it was in use a moment ago.
    pub fn take_idle(
        &self,
        request: &RequestId,
        is_repeatable: bool,
    ) -> Option<UpstreamConnection> {
        let now = now_unix_ms();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| idle.use_until_unix_ms > now && !idle.connection.sender.is_closed());
        let is_recent = |idle: &IdleConnection| now < idle.since_unix_ms + RECENT_USE_MS;
        let may_carry = |idle: &IdleConnection| {
            idle.connection.refused.allows(request) && (is_repeatable || is_recent(idle))
        };
        let index = idle.iter().rposition(may_carry)?;
        Some(idle.remove(index).connection)
    }

    /// Keeps the connection for reuse once it is free. `headers` are those of the response that has
    /// just arrived on it.
    pub fn keep(&self, mut connection: UpstreamConnection, headers: &HeaderMap) {
        let Some(idle_ms) = idle_ms(headers) else {
            return;
        };
        connection.is_reused = true;
        let use_until_unix_ms = now_unix_ms() + idle_ms;
        let (idle, max_idle) = (self.idle.clone(), self.max_idle.get());
        compio::runtime::spawn(async move {
            let deadline_unix_ms = now_unix_ms() + REUSE_WAIT_MS;
            let is_free = before_deadline(deadline_unix_ms, connection.sender.ready()).await;
            if matches!(is_free, Some(Ok(()))) {
                let mut idle = idle.borrow_mut();
                idle.push(IdleConnection {
                    connection,
                    since_unix_ms: now_unix_ms(),
                    use_until_unix_ms,
                });
                let surplus = idle.len().saturating_sub(max_idle);
                idle.drain(..surplus);
            }
        })
        .detach();
    }
}

/// Returns how long the connection may be kept idle, or `None` if the upstream closes it now.
fn idle_ms(headers: &HeaderMap) -> Option<u64> {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let must_close = text(http::header::CONNECTION)
        .is_some_and(|tokens| tokens.to_ascii_lowercase().contains("close"));
    if must_close {
        return None;
    }
    let seconds = text(KEEP_ALIVE).and_then(|parameters| {
        let timeout = parameters
            .split(',')
            .find_map(|p| p.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u64>().ok()
    });
    Some(seconds.map_or(DEFAULT_IDLE_MS, |seconds| {
        (seconds * 1000)
            .saturating_sub(IDLE_MARGIN_MS)
            .max(DEFAULT_IDLE_MS)
    }))
}

/// Why no connection could be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectError {
    /// No process listens at the address.
    Refused,
    /// The address didn't answer in time, or in another way.
    NoAnswer,
}

/// Opens a connection.
///
/// # Errors
/// The upstream can't be reached in time.
pub async fn connect(address: SocketAddr) -> Result<UpstreamConnection, ConnectError> {
    let opened_unix_ms = now_unix_ms();
    let opening = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| match error.kind() {
                ErrorKind::ConnectionRefused => ConnectError::Refused,
                _ => ConnectError::NoAnswer,
            })?;
        stream.set_nodelay(true).ok();
        let head = HeadBytes::default();
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_MAX_BYTES)
            .handshake(PacedStream::new(stream, head.clone()))
            .await
            .map_err(|_| ConnectError::NoAnswer)?;
        let task = compio::runtime::spawn(async move {
            // An error is also reported to the request in flight on the connection.
            connection.await.ok();
        });
        Ok(UpstreamConnection {
            sender,
            head,
            opened_unix_ms,
            is_reused: false,
            refused: RefusedRequests::default(),
            _task: task,
        })
    };
    match select(pin!(opening), pin!(sleep_ms(CONNECT_TIMEOUT_MS))).await {
        Either::Left((connection, _)) => connection,
        Either::Right(_) => Err(ConnectError::NoAnswer),
    }
}
