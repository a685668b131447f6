//! How connections to peers are opened.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc};

use compio::net::TcpStream;
use futures_util::future::LocalBoxFuture;

/// Opens a connection to a peer.
pub type Dialer = Rc<dyn Fn(SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>>>;

thread_local! {
    /// Each role of a trial has a thread of its own, and thereby its own place in the network.
    static DIALER: RefCell<Option<Dialer>> = const { RefCell::new(None) };
}

/// Opens this thread's connections to peers by `dialer` from now on, in place of plain TCP. A
/// trial puts a network there that it can cut.
pub fn set_dialer(dialer: Dialer) {
    DIALER.with_borrow_mut(|current| *current = Some(dialer));
}

/// Opens a connection to the peer at `address`.
pub(crate) async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let dialer = DIALER.with_borrow(Clone::clone);
    match dialer {
        Some(dialer) => dialer(address).await,
        None => TcpStream::connect(address).await,
    }
}
