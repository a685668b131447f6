//! A small deployment on loopback addresses: the project's processes beside the stand-ins.

use std::{
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    PROGRAM,
    client::{HOST, ready_status},
    names::Names,
    record::Record,
    server::{Server, Sizes},
    store::Store,
};

pub const ENGINES: &str = "huvo11a";
pub const PLAIN: &str = "wuno96b";
pub const ZONE: &str = "colombo-a";

pub struct Process {
    pub name: String,
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

/// Sends a signal by the shell's own command, which needs no program.
fn send_signal(signal: &str, process: u32) {
    let command = format!("kill {signal} {process}");
    Command::new("bash").args(["-c", &command]).status().ok();
}

pub struct Fleet {
    pub names: Arc<Names>,
    pub record: Record,
    pub store: Store,
    pub folder: PathBuf,
    pub processes: Vec<Process>,
    gossip_port: u16,
    /// The ids of the processes.
    children: Arc<Mutex<Vec<u32>>>,
}

/// Returns a loopback address of this run.
pub fn ip(number: u8) -> IpAddr {
    let [.., higher, lower] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 0x40 | (higher & 0x3f), lower, number))
}

/// Returns two free ports, which differ as both are taken at once.
fn free_ports(ip: IpAddr) -> (u16, u16) {
    let probes = [0, 1].map(|_| TcpListener::bind((ip, 0)).expect("a free port"));
    let [first, second] = probes.each_ref().map(|probe| {
        let address = probe.local_addr().expect("an address");
        address.port()
    });
    (first, second)
}

impl Fleet {
    pub fn start(names: Names, record: &Record) -> Self {
        let names = Arc::new(names);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start(ip(250), &names, record);
        let gossip_port = loop {
            let (port, _) = free_ports(ip(1));
            if UdpSocket::bind((ip(1), port)).is_ok() {
                break port;
            }
        };
        Self {
            names,
            record: record.clone(),
            store,
            folder,
            processes: Vec::new(),
            gossip_port,
            children: Arc::default(),
        }
    }

    fn settings(&self, name: &str, class: &str, ip: IpAddr, lines: &str) -> String {
        let port = self.gossip_port;
        let store = self.store.address;
        let window = self.names.get("stable_window");
        format!(
            "NodeName={name}\nRole=my-{class}\nMachineClass={class}\nServes={class}\nIp={ip}\n\
            Zone={ZONE}\nRegion=lk-west\nZones.{ZONE}=lk-west\n{lines}PortRange={port},{port}\n\
            Bootstrap=true\nInTolerance=false\nLimits.CpuShare=0.19\nLimits.Cores=1\n\
            Limits.MemoryMb=260\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0\n\
            Discovery=platform\nEntry=virtual_ip\nHeartbeatMs=1200\n\
            Contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n\
            Tolerate.Machines=1\nTolerate.Zones=0\nTolerate.Regions=0\nBounds.SeedLagS=3\n\
            Bounds.AddrReuseS=2\nBounds.{window}=3000\nBounds.AckMs=4000\nBounds.CatchUpS=4\n\
            Bounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\nBounds.ApplyMs=2000\n\
            Bounds.DowngradeMs=250\nBounds.SkewMaxMs=5000\nBounds.BudgetRatio=0.2\n\
            Bounds.BudgetWindowS=10\nBounds.RetrySlack=56\nBounds.RecoveryS=12\n\
            Bounds.PassMs=120\nBounds.RetryAfterS=0\nBounds.RequireFence=true\n\
            Bounds.LeaseMs=3000\nBounds.UnfreezeMs=300\nBounds.CeilingWindowS=5\n\
            Bounds.BurstFactor=1.1\nPlatform.Address={store}\nPlatform.form=objects\n\
            Platform.WritesPerS=400\nPlatform.ReadsPerS=2000\nPlatform.HistoryS=20\n\
            Platform.ValueBytes=1048576\nPlatform.TtlMinMs=1000\n"
        )
    }

    fn spawn(&self, role: &str, name: &str, settings: &str) -> Child {
        let path = self.folder.join(format!("{name}.conf"));
        std::fs::write(&path, settings).expect("the settings are written");
        let open = || {
            File::options()
                .create(true)
                .append(true)
                .open(self.folder.join(format!("{name}.log")))
                .expect("the log opens")
        };
        self.record.note(format!("{name} starts"));
        let child = Command::new(PROGRAM)
            .args([role, "--platform"])
            .env(self.names.get("settings_variable"), &path)
            .stdin(Stdio::null())
            .stdout(open())
            .stderr(open())
            .spawn()
            .expect("the program starts");
        self.children.lock().expect("not poisoned").push(child.id());
        child
    }

    /// Starts a router; returns its index.
    pub fn start_router(&mut self, number: u8) -> usize {
        let ip = ip(number);
        let (callers, ready) = free_ports(ip);
        let name = format!("front-{ZONE}-{number}");
        let lines = format!("Listen.Front={ip}:{callers}\nListen.Ready={ip}:{ready}\n");
        let settings = self.settings(&name, "front", ip, &lines);
        let child = self.spawn("router", &name, &settings);
        self.processes.push(Process {
            name,
            child,
            callers: SocketAddr::new(ip, callers),
            ready: SocketAddr::new(ip, ready),
        });
        self.processes.len() - 1
    }

    /// Starts the agent beside a model server; returns its index.
    pub fn start_agent(&mut self, engine: &Server) -> usize {
        let ip = engine.address.ip();
        let name = format!("side-{ZONE}-{}", engine.id);
        let lines = format!("app={}\nService={ENGINES}\n", engine.address);
        let settings = self.settings(&name, "side", ip, &lines);
        let child = self.spawn("agent", &name, &settings);
        self.processes.push(Process {
            name,
            child,
            callers: engine.address,
            ready: engine.address,
        });
        self.processes.len() - 1
    }

