//! gRPC between the system's own processes: a server, and a client connection that is reopened when
//! it is lost.

use std::{cell::RefCell, convert::Infallible, io, net::SocketAddr, pin::pin, rc::Rc};

use celerystair_core::{prelude::*, time::before_deadline};
use compio::net::TcpListener;
use cyper_core::CompioExecutor;
use futures_util::future::{Either, select};
use hyper::{body::Incoming, client::conn::http2 as client, server::conn::http2 as server};
use send_wrapper::SendWrapper;
use thiserror::Error;
use tonic::body::Body;

use crate::{
    dial::dial,
    http_server::{CloseReporter, OpenConnections, accept_until},
    timer::ConnectionTimer,
    tls::{accept_peer, connect_peer},
};

/// A peer on the same network that accepts no connection within this time is treated as
/// unreachable.
const CONNECT_TIMEOUT_MS: u64 = 1000;
/// A connection whose peer answers no HTTP/2 ping within this time is closed.
const KEEP_ALIVE_TIMEOUT_MS: u64 = 2000;
/// Time between HTTP/2 pings.
const KEEP_ALIVE_INTERVAL_MS: u64 = 5000;
/// HTTP/2 flow-control window of one call: the bytes that a slow reader leaves unread at most.
const CALL_WINDOW_BYTES: u32 = 64 << 10;
/// HTTP/2 flow-control window of a connection: as large as the windows of all its calls together,
/// so that calls whose readers have stalled don't block the others. See `docs/DEADLINES.md`.
const CONNECTION_WINDOW_BYTES: u32 = CALLS_MAX * CALL_WINDOW_BYTES;
/// Concurrent calls on one connection.
const CALLS_MAX: u32 = 1024;

/// Serves gRPC until `stop` drains, then closes each connection once its open calls have ended, and
/// returns. Calls still open when `stop` ends are cut off.
pub async fn serve_grpc<S>(listener: TcpListener, stop: Stop, service: S) -> io::Result<()>
where
    S: tower_service::Service<
            http::Request<Incoming>,
            Response = http::Response<Body>,
            Error = Infallible,
        > + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    let connections = OpenConnections::default();
    let report_close: CloseReporter = Box::new(|_| {});
    accept_until(&listener, &stop, &report_close, async |stream| {
        stream.set_nodelay(true).ok();
        let service = service.clone();
        let stop = stop.clone();
        let guard = connections.track();
        compio::runtime::spawn(async move {
            let _guard = guard;
            // A client without a valid certificate is disconnected before it can send a request.
            let Ok(stream) = accept_peer(stream).await else {
                return;
            };
            let service = hyper_util::service::TowerToHyperService::new(service);
            let connection = server::Builder::new(CompioExecutor)
                .timer(ConnectionTimer)
                .max_concurrent_streams(CALLS_MAX)
                .serve_connection(stream, service);
            let mut connection = pin!(connection);
            let draining = pin!(stop.draining());
            if let Either::Right(((), _)) = select(connection.as_mut(), draining).await {
                connection.as_mut().graceful_shutdown();
                let _ = select(connection, pin!(stop.ended())).await;
            }
        })
        .detach();
    })
    .await?;
    drop(listener);
    connections.wait_until_none(&stop).await;
    Ok(())
}

/// Why a connection to a peer could not be opened. No request was sent.
#[derive(Clone, Debug, Error)]
pub enum ConnectionError {
    /// The peer refused the connection, failed the TLS or HTTP/2 handshake, or is unreachable.
    #[error("failed to connect to {address}: {detail}")]
    Unreachable {
        /// The peer's address.
        address: SocketAddr,
        /// The text of the underlying error.
        detail: String,
    },
    /// The connection was not open within the timeout, 1 s.
    #[error("timed out connecting to {address}")]
    Timeout {
        /// The peer's address.
        address: SocketAddr,
    },
}

/// A client connection to one peer, shared by the tasks of a thread. It is opened on first use and
/// reopened after it is lost.
#[derive(Clone)]
pub struct Connection {
    inner: Rc<ConnectionInner>,
}

struct ConnectionInner {
    address: SocketAddr,
    current_sender: RefCell<Option<client::SendRequest<Body>>>,
}

impl Connection {
    /// Creates a connection to `address`, which the first call of [`Connection::channel`] opens.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            inner: Rc::new(ConnectionInner {
                address,
                current_sender: RefCell::new(None),
            }),
        }
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Returns a channel for one or more calls, and opens the connection if necessary.
    ///
    /// # Errors
    /// [`ConnectionError`] if the connection can't be opened; no request was sent.
    pub async fn channel(&self) -> Result<Channel, ConnectionError> {
        let open_sender = self
            .inner
            .current_sender
            .borrow()
            .as_ref()
            .filter(|s| !s.is_closed())
            .cloned();
        let sender = if let Some(sender) = open_sender {
            sender
        } else {
            let sender = connect(self.inner.address).await?;
            *self.inner.current_sender.borrow_mut() = Some(sender.clone());
            sender
        };
        Ok(Channel {
            sender: SendWrapper::new(sender),
            address: self.inner.address,
        })
    }
}

async fn connect(address: SocketAddr) -> Result<client::SendRequest<Body>, ConnectionError> {
    let unreachable = |detail: String| ConnectionError::Unreachable { address, detail };
    let deadline_unix_ms =
        now_unix_ms() + CONNECT_TIMEOUT_MS * celerystair_core::time::clock_scale();
    let open_connection = async {
        let stream = dial(address)
            .await
            .map_err(|e| unreachable(e.to_string()))?;
        stream.set_nodelay(true).ok();
        let stream = connect_peer(stream)
            .await
            .map_err(|e| unreachable(e.to_string()))?;
        let (sender, connection) = client::Builder::new(CompioExecutor)
            .timer(ConnectionTimer)
            .initial_stream_window_size(CALL_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .keep_alive_interval(std::time::Duration::from_millis(KEEP_ALIVE_INTERVAL_MS))
            .keep_alive_timeout(std::time::Duration::from_millis(KEEP_ALIVE_TIMEOUT_MS))
            .handshake::<_, Body>(stream)
            .await
            .map_err(|e| unreachable(e.to_string()))?;
        compio::runtime::spawn(async move {
            connection.await.ok();
        })
        .detach();
        Ok(sender)
    };
    before_deadline(deadline_unix_ms, open_connection)
        .await
        .unwrap_or(Err(ConnectionError::Timeout { address }))
}

/// An open connection in the form in which the generated clients take it.
#[derive(Clone)]
pub struct Channel {
    sender: SendWrapper<client::SendRequest<Body>>,
    address: SocketAddr,
}

impl Channel {
    /// Returns the origin that the generated clients put into the URI of each call.
    pub fn origin(&self) -> http::Uri {
        http::Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query("/")
            .build()
            .unwrap_or_default()
    }
}

impl tower_service::Service<http::Request<Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = hyper::Error;
    type Future =
        std::pin::Pin<Box<dyn Future<Output = Result<http::Response<Incoming>, hyper::Error>>>>;

    fn poll_ready(
        &mut self,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Result<(), hyper::Error>> {
        self.sender.poll_ready(cx)
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        Box::pin(self.sender.send_request(request))
    }
}
