//! An HTTP/1.1 client whose responses have limits. A faulty peer, or another process that has the peer's
//! address by now, may send bytes without end; they must cost this process neither memory nor the time of
//! other tasks. See `docs/PLATFORM.md`, "What one peer can take".

use std::{
    cell::RefCell,
    error::Error,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::{Bytes, BytesMut};
use celerystair_core::{prelude::*, time::before_deadline};
use compio::net::TcpStream;
use futures_util::{Stream, StreamExt};
use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body::Body;
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use thiserror::Error;

use crate::{
    body::FramedBody,
    paced_stream::{HeadBytes, HeadTooLong, PacedStream},
};

/// The longest head of a response.
pub const HEAD_MAX_BYTES: usize = 64 * 1024;
/// The most bytes until a head is complete: interim responses, the head, and what is read ahead of the body.
const AWAITED_MAX_BYTES: usize = 4 * HEAD_MAX_BYTES;
/// How long a connection is kept that carries no request.
const IDLE_MS: u64 = 90_000;
/// The most idle connections that are kept to one peer.
const IDLE_PER_PEER_MAX: usize = 64;
/// How long a kept connection may take to finish its last exchange before another one is opened.
const REUSE_WAIT_MS: u64 = 50;

/// Why a response did not arrive, or not in full.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ClientError {
    /// Nothing was sent.
    #[error("no connection could be made: {detail}")]
    Unreachable {
        /// The error of the connection.
        detail: String,
    },
    /// The request may have been carried out; the response was cut short, malformed or never arrived.
    #[error("the response was interrupted: {detail}")]
    Interrupted {
        /// The error of the connection.
        detail: String,
    },
    /// The request may have been carried out; the connection was closed as the response went on.
    #[error("the response's {part} is longer than {max_bytes} bytes")]
    TooLong {
        /// `"head"` with what came before it, or `"body"`.
        part: &'static str,
        /// The limit.
        max_bytes: usize,
    },
}

/// A client for use on one thread, which keeps its connections. Cheap to clone.
#[derive(Clone, Default)]
pub struct HttpClient {
    /// By authority, most recently used last.
    idle: Rc<RefCell<HashMap<String, Vec<IdleConnection>>>>,
}

struct IdleConnection {
    connection: Connection,
    use_until_unix_ms: u64,
}

struct Connection {
    sender: SendRequest<FramedBody>,
    head: HeadBytes,
}

/// Where a connection is kept when its response is complete.
struct KeptConnection {
    client: HttpClient,
    authority: String,
    connection: Connection,
}

/// The body of a response, as a stream. It has no limit on its length: see [`Self::read_limited`]. Dropped
/// before its end, it closes its connection.
pub struct ResponseBody {
    incoming: Incoming,
    /// `None` once it is kept, and for a connection that carries one request.
    kept: Option<KeptConnection>,
    /// Keeps a connection open that carries one request.
    _own: Option<Connection>,
}

impl HttpClient {
    /// Sends a request to the absolute URI in it and returns the response once its head has arrived.
    /// Redirects are not followed.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn send(
        &self,
        request: Request<Bytes>,
    ) -> Result<Response<ResponseBody>, ClientError> {
        let authority = authority(request.uri())?;
        let mut outgoing = outgoing_request(request, &authority)?;
        loop {
            let idle = self.take_idle(&authority).await;
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => connect(&authority).await?,
            };
            match exchange(&mut connection, outgoing).await {
                Ok(response) => {
                    let kept = KeptConnection {
                        client: self.clone(),
                        authority,
                        connection,
                    };
                    return Ok(response.map(|incoming| ResponseBody {
                        incoming,
                        kept: Some(kept),
                        _own: None,
                    }));
                }
                // The peer closed the kept connection before any of the request was written to it.
                Err((_, Some(unsent))) if is_reused => outgoing = *unsent,
                Err((error, _)) => return Err(error),
            }
        }
    }

    /// Sends a request as [`Self::send`], on a connection that carries no other.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn send_alone(
        request: Request<Bytes>,
    ) -> Result<Response<ResponseBody>, ClientError> {
        let authority = authority(request.uri())?;
        let outgoing = outgoing_request(request, &authority)?;
        let mut connection = connect(&authority).await?;
        let response = exchange(&mut connection, outgoing).await;
        let response = response.map_err(|(error, _)| error)?;
        Ok(response.map(|incoming| ResponseBody {
            incoming,
            kept: None,
            _own: Some(connection),
        }))
    }

    /// Sends a request as [`Self::send`] and reads the whole body.
    ///
    /// # Errors
    /// [`ClientError::TooLong`] if the body has more than `body_max_bytes`, and those of [`Self::send`].
    pub async fn fetch(
        &self,
        request: Request<Bytes>,
        body_max_bytes: usize,
    ) -> Result<Response<Bytes>, ClientError> {
        let (head, body) = self.send(request).await?.into_parts();
        let bytes = body.read_limited(body_max_bytes).await?;
        Ok(Response::from_parts(head, bytes))
    }

    async fn take_idle(&self, authority: &str) -> Option<Connection> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(authority)?.pop()?;
            let mut connection = idle.connection;
            if idle.use_until_unix_ms <= now_unix_ms() {
                continue;
            }
            let deadline_unix_ms = now_unix_ms() + REUSE_WAIT_MS;
            let is_free = before_deadline(deadline_unix_ms, connection.sender.ready()).await;
            if matches!(is_free, Some(Ok(()))) {
                return Some(connection);
            }
        }
    }

    fn keep(&self, authority: String, connection: Connection) {
        let now = now_unix_ms();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections
                .retain(|idle| idle.use_until_unix_ms > now && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
        let connections = idle.entry(authority).or_default();
        connections.push(IdleConnection {
            connection,
            use_until_unix_ms: now + IDLE_MS,
        });
        let surplus = connections.len().saturating_sub(IDLE_PER_PEER_MAX);
        connections.drain(..surplus);
    }
}

