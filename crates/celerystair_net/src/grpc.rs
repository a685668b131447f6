//! gRPC between the system's own processes: a server, and a connection to one peer that is
//! made anew when it is lost.

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
    http_server::{OpenConnections, accept_until},
    timer::ConnectionTimer,
    tls::{accept_peer, connect_peer},
};

/// A peer on the same network that does not take a connection in this time is as good as gone.
const CONNECT_TIMEOUT_MS: u64 = 1000;
/// A peer that answers no ping for this long is taken for lost.
const KEEP_ALIVE_TIMEOUT_MS: u64 = 2000;
const KEEP_ALIVE_INTERVAL_MS: u64 = 5000;
/// What may come ahead of a slow reader of one call.
const CALL_WINDOW_BYTES: u32 = 64 << 10;
/// What may come ahead of all readers of a connection: enough for each call that a connection can
/// have, so that readers who take nothing hold up no other call. See `docs/DEADLINES.md`.
const CONNECTION_WINDOW_BYTES: u32 = CALLS_MAX * CALL_WINDOW_BYTES;
/// Calls that a connection can have at a time.
const CALLS_MAX: u32 = 1024;

/// Serves gRPC until `stop` drains, then waits for the open calls and returns.
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
    let open = OpenConnections::default();
    accept_until(&listener, &stop, async |stream| {
        stream.set_nodelay(true).ok();
        let service = service.clone();
        let stop = stop.clone();
        let guard = open.enter();
        compio::runtime::spawn(async move {
            let _guard = guard;
            // Whoever shows no certificate of the system is cut off before it can ask anything.
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
    open.wait_until_none(&stop).await;
    Ok(())
}

/// Why no connection to a peer could be had. Nothing was sent.
#[derive(Clone, Debug, Error)]
pub enum ConnectionError {
    /// The peer refused, or can't be reached.
    #[error("can't connect to {address}: {detail}")]
    Unreachable {
        /// Where.
        address: SocketAddr,
        /// The system's reason.
        detail: String,
    },
    /// The peer did not take the connection in time.
    #[error("no connection to {address} in time")]
    Timeout {
        /// Where.
        address: SocketAddr,
    },
}

/// A connection to one peer, shared by the tasks of a thread, made when first needed and made
/// anew once it is lost.
#[derive(Clone)]
pub struct Connection {
    inner: Rc<ConnectionInner>,
}

struct ConnectionInner {
    address: SocketAddr,
    sender: RefCell<Option<client::SendRequest<Body>>>,
}

impl Connection {
    /// A connection to `address`; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            inner: Rc::new(ConnectionInner {
                address,
                sender: RefCell::new(None),
            }),
        }
    }

    /// Where the peer listens.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// A channel for one or more calls.
    ///
    /// # Errors
    /// [`ConnectionError`], after which nothing has been sent.
    pub async fn channel(&self) -> Result<Channel, ConnectionError> {
        let open = self
            .inner
            .sender
            .borrow()
            .as_ref()
            .filter(|s| !s.is_closed())
            .cloned();
        let sender = if let Some(sender) = open {
            sender
        } else {
            let sender = connect(self.inner.address).await?;
            *self.inner.sender.borrow_mut() = Some(sender.clone());
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
    let work = async {
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
    before_deadline(deadline_unix_ms, work)
        .await
        .unwrap_or(Err(ConnectionError::Timeout { address }))
}

/// A channel over which the generated clients call.
#[derive(Clone)]
pub struct Channel {
    sender: SendWrapper<client::SendRequest<Body>>,
    address: SocketAddr,
}

impl Channel {
    /// The origin that the generated clients put into each call.
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
