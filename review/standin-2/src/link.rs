//! The link to a server, which may be cut: what is on its way then waits until the cut heals, also the end
//! of a connection, and new connections are refused.

use std::{
    io::{Read, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

#[derive(Clone)]
pub struct Link {
    /// Where others reach the server.
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(ip: IpAddr, server: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the link listens");
        let link = Self {
            address: listener.local_addr().expect("an address"),
            is_cut: Arc::default(),
        };
        let accepting = link.clone();
        std::thread::spawn(move || accepting.accept(listener, server));
        link
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }

    fn accept(&self, listener: TcpListener, server: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            if self.is_cut() {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(current) = &listener else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            current.set_nonblocking(true).ok();
            let Ok((outer, _)) = current.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            outer.set_nonblocking(false).ok();
            // Nobody listens while the server is down.
            let Ok(inner) = TcpStream::connect(server) else {
                drop(outer);
                continue;
            };
            for stream in [&outer, &inner] {
                stream.set_nodelay(true).ok();
            }
            let copies = (outer.try_clone(), inner.try_clone());
            let (Ok(outer_copy), Ok(inner_copy)) = copies else {
                continue;
            };
            let (there, back) = (self.clone(), self.clone());
            std::thread::spawn(move || there.pump(outer, inner));
            std::thread::spawn(move || back.pump(inner_copy, outer_copy));
        }
    }

    /// Passes on what comes, and its end.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 16 * 1024];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            while self.is_cut() {
                std::thread::sleep(Duration::from_millis(1));
            }
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                from.shutdown(Shutdown::Both).ok();
                to.shutdown(Shutdown::Both).ok();
                return;
            }
        }
    }
}