impl ResponseBody {
    /// Reads the whole body.
    ///
    /// # Errors
    /// [`ClientError::TooLong`] if it has more than `max_bytes`; [`ClientError::Interrupted`].
    pub async fn read_limited(mut self, max_bytes: usize) -> Result<Bytes, ClientError> {
        let too_long = ClientError::TooLong {
            part: "body",
            max_bytes,
        };
        if self.incoming.size_hint().lower() > max_bytes as u64 {
            return Err(too_long);
        }
        let mut bytes = BytesMut::new();
        while let Some(chunk) = self.next().await {
            let chunk = chunk?;
            if chunk.len() > max_bytes - bytes.len() {
                return Err(too_long);
            }
            bytes.extend_from_slice(&chunk);
        }
        Ok(bytes.freeze())
    }
}

impl Stream for ResponseBody {
    type Item = Result<Bytes, ClientError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            let frame = match ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
                None => {
                    if let Some(kept) = self.kept.take() {
                        kept.client.keep(kept.authority, kept.connection);
                    }
                    return Poll::Ready(None);
                }
                Some(Err(error)) => return Poll::Ready(Some(Err(exchange_error(&error)))),
                Some(Ok(frame)) => frame,
            };
            // Trailers tell nothing here.
            if let Ok(data) = frame.into_data() {
                return Poll::Ready(Some(Ok(data)));
            }
        }
    }
}

type Unsent = Option<Box<Request<FramedBody>>>;

/// Sends a request and waits for the head of its response; an error comes with the request if none of it
/// was written.
async fn exchange(
    connection: &mut Connection,
    outgoing: Request<FramedBody>,
) -> Result<Response<Incoming>, (ClientError, Unsent)> {
    connection.head.begin(AWAITED_MAX_BYTES);
    let sent = connection.sender.try_send_request(outgoing).await;
    connection.head.end();
    let response = sent.map_err(|mut failed| {
        let unsent = failed.take_message().map(Box::new);
        (exchange_error(failed.error()), unsent)
    })?;
    if !is_final_status(response.status()) {
        let detail = format!("the status is {}", response.status().as_u16());
        return Err((ClientError::Interrupted { detail }, None));
    }
    Ok(response)
}

/// Returns whether a final response may have the status. The HTTP library also reads statuses from 600 on, which
/// HTTP doesn't have, and 101, for which no request asks.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

async fn connect(authority: &str) -> Result<Connection, ClientError> {
    let unreachable = |error: &dyn Error| ClientError::Unreachable {
        detail: error.to_string(),
    };
    let stream = TcpStream::connect(authority).await;
    let stream = stream.map_err(|error| unreachable(&error))?;
    stream.set_nodelay(true).ok();
    let head = HeadBytes::default();
    let (sender, connection) = Builder::new()
        .max_buf_size(HEAD_MAX_BYTES)
        .handshake(PacedStream::new(stream, head.clone()))
        .await
        .map_err(|error| unreachable(&error))?;
    // An error is also reported to the request in flight on the connection.
    compio::runtime::spawn(async move { connection.await.ok() }).detach();
    Ok(Connection { sender, head })
}

/// Checks that requests can be sent to a URL.
///
/// # Errors
/// [`ClientError::Unreachable`] if it is no HTTP URL with a host.
pub fn check_url(url: &str) -> Result<(), ClientError> {
    let uri = url.parse::<Uri>();
    let uri = uri.map_err(|error| ClientError::Unreachable {
        detail: format!("{url}: {error}"),
    })?;
    authority(&uri).map(drop)
}

/// Returns the host and port of an absolute URI.
fn authority(uri: &Uri) -> Result<String, ClientError> {
    const HTTP_PORT: u16 = 80;
    let is_http = uri.scheme() == Some(&http::uri::Scheme::HTTP);
    match uri.host() {
        Some(host) if is_http => {
            let port = uri.port_u16().unwrap_or(HTTP_PORT);
            Ok(format!("{host}:{port}"))
        }
        _ => Err(ClientError::Unreachable {
            detail: format!("{uri} is no HTTP URL with a host"),
        }),
    }
}

fn outgoing_request(
    request: Request<Bytes>,
    authority: &str,
) -> Result<Request<FramedBody>, ClientError> {
    let invalid = |error: &dyn Error| ClientError::Unreachable {
        detail: error.to_string(),
    };
    let (mut head, body) = request.into_parts();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    head.uri = path.parse().map_err(|error| invalid(&error))?;
    let host = HeaderValue::from_str(authority).map_err(|error| invalid(&error))?;
    head.headers.insert(header::HOST, host);
    let accept = head.headers.entry(header::ACCEPT);
    accept.or_insert(HeaderValue::from_static("*/*"));
    Ok(Request::from_parts(head, FramedBody::new(body)))
}

fn exchange_error(error: &hyper::Error) -> ClientError {
    let max_bytes = if error.is_parse_too_large() {
        Some(HEAD_MAX_BYTES)
    } else {
        let cause = error.source();
        let cause = cause.and_then(|cause| cause.downcast_ref::<io::Error>()?.get_ref());
        let too_long = cause.and_then(|cause| cause.downcast_ref::<HeadTooLong>());
        too_long.map(|too_long| too_long.max_bytes)
    };
    match max_bytes {
        Some(max_bytes) => ClientError::TooLong {
            part: "head",
            max_bytes,
        },
        None => ClientError::Interrupted {
            detail: error.to_string(),
        },
    }
}
