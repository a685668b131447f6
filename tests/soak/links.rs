//! Loopback proxies between processes, whose connections can be delayed, reset, cut one way or
//! silenced.

use std::{
    io::{Read, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// How a link misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Not at all.
    #[default]
    None,
    /// Each piece takes so many milliseconds longer.
    Delay(u64),
    /// Open connections are reset.
    Reset,
    /// Nothing comes back until the fault ends.
    OneWay,
    /// Open connections fall silent for good; new ones work.
    Silence,
}

/// A proxy before one address; cheap to clone.
#[derive(Clone)]
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    fault: Mutex<LinkFault>,
    is_ended: AtomicBool,
}

/// How often a pump that has nothing to read looks at the link's fault.
const POLL: Duration = Duration::from_millis(20);

impl Link {
    /// Starts one at `ip` before `target`.
    pub fn start(ip: IpAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a listener");
        let link = Self {
            address: listener.local_addr().expect("its address"),
            shared: Arc::default(),
        };
        let serving = link.clone();
        std::thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                if serving.shared.is_ended.load(Ordering::Relaxed) {
                    return;
                }
                // Where nobody listens, the caller's connection ends at once, as it would without
                // the proxy.
                if let Ok(outbound) = TcpStream::connect(target) {
                    serving.join(&inbound, &outbound);
                }
            }
        });
        link
    }

    /// Has the link misbehave from now on.
    pub fn set(&self, fault: LinkFault) {
        *self.shared.fault.lock().expect("the fault") = fault;
    }

    /// Lets its threads end.
    pub fn end(&self) {
        self.shared.is_ended.store(true, Ordering::Relaxed);
        TcpStream::connect(self.address).ok();
    }

    fn join(&self, inbound: &TcpStream, outbound: &TcpStream) {
        let silent = Arc::new(AtomicBool::new(false));
        let is_reset = Arc::new(AtomicBool::new(false));
        for (from, to, is_back) in [(inbound, outbound, false), (outbound, inbound, true)] {
            from.set_nodelay(true).expect("no delay");
            from.set_read_timeout(Some(POLL)).expect("a timeout");
            let pump = Pump {
                shared: self.shared.clone(),
                from: from.try_clone().expect("a socket"),
                to: to.try_clone().expect("a socket"),
                is_back,
                silent: silent.clone(),
                is_reset: is_reset.clone(),
            };
            std::thread::spawn(move || pump.run());
        }
    }
}

/// One direction of a connection.
struct Pump {
    shared: Arc<Shared>,
    from: TcpStream,
    to: TcpStream,
    is_back: bool,
    silent: Arc<AtomicBool>,
    /// Whether the connection is reset; both directions then close it without a FIN.
    is_reset: Arc<AtomicBool>,
}

impl Pump {
    fn run(mut self) {
        let mut buffer = [0; 16 * 1024];
        while !self.shared.is_ended.load(Ordering::Relaxed)
            && !self.is_reset.load(Ordering::Relaxed)
        {
            let read = self.from.read(&mut buffer);
            let fault = *self.shared.fault.lock().expect("the fault");
            if fault == LinkFault::Silence {
                self.silent.store(true, Ordering::Relaxed);
            }
            let length = match read {
                _ if fault == LinkFault::Reset => break,
                Ok(0) => {
                    self.to.shutdown(Shutdown::Write).ok();
                    return;
                }
                Ok(length) => length,
                Err(error) if is_pause(&error) => continue,
                Err(_) => break,
            };
            if self.silent.load(Ordering::Relaxed) {
                continue;
            }
            if let LinkFault::Delay(delay_ms) = fault {
                std::thread::sleep(Duration::from_millis(delay_ms));
            }
            while self.is_back && self.is(LinkFault::OneWay) {
                std::thread::sleep(POLL);
            }
            if self.to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        self.reset();
    }

    /// Has the last of the sockets' handles reset the connection at both ends when it closes.
    fn reset(&self) {
        for socket in [&self.from, &self.to] {
            socket2::SockRef::from(socket)
                .set_linger(Some(Duration::ZERO))
                .ok();
        }
        self.is_reset.store(true, Ordering::Relaxed);
    }

    fn is(&self, fault: LinkFault) -> bool {
        !self.shared.is_ended.load(Ordering::Relaxed)
            && *self.shared.fault.lock().expect("the fault") == fault
    }
}

fn is_pause(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
