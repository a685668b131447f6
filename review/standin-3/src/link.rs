//! A proxy before a server, which can hold up all that goes through it, as a cut link does.

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
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    /// Starts a link to the server at `to`.
    pub fn start(ip: IpAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let link = Self {
            address: listener.local_addr().expect("an address"),
            is_cut: Arc::default(),
        };
        let serving = link.clone();
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let link = serving.clone();
                std::thread::spawn(move || link.connect(caller, to));
            }
        });
        link
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait_until_whole(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Whether the caller is the agent on the server's own machine, which no cut keeps from it.
    fn is_local(caller: &TcpStream) -> bool {
        let mut bytes = [0; 9];
        while let Ok(count @ 1..) = caller.peek(&mut bytes) {
            if count == bytes.len() {
                return bytes.starts_with(b"GET /v1/") || bytes.starts_with(b"POST /v1/");
            }
        }
        false
    }

    fn connect(&self, caller: TcpStream, to: SocketAddr) {
        let is_local = Self::is_local(&caller);
        if !is_local {
            self.wait_until_whole();
        }
        let Ok(server) = TcpStream::connect(to) else {
            return;
        };
        caller.set_nodelay(true).ok();
        server.set_nodelay(true).ok();
        let (Ok(caller_to), Ok(server_to)) = (caller.try_clone(), server.try_clone()) else {
            return;
        };
        let link = if is_local { Self { address: self.address, is_cut: Arc::default() } } else { self.clone() };
        let back = link.clone();
        std::thread::spawn(move || link.pass(caller, server_to));
        back.pass(server, caller_to);
    }

    /// Passes on bytes and the end of the connection, both only while the link is whole.
    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 16 * 1024];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            self.wait_until_whole();
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                to.shutdown(Shutdown::Write).ok();
                return;
            }
        }
    }
}
