//! HTTP and gRPC over compio: servers with a planned stop, and connections to peers.
//!
//! | module | holds |
//! |---|---|
//! | [`body`] | a response body that is whole or fed by a task |
//! | [`dial`] | how connections to peers are opened |
//! | [`grpc`] | a gRPC server, and a connection that is made anew when lost |
//! | [`http_server`] | an HTTP/1.1 server, one task for each connection |
//! | [`json`] | reading and writing JSON bodies |
//! | [`timer`] | the timer that connections use |
//! | [`tls`] | certificates that the system's own processes show each other |

pub mod body;
pub mod dial;
pub mod grpc;
pub mod http_server;
pub mod json;
pub mod timer;
pub mod tls;

/// The types that a server or a client needs.
pub mod prelude {
    pub use crate::{
        body::{BodyError, HttpBody},
        dial::{Dialer, set_dialer},
        grpc::{Connection, ConnectionError, serve_grpc},
        http_server::{
            ConnectionLimits, HttpRequest, HttpResponse, ListenError, bind, delayed_stop,
            serve_http, serve_http_limited, serve_http_with_notice, serve_text,
        },
        tls::{PeerTls, TlsError, TlsSettings},
    };
}
