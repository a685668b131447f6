//! Connections to upstreams. A connection serves one request at a time; it is kept for the next
//! one if the upstream keeps it too.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
};

use bytes::Bytes;
use celerystair_core::{prelude::*, time::before_deadline};
use compio::{net::TcpStream, runtime::JoinHandle};
use cyper_core::HyperStream;
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderName};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};

/// A new connection that takes longer is given up: upstreams are a millisecond or two away.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// A connection is used no later than this before the upstream closes it.
const IDLE_MARGIN_MS: u64 = 500;
/// How long a connection is kept whose upstream does not say when it closes it.
const IDLE_UNKNOWN_MS: u64 = 300;
/// An upstream may read the rest of a long request after its answer; a connection that takes
/// longer is closed.
const REUSE_WAIT_MS: u64 = 500;

/// A request that can't be repeated goes on a kept connection only if that was in use this short a
/// time ago: an upstream may be closing one that has been idle for longer.
const FRESH_MS: u64 = 300;
/// Part of a router's share of an upstream's connections that may be idle.
const IDLE_SHARE: u32 = 2;

/// How many idle connections one router may keep to an upstream that takes `connections_max`
/// from `routers` together. Answers many routers that each keep a few: the upstream resets what
/// is over its bound, with the request that was sent on it.
pub fn max_idle_connections(connections_max: u32, routers: u32) -> usize {
    (connections_max / routers.max(1) / IDLE_SHARE).max(1) as usize
}

/// A connection to an upstream. Dropping it closes it.
pub struct UpstreamConnection {
    /// Where requests go in.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has served a request before.
    pub is_reused: bool,
    // Held: the task drives the connection, and ends with it.
    _task: JoinHandle<()>,
}

struct IdleConnection {
    connection: UpstreamConnection,
    since_unix_ms: u64,
    use_until_unix_ms: u64,
}

/// The idle connections to one upstream, the last used last; cheap to clone.
#[derive(Clone, Default)]
pub struct Connections {
    idle: Rc<RefCell<Vec<IdleConnection>>>,
    max_idle: Rc<Cell<usize>>,
}

impl Connections {
    /// Sets how many idle connections are kept.
    pub fn set_max_idle(&self, max_idle: usize) {
        self.max_idle.set(max_idle);
    }

    /// A connection that was used before and still stands, the last used first; for a request
    /// that can't be repeated, only one that was in use a moment ago.
    pub fn take_idle(&self, is_repeatable: bool) -> Option<UpstreamConnection> {
        let now = now_unix_ms();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| idle.use_until_unix_ms > now && !idle.connection.sender.is_closed());
        let is_fresh = |idle: &IdleConnection| now < idle.since_unix_ms + FRESH_MS;
        if !is_repeatable && !idle.last().is_some_and(is_fresh) {
            return None;
        }
        let taken = idle.pop()?;
        Some(taken.connection)
    }

    /// Keeps the connection for the next request once it is free; `headers` are of the answer
    /// that it has just given.
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

/// How long the connection may be kept idle; `None` if the upstream closes it now.
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
    Some(seconds.map_or(IDLE_UNKNOWN_MS, |seconds| {
        (seconds * 1000)
            .saturating_sub(IDLE_MARGIN_MS)
            .max(IDLE_UNKNOWN_MS)
    }))
}

/// Opens a connection; `None` if the upstream can't be reached.
pub async fn connect(address: SocketAddr) -> Option<UpstreamConnection> {
    let opening = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok();
        let (sender, connection) = Builder::new()
            .handshake(HyperStream::new_plain(stream))
            .await
            .ok()?;
        let task = compio::runtime::spawn(async move {
            // What went wrong reaches the request that is on it.
            connection.await.ok();
        });
        Some(UpstreamConnection {
            sender,
            is_reused: false,
            _task: task,
        })
    };
    match select(pin!(opening), pin!(sleep_ms(CONNECT_TIMEOUT_MS))).await {
        Either::Left((connection, _)) => connection,
        Either::Right(_) => None,
    }
}