    pub fn kill(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.child.kill().ok();
        process.child.wait().ok();
        self.record.note(format!("{} is killed", process.name));
    }

    /// Starts a killed process again with the settings that it had.
    pub fn start_again(&mut self, index: usize, role: &str) {
        let name = self.processes[index].name.clone();
        let path = self.folder.join(format!("{name}.conf"));
        let settings = std::fs::read_to_string(path).expect("the settings are there");
        self.processes[index].child = self.spawn(role, &name, &settings);
    }

    pub fn wait_until_ready(&mut self, index: usize) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if ready_status(self.processes[index].ready) == 200 {
                return true;
            }
            if self.processes[index]
                .child
                .try_wait()
                .ok()
                .flatten()
                .is_some()
            {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn start_plain(&self, number: u8) -> Server {
        let id = format!("i-plain{number}");
        Server::start(
            ip(number),
            &id,
            PLAIN,
            ZONE,
            None,
            &self.names,
            &self.record,
            &self.store,
        )
    }

    pub fn start_engine(&self, number: u8, sizes: Sizes, models: &[&str]) -> Server {
        let id = format!("i-engine{number}");
        let server = Server::start(
            ip(number),
            &id,
            ENGINES,
            ZONE,
            Some(sizes),
            &self.names,
            &self.record,
            &self.store,
        );
        let mut state = server.state();
        for model in models {
            let model = (*model).to_owned();
            state.models.loaded.insert(model.clone(), Vec::new());
            state.models.on_disk.push(model);
        }
        drop(state);
        server
    }

    /// Writes the operator's configuration.
    pub fn write_config(&self, version: u64, engine: Option<&Sizes>) {
        let prefix = self.names.get("path_prefix");
        let route = |name: &str, path: &str, kind: &str, service: &str, more: &str| {
            format!(
                "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"{prefix}\":\"{path}\",\
                \"Kind\":\"{kind}\",\"Priority\":2,\"Service\":\"{service}\",{more}}}"
            )
        };
        let plain = "\"TimeoutMs\":1500,\"TargetLatencyMs\":150,\"Attempts\":2";
        let unsafe_plain = "\"TimeoutMs\":1500,\"TargetLatencyMs\":150,\"Attempts\":1";
        let stream = "\"TimeoutMs\":12000,\"TargetLatencyMs\":500,\"Attempts\":2,\
            \"Sticky\":true,\"CanResume\":true,\"MaxGapMs\":150";
        let night = "\"TimeoutMs\":25000,\"TargetLatencyMs\":3000,\"Attempts\":1,\
            \"Sticky\":true,\"CanResume\":false,\"MaxGapMs\":150";
        let mut routes = vec![
            route("r-read", "/cufi504/", "idempotent", PLAIN, plain),
            route(
                "r-write",
                "/puxa403/",
                "non_idempotent",
                PLAIN,
                unsafe_plain,
            ),
        ];
        let mut services = vec![format!(
            "{{\"Name\":\"{PLAIN}\",\"HealthPath\":\"/health\",\"MaxConns\":110,\
            \"Protocol\":\"h1\",\"Tls\":false}}"
        )];
        if let Some(sizes) = engine {
            routes.push(route("r-stream", "/lohu930/", "stream", ENGINES, stream));
            routes.push(route("r-night", "/pufi791/", "stream", ENGINES, night));
            let models: Vec<String> = sizes
                .model_mb
                .iter()
                .map(|(model, mb)| {
                    format!(
                        "{{\"Name\":\"{model}\",\"{}\":{mb},\"LoadS\":{},\"Adapters\":37,\
                        \"AdapterMb\":{},\"WarmS\":0.44,\"DiskS\":0.68}}",
                        self.names.get("weights"),
                        sizes.load.as_secs_f64(),
                        sizes.adapter_mb
                    )
                })
                .collect();
            services.push(format!(
                "{{\"Name\":\"{ENGINES}\",\"HealthPath\":\"/health\",\"MaxConns\":300,\
                \"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":48,\
                \"KvCapacity\":122202,\"{}\":{},\"{}\":{},\"LoadsPerS\":2.9,\"Models\":[{}]}}}}",
                self.names.get("weights"),
                sizes.weights_mb,
                self.names.get("adapter_slots"),
                sizes.adapter_slots,
                models.join(",")
            ));
        }
        let config = format!(
            "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\
            \"Limits\":{{\"HeaderBytes\":16384,\"BodyBytes\":4194304,\
            \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
            routes.join(","),
            services.join(",")
        );
        self.store.write("config", "main", &config);
    }

    /// Ends all processes, and this one, after so long.
    pub fn end_after(&self, longest: Duration, record_path: PathBuf) {
        let children = self.children.clone();
        let (record, folder) = (self.record.clone(), self.folder.clone());
        std::thread::spawn(move || {
            std::thread::sleep(longest);
            for id in children.lock().expect("not poisoned").iter() {
                send_signal("-KILL", *id);
            }
            record.note("the case couldn't run: it takes too long");
            record.write(&record_path);
            std::fs::remove_dir_all(&folder).ok();
            println!("the case couldn't run: it takes too long");
            std::process::exit(2);
        });
    }

    /// Ends all processes that this run started.
    pub fn end(&mut self) {
        for process in &mut self.processes {
            process.child.kill().ok();
            process.child.wait().ok();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}
