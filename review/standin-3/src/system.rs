//! The programs under test, as processes of their own.

use std::{
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{http::Call, record::Record, server::Server, store::Store};

const PROGRAM: &str = "target/release/celerystair";

/// All processes that were started, so that none outlives the case.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for child in CHILDREN.lock().expect("the children").iter_mut() {
        child.kill().ok();
        child.wait().ok();
    }
}

/// Returns the loopback address of a machine. Cases that run at the same time have others.
pub fn ip(number: u8) -> IpAddr {
    let [.., higher, lower] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 0x40 | (higher & 0x3f), lower, number))
}

fn free_port(ip: IpAddr) -> u16 {
    let probe = TcpListener::bind((ip, 0)).expect("a free port");
    probe.local_addr().expect("an address").port()
}

/// A router or an agent.
pub struct Process {
    role: &'static str,
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
    pid: u32,
    pub front: SocketAddr,
    ready: SocketAddr,
    /// How often it was ended because it took too much memory, but for ends within a second of a planned stop.
    pub memory_ends: usize,
    planned_start: Option<Instant>,
}

impl Process {
    /// Returns the most memory that it has had in use since its last start.
    pub fn peak_kb(&self) -> u64 {
        peak_kb(self.pid)
    }
}

/// Returns the most memory that a process has had in use.
fn peak_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.and_then(|peak| peak.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// The processes of the system.
pub struct System {
    folder: PathBuf,
    gossip_port: u16,
    store: SocketAddr,
    record: Record,
    pub processes: Vec<Process>,
}

impl System {
    pub fn new(store: &Store, record: &Record) -> Self {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            folder,
            gossip_port: free_port(ip(250)),
            store: store.address,
            record: record.clone(),
            processes: Vec::new(),
        }
    }

    pub fn start_router(&mut self, number: u8, zone: &str) {
        self.start("router", ip(number), zone, None);
    }

    pub fn start_agent(&mut self, engine: &Server) {
        let address = engine.listed_address();
        self.start("agent", address.ip(), engine.kind.zone, Some(address));
    }

    fn start(&mut self, role: &'static str, ip: IpAddr, zone: &str, engine: Option<SocketAddr>) {
        let name = format!("{role}-{}", self.processes.len() + 1);
        let front = SocketAddr::new(ip, free_port(ip));
        let ready = SocketAddr::new(ip, free_port(ip));
        let class = if engine.is_some() { "side" } else { "front" };
        let mut text = include_str!("../settings.txt").to_owned();
        if engine.is_some() {
            text += include_str!("../settings-side.txt");
        }
        let values = [
            ("{name}", name.clone()),
            ("{role}", role.to_owned()),
            ("{class}", class.to_owned()),
            ("{ip}", ip.to_string()),
            ("{zone}", zone.to_owned()),
            ("{front_port}", front.port().to_string()),
            ("{ready_port}", ready.port().to_string()),
            ("{gossip_port}", self.gossip_port.to_string()),
            ("{store}", self.store.to_string()),
            ("{engine}", engine.map_or_else(String::new, |engine| engine.to_string())),
        ];
        for (placeholder, value) in values {
            text = text.replace(placeholder, &value);
        }
        let settings = self.folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text).expect("the settings are written");
        let log = self.folder.join(format!("{name}.log"));
        let pid = spawn(role, &settings, &log);
        self.record.write(format!("{name} starts"));
        self.processes.push(Process { role, name, settings, log, pid, front, ready, memory_ends: 0, planned_start: None });
    }

    /// Waits until all routers are ready; `false` if one isn't in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let routers = self.processes.iter().filter(|process| process.role == "router");
        for router in routers {
            loop {
                let asked = Call::send(router.ready, "GET", "/v1/ready", &[], b"");
                let answer = asked.and_then(|mut call| call.response());
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        true
    }

    pub fn routers(&self) -> Vec<SocketAddr> {
        let routers = self.processes.iter().filter(|process| process.role == "router");
        routers.map(|router| router.front).collect()
    }

    /// Kills all processes at the same moment.
    pub fn kill_all(&self) {
        let mut children = CHILDREN.lock().expect("the children");
        let own = |child: &&mut Child| {
            self.processes.iter().any(|process| process.pid == child.id())
        };
        for child in children.iter_mut().filter(own) {
            child.kill().ok();
        }
        for child in children.iter_mut() {
            if self.processes.iter().any(|process| process.pid == child.id()) {
                child.wait().ok();
            }
        }
        drop(children);
        self.record.write("all routers and agents are killed");
    }

    /// Stops each router as planned, and starts it again once it has ended, one after the other.
    pub fn restart_routers(&mut self) {
        for process in self.processes.iter_mut().filter(|process| process.role == "router") {
            let sent = Command::new("kill").args(["-TERM", &process.pid.to_string()]).status();
            assert!(sent.is_ok_and(|status| status.success()), "the signal is sent");
            self.record.write(format!("{} gets SIGTERM", process.name));
            let mut children = CHILDREN.lock().expect("the children");
            if let Some(child) = children.iter_mut().find(|child| child.id() == process.pid) {
                child.wait().ok();
            }
            drop(children);
            process.pid = spawn(process.role, &process.settings, &process.log);
            process.planned_start = Some(Instant::now());
            self.record.write(format!("{} starts again", process.name));
        }
    }

    /// Does what the platform does about memory: ends each process that exceeds its limit, and starts it again
    /// after a while. Returns once `is_over`.
    pub fn keep_memory_limit(&mut self, limit_mb: u64, is_over: &AtomicBool) {
        let mut starts: Vec<(usize, Instant)> = Vec::new();
        while !is_over.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(2));
            starts.retain(|(index, at)| {
                let is_due = Instant::now() >= *at;
                if is_due {
                    let process = &mut self.processes[*index];
                    process.pid = spawn(process.role, &process.settings, &process.log);
                    self.record.write(format!("{} starts again", process.name));
                }
                !is_due
            });
            for index in 0..self.processes.len() {
                let process = &mut self.processes[index];
                if starts.iter().any(|(known, _)| *known == index) {
                    continue;
                }
                let peak_kb = peak_kb(process.pid);
                if peak_kb > limit_mb * 1024 {
                    let mut children = CHILDREN.lock().expect("the children");
                    if let Some(child) = children.iter_mut().find(|child| child.id() == process.pid) {
                        child.kill().ok();
                        child.wait().ok();
                    }
                    drop(children);
                    let is_planned = process.planned_start.is_some_and(|at| at.elapsed() <= Duration::from_secs(1));
                    process.memory_ends += usize::from(!is_planned);
                    let name = &process.name;
                    self.record.write(format!("{name} has taken {peak_kb} kB and is ended"));
                    starts.push((index, Instant::now() + Duration::from_secs(1)));
                }
            }
        }
    }

    /// Starts all processes again.
    pub fn start_all_again(&mut self) {
        for process in &mut self.processes {
            process.pid = spawn(process.role, &process.settings, &process.log);
        }
        self.record.write("all routers and agents start again");
    }

    /// Writes to the record what the logs say of some events.
    pub fn record_logs(&self, events: &[&str]) {
        for process in &self.processes {
            let log = std::fs::read_to_string(&process.log).unwrap_or_default();
            for line in log.lines().filter(|line| events.iter().any(|event| line.contains(event))) {
                self.record.write(format!("{} logged {line}", process.name));
            }
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        end_all();
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

fn spawn(role: &str, settings: &std::path::Path, log: &std::path::Path) -> u32 {
    let log = File::options().create(true).append(true).open(log).expect("the log");
    let child = Command::new(PROGRAM)
        .args([role, "--platform"])
        .env(include_str!("../settings-variable.txt"), settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log"))
        .stderr(log)
        .spawn()
        .expect("the program starts");
    let pid = child.id();
    CHILDREN.lock().expect("the children").push(child);
    pid
}
