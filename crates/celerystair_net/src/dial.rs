//! Opening of TCP connections to peers, which tests can replace.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc};

use compio::net::TcpStream;
use futures_util::future::LocalBoxFuture;

/// A function that opens a TCP connection to the peer at an address.
pub type Dialer = Rc<dyn Fn(SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>>>;

thread_local! {
    /// Tests run each process of a fleet on a thread of its own, with its own place in the network.
    static DIALER: RefCell<Option<Dialer>> = const { RefCell::new(None) };
}

/// Replaces plain TCP by `dialer` for this thread's new connections to peers. Tests use it to cut
/// links between failure domains.
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
