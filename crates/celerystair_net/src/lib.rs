//! HTTP and gRPC over compio: servers that shut down gracefully, and connections to peers.
//!
//! | module | contents |
//! |---|---|
//! | [`body`] | response bodies, complete or streamed |
//! | [`connection_watch`] | what a server knows of a connection, and of requests left unanswered |
//! | [`dial`] | how a thread opens connections to peers |
//! | [`events`] | where the events of an event stream end |
//! | [`grpc`] | a gRPC server, and a client connection that reopens itself |
//! | [`http_client`] | an HTTP/1.1 client whose responses have limits |
//! | [`http_server`] | an HTTP/1.1 server with one task per connection |
//! | [`json`] | reading of request bodies, and complete responses |
//! | [`paced_stream`] | a stream that bounds what its peer can take of the thread |
//! | [`timer`] | the timer of HTTP connections |
//! | [`tls`] | mutual TLS between the system's own processes |
//! | `turns` | turns for streams that have more to read than one turn's share |

pub mod body;
pub mod connection_watch;
pub mod dial;
pub mod events;
pub mod grpc;
pub mod http_client;
pub mod http_server;
pub mod json;
pub mod paced_stream;
pub mod timer;
pub mod tls;
mod turns;

/// Commonly used types and functions of servers and clients.
pub mod prelude {
    pub use crate::{
        body::{BodyError, HttpBody},
        connection_watch::{ConnectionEnd, UnansweredRequest},
        dial::{Dialer, set_dialer},
        grpc::{Connection, ConnectionError, serve_grpc},
        http_client::{ClientError, HttpClient, ResponseBody, check_url, is_final_status},
        http_server::{
            Awaited, ConnectionLimits, Draining, HttpRequest, HttpResponse, ListenError, bind,
            default_limits, delayed_stop, serve_http, serve_http_limited, serve_http_with_notice,
            serve_text,
        },
        paced_stream::{HeadBytes, HeadTooLong, PacedStream},
        tls::{PeerTls, TlsError, TlsSettings},
    };
}
