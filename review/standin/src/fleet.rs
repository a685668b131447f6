//! The project's own processes, each on a loopback address of its own, and the processes of the
//! stand-ins.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::{http::call, record::Record, wire};

/// A process that ends with this value.
pub struct Process {
    pub name: String,
    pub child: Child,
}

impl Process {
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Sends the signal with this name.
    pub fn signal(&self, name: &str) {
        let order = format!("kill -s {name} {}", self.child.id());
        let sent = Command::new("sh").args(["-c", &order]).status();
        assert!(sent.is_ok_and(|status| status.success()), "kill works");
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The addresses and the folder of one run.
pub struct Fleet {
    pub record: Record,
    folder: PathBuf,
    network: (u8, u8),
    gossip_port: u16,
    store: SocketAddr,
}

/// A router's process and its addresses.
pub struct Router {
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

const CALLERS_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
pub const SERVER_PORT: u16 = 8145;
const STORE_PORT: u16 = 8142;
const SECOND_STORE_PORT: u16 = 8143;
const METRICS_PORT: u16 = 9464;

impl Fleet {
    /// Finds a part of the loopback network that no other process uses.
    pub fn new(record: Record) -> Self {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{process}"));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let gossip_port = 7380;
        for attempt in 0..200 {
            let draw = process
                .wrapping_mul(2_654_435_761)
                .wrapping_add(attempt * 7919);
            let network = ((draw >> 8) as u8 % 200 + 20, (draw >> 16) as u8);
            let is_free = (1..30).all(|host| {
                let ip = Ipv4Addr::new(127, network.0, network.1, host);
                let ports = [
                    SECOND_STORE_PORT,
                    SECOND_STORE_PORT,
                    CALLERS_PORT,
                    READY_PORT,
                    SERVER_PORT,
                    STORE_PORT,
                    METRICS_PORT,
                ];
                UdpSocket::bind((ip, gossip_port)).is_ok()
                    && ports
                        .iter()
                        .all(|port| TcpListener::bind((ip, *port)).is_ok())
            });
            if is_free {
                let store = Ipv4Addr::new(127, network.0, network.1, 1);
                return Self {
                    record,
                    folder,
                    network,
                    gossip_port,
                    store: (store, STORE_PORT).into(),
                };
            }
        }
        panic!("no part of the loopback network is free");
    }

    pub fn store_address(&self) -> SocketAddr {
        self.store
    }

    /// The store's address for a process that it may turn away alone.
    pub fn second_store_address(&self) -> SocketAddr {
        (self.ip(1), SECOND_STORE_PORT).into()
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, host)
    }

    pub fn server_address(&self, host: u8) -> SocketAddr {
        (self.ip(host), SERVER_PORT).into()
    }

    /// Starts a router and waits until it says that it is ready.
    pub fn start_router(&self, host: u8) -> Router {
        self.start_router_at(host, self.store)
    }

    /// Starts a router that reaches the store at this address.
    pub fn start_router_at(&self, host: u8, store: SocketAddr) -> Router {
        let name = format!("front-{host}");
        let process = self.start_own(host, &name, "router", "", store);
        let router = Router {
            process,
            callers: (self.ip(host), CALLERS_PORT).into(),
            ready: (self.ip(host), READY_PORT).into(),
        };
        let until = Instant::now() + Duration::from_secs(15);
        while !is_ready(router.ready) {
            assert!(Instant::now() < until, "{name} does not become ready");
            std::thread::sleep(Duration::from_millis(50));
        }
        router
    }

    /// Starts the agent beside the server at `server`.
    pub fn start_agent(&self, host: u8, server: SocketAddr, service: &str) -> Process {
        let values = [("app", server.to_string()), ("service", service.to_owned())];
        let values = values.each_ref().map(|(key, value)| (*key, value.as_str()));
        let more = wire::settings("side_settings", &values);
        self.start_own(host, &format!("side-{host}"), "agent", &more, self.store)
    }

    fn start_own(
        &self,
        host: u8,
        name: &str,
        role: &str,
        more: &str,
        store: SocketAddr,
    ) -> Process {
        let class = if role == "router" { "front" } else { "side" };
        let (ip, gossip) = (self.ip(host).to_string(), self.gossip_port.to_string());
        let (callers, ready) = (CALLERS_PORT.to_string(), READY_PORT.to_string());
        let store = store.to_string();
        let values = [
            ("name", name),
            ("role", role),
            ("class", class),
            ("ip", &ip),
            ("front", &callers),
            ("ready", &ready),
            ("gossip", &gossip),
            ("store", &store),
        ];
        let text = wire::settings("settings", &values) + more;
        let path = self.folder.join(format!("{name}.conf"));
        std::fs::write(&path, text).expect("the settings can be written");
        let mut command = Command::new("target/release/celerystair");
        command.args([role, "--platform"]);
        command.env(wire::text("settings_variable"), &path);
        self.spawn(name, command)
    }

    /// Starts a stand-in of this program as a process of its own.
    pub fn start_standin(&self, name: &str, arguments: &[String]) -> Process {
        let program = std::env::current_exe().expect("this program has a path");
        let mut command = Command::new(program);
        command.args(arguments);
        self.spawn(name, command)
    }

    fn spawn(&self, name: &str, mut command: Command) -> Process {
        let log = self.log_path(name);
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("the log can be written");
        let errors = log.try_clone().expect("the log can be shared");
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        let child = command.spawn().expect("the program is built");
        self.record.write(format!("started {name}"));
        Process {
            name: name.to_owned(),
            child,
        }
    }

    pub fn log_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            std::fs::remove_dir_all(&self.folder).ok();
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

pub fn is_ready(address: SocketAddr) -> bool {
    let request = b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let answer = call(address, request, Duration::from_secs(1));
    answer.is_some_and(|answer| answer.status() == 200)
}

/// Whether the case's disruption takes place; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn record_path(folder: &str) -> PathBuf {
    Path::new(folder).join("record.txt")
}
