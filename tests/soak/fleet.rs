//! The system under test: its processes, what they stand on, and what is done to them.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    callers::{is_served, status_of},
    checks::KINDS,
    configurations::Written,
    links::{Link, LinkFault},
    plan::{Plan, RESTORED_AFTER_MS, REWRITTEN_AFTER_MS, Step},
    support::{
        StoreStandin, System, UpstreamStandin, eventually,
        store::StoreCopy,
        system::{
            ENGINE_SERVICE, Instance, PLAIN_SERVICE, SETTINGS_PATH_VARIABLE,
            config_with_version_route, free_ports, ready_status, version_path,
        },
        upstream::{AcceptedOrder, Arrival},
    },
};

/// How long a planned stop may take.
const STOP_GRACE_SECONDS: u64 = 5;
/// The platform's own delay before it would kill.
const STOP_SLACK: Duration = Duration::from_millis(500);
/// After a leave is known, new work may come for so long.
const DRAIN: Duration = Duration::from_millis(2300);
/// How old the copy is that the store comes back from.
const COPY_AGE: Duration = Duration::from_millis(1500);
/// How long a plain upstream stays away.
const AWAY: Duration = Duration::from_millis(3500);
/// How long a plain upstream that has crashed takes to start again.
const RESTART: Duration = Duration::from_millis(700);
/// Bounds on what routers know hold from so long after a disturbance on.
pub const STABLE: Duration = Duration::from_secs(3);
/// How soon all is served again once all is mended.
const RECOVERY: Duration = Duration::from_secs(12);
const POLL: Duration = Duration::from_millis(10);

/// How much of everything there is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Routers.
    pub routers: usize,
    /// Engines, each with its agent.
    pub engines: usize,
    /// Plain upstreams.
    pub desks: usize,
    /// Failure domains, over which processes are dealt in turn.
    pub domains: usize,
    /// Whether the platform's list names a domain of its own for all upstreams, which no process knows.
    pub is_misplaced: bool,
}

impl Size {
    /// So many processes of the system: two routers to three agents.
    pub fn of(processes: u64) -> Self {
        let routers = (processes as usize * 2 / 5).max(2);
        Self {
            routers,
            engines: (processes as usize - routers.min(processes as usize)).max(2),
            desks: 2,
            domains: 2,
            is_misplaced: false,
        }
    }

    /// The failure domain of a process, and of the engine that an agent stands beside.
    pub fn domain(self, process: usize) -> String {
        format!("zone-{}", process % self.domains)
    }

    fn listed_domain(self, process: usize) -> String {
        if self.is_misplaced {
            "zone-of-the-list".to_owned()
        } else {
            self.domain(process)
        }
    }

    /// Processes of the system: routers first.
    pub fn processes(self) -> usize {
        self.routers + self.engines
    }

    /// Upstreams: engines first.
    pub fn upstreams(self) -> usize {
        self.engines + self.desks
    }

    /// Links: of each process to the store, then to each upstream.
    pub fn links(self) -> usize {
        self.processes() + self.upstreams()
    }
}

/// A process of the system.
struct Process {
    role: &'static str,
    name: String,
    settings: PathBuf,
    log: PathBuf,
    /// Starts so far.
    starts: usize,
    child: Child,
    is_frozen: bool,
    /// By when a planned stop must be complete, if one is under way.
    stop_until: Option<Instant>,
}

/// What ends by itself after a time.
enum Undo {
    Thaw(usize),
    StoreUp,
    StoreAnswers,
    StoreRestored,
    Rewrite,
    MendLink(usize),
    CheckDrained(usize),
    Return(usize),
    ThawUpstream(usize),
    Calm(&'static str),
}

/// When a router may not have known what the store said.
struct OutOfTouch {
    /// All of them if `None`.
    router: Option<usize>,
    from: Instant,
    until: Instant,
}

/// The system.
pub struct Fleet {
    size: Size,
    store: StoreStandin,
    engines: Vec<UpstreamStandin>,
    desks: Vec<UpstreamStandin>,
    links: Vec<Link>,
    processes: Vec<Process>,
    routers: Vec<(SocketAddr, SocketAddr)>,
    version: u64,
    idle_limit_ms: Arc<AtomicU64>,
    undos: Vec<(Instant, Undo)>,
    /// Of each plain upstream that is away, from when on it was to get no more.
    away: BTreeMap<usize, Instant>,
    /// When routers may not have known what the store said: from a disturbance of theirs, of the store or
    /// of the way between them, until a while after its end.
    out_of_touch: Vec<OutOfTouch>,
    written: Arc<Mutex<Vec<Written>>>,
    /// Copies of the store from before each version.
    copies: Vec<(Instant, StoreCopy)>,
    lives: u64,
    broken: Vec<String>,
}

impl Fleet {
    /// Starts all, and waits until every router serves.
    pub fn start(size: Size, folder: &Path) -> Self {
        let store = StoreStandin::start();
        let mut number = 0;
        let mut ip = || {
            number += 1;
            System::ip(number)
        };
        let engines: Vec<UpstreamStandin> = (0..size.engines)
            .map(|n| {
                UpstreamStandin::start(ip(), &format!("engine-{n}"), ENGINE_SERVICE, &["m1", "m2"])
            })
            .collect();
        let desks: Vec<UpstreamStandin> = (0..size.desks)
            .map(|n| UpstreamStandin::start(ip(), &format!("desk-{n}"), PLAIN_SERVICE, &[]))
            .collect();
        let mut links: Vec<Link> = (0..size.processes())
            .map(|_| Link::start(store.address.ip(), store.address))
            .collect();
        for (index, engine) in engines.iter().enumerate() {
            engine.set_failure_domain(&size.listed_domain(size.routers + index));
            engine.set_software_version(["v1", "v2"][index % 2]);
        }
        for (index, desk) in desks.iter().enumerate() {
            desk.set_failure_domain(&size.listed_domain(index));
        }
        let upstreams = engines.iter().chain(&desks);
        links.extend(upstreams.map(|u| Link::start(u.address.ip(), u.address)));
        let mut fleet = Self {
            size,
            store,
            engines,
            desks,
            links,
            processes: Vec::new(),
            routers: Vec::new(),
            version: 1,
            idle_limit_ms: Arc::default(),
            undos: Vec::new(),
            away: BTreeMap::new(),
            out_of_touch: Vec::new(),
            written: Arc::default(),
            copies: Vec::new(),
            lives: 0,
            broken: Vec::new(),
        };
        fleet.list_all();
        let [gossip_port] = free_ports(ip());
        for index in 0..size.processes() {
            let address = match index.checked_sub(size.routers) {
                Some(engine) => fleet.engines[engine].address.ip(),
                None => ip(),
            };
            fleet.add_process(index, address, gossip_port, folder);
        }
        fleet.broken.extend(fleet.wait_until_served());
        fleet
    }

    fn list_all(&self) {
        self.write_config();
        for (index, upstream) in self.engines.iter().chain(&self.desks).enumerate() {
            let link = &self.links[self.size.processes() + index];
            let entry = upstream.entry_at(link.address);
            self.store.write("servers", &upstream.id(), entry);
        }
        self.list_odd();
    }

    /// Leaves entries of another writer in the list, before, between and after those of upstreams.
    fn list_odd(&self) {
        let deep = "[".repeat(200) + &"]".repeat(200);
        let (Some(desk), Some(link)) = (
            self.desks.first(),
            self.links.get(self.size.processes() + self.engines.len()),
        ) else {
            return;
        };
        let mut port = desk.entry_at(link.address);
        port["Address"] = "127.0.0.1:99999".into();
        // The address of an upstream that is in use, which this entry must not take over.
        let mut address = desk.entry_at(link.address);
        address["Service"] = "nothing".into();
        address["born"] = u64::MAX.into();
        let (port, address) = (port.to_string(), address.to_string());
        let values: [&[u8]; 6] = [
            deep.as_bytes(),
            b"1e999",
            b"\"\xff\xfe\"",
            b"[[[",
            port.as_bytes(),
            address.as_bytes(),
        ];
        for (number, value) in values.iter().enumerate() {
            for prefix in ["a", "desk-0", "z"] {
                let name = format!("{prefix}-odd-{number}");
                self.store.write_raw("servers", &name, value);
            }
        }
    }

    /// The idle limit of callers' connections in the configuration that was written last.
    pub fn idle_limit_ms(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.idle_limit_ms)
    }

    /// The versions that were written, oldest first.
    pub fn written(&self) -> Arc<Mutex<Vec<Written>>> {
        Arc::clone(&self.written)
    }

    /// Whether a router was in touch with the store at a moment, and a while before it.
    pub fn is_in_touch(&self, router: usize, at: Instant) -> bool {
        let is_within = |out: &OutOfTouch| {
            out.router.is_none_or(|out| out == router) && out.from <= at && at < out.until
        };
        !self.out_of_touch.iter().any(is_within)
    }

    /// Writes a version that names a service which is not listed.
    fn write_bad_config(&mut self) {
        self.version += 1;
        let mut config = config_with_version_route(self.version);
        config["Routes"][0]["Service"] = "nothing".into();
        self.put_config(config, false);
    }

    fn put_config(&self, config: serde_json::Value, is_valid: bool) {
        let sent_at = Instant::now();
        self.store.write("config", "main", config);
        let mut written = self.written.lock().expect("versions");
        written.push(Written {
            sent_at,
            at: Instant::now(),
            version: self.version,
            is_valid,
        });
    }

    /// Writes a version that may be in force, if the last one may not.
    fn mend_config(&mut self) {
        let last = self.written.lock().expect("versions").last().copied();
        if last.is_some_and(|last| !last.is_valid) {
            self.version += 1;
            self.write_config();
        }
    }

    /// The store's contents go back by a few seconds.
    fn restore_store(&mut self) {
        let copies = self.copies.iter().rev();
        let mut old = copies.filter(|(at, _)| at.elapsed() >= COPY_AGE);
        if let Some((_, copy)) = old.next() {
            self.store.restore(copy);
        }
        self.store.set_faults(|faults| faults.is_down = false);
    }

    /// Writes the configuration, of which callers know at once. Each version has another idle limit.
    fn write_config(&self) {
        const IDLE_LIMITS_MS: [u64; 4] = [15_000, 500, 60_000, 2000];
        let idle_limit_ms = IDLE_LIMITS_MS[self.version as usize % IDLE_LIMITS_MS.len()];
        let mut config = config_with_version_route(self.version);
        config["Limits"]["IdleTimeoutMs"] = idle_limit_ms.into();
        self.put_config(config, true);
        self.idle_limit_ms.store(idle_limit_ms, Ordering::Relaxed);
    }

    fn add_process(&mut self, index: usize, ip: std::net::IpAddr, gossip_port: u16, folder: &Path) {
        let engine = index.checked_sub(self.size.routers);
        let role = if engine.is_some() { "agent" } else { "router" };
        let name = format!("{role}-{index}");
        let [callers_port, ready_port] = free_ports(ip);
        let instance = Instance {
            name: &name,
            ip,
            failure_domain: &self.size.domain(index),
            callers_port,
            ready_port,
            gossip_port,
            store: self.links[index].address,
            stop_grace_seconds: STOP_GRACE_SECONDS,
        };
        let text = match engine {
            Some(engine) => {
                instance.agent_settings(self.links[self.size.processes() + engine].address)
            }
            None => instance.settings(),
        };
        if engine.is_none() {
            let at = |port| SocketAddr::new(ip, port);
            self.routers
                .push((at(instance.callers_port), at(instance.ready_port)));
        }
        let settings = folder.join(format!("{name}.settings"));
        std::fs::write(&settings, text).expect("settings are written");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(role, &settings, &log);
        self.processes.push(Process {
            role,
            name,
            settings,
            log,
            starts: 1,
            child,
            is_frozen: false,
            stop_until: None,
        });
    }

    /// Where callers connect, by router.
    pub fn router_addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|(callers, _)| *callers).collect()
    }

    /// How often each request ran, over all upstreams.
    pub fn runs_by_id(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for upstream in self.engines.iter().chain(&self.desks) {
            for request in upstream.executed_requests() {
                let id = request.header("celerystair-request-id");
                *runs.entry(id.unwrap_or_default().to_owned()).or_default() += 1;
            }
        }
        runs
    }

    /// The software versions of the engines that ran each request from its start, and of those that went
    /// on with it after an event, by the request's id.
    pub fn versions_by_id(&self) -> BTreeMap<String, [BTreeSet<String>; 2]> {
        let mut versions: BTreeMap<String, [BTreeSet<String>; 2]> = BTreeMap::new();
        for engine in &self.engines {
            for request in engine.executed_requests() {
                let id = request.header("celerystair-request-id");
                let goes_on = request.header("last-event-id").is_some();
                let versions = versions.entry(id.unwrap_or_default().to_owned());
                versions.or_default()[usize::from(goes_on)].insert(engine.software_version());
            }
        }
        versions
    }

    /// What the upstreams of a service have received.
    pub fn arrivals(&self, service: &str) -> Vec<Arrival> {
        let upstreams = self.upstreams_of(service).into_iter();
        upstreams.flat_map(UpstreamStandin::arrivals).collect()
    }

    fn upstreams_of(&self, service: &str) -> Vec<&UpstreamStandin> {
        let upstreams = self.engines.iter().chain(&self.desks);
        upstreams.filter(|u| u.service == service).collect()
    }

    fn upstream(&self, index: usize) -> &UpstreamStandin {
        match index.checked_sub(self.size.engines) {
            Some(desk) => &self.desks[desk],
            None => &self.engines[index],
        }
    }

    /// The orders that each engine has taken.
    pub fn orders(&self) -> Vec<Vec<AcceptedOrder>> {
        self.engines
            .iter()
            .map(UpstreamStandin::accepted_orders)
            .collect()
    }

    /// Does what the plan says; gives what did not hold meanwhile.
    pub fn carry_out(&mut self, plan: &Plan) -> Vec<String> {
        for (pause_ms, step) in &plan.steps {
            self.wait_for(Duration::from_millis(*pause_ms));
            self.take(*step);
        }
        while !self.undos.is_empty() || self.processes.iter().any(|p| p.stop_until.is_some()) {
            self.wait_for(POLL);
        }
        std::mem::take(&mut self.broken)
    }

    fn wait_for(&mut self, pause: Duration) {
        let until = Instant::now() + pause;
        loop {
            self.undo_due();
            self.watch_processes();
            self.restart_crashed();
            if Instant::now() >= until {
                return;
            }
            std::thread::sleep(POLL);
        }
    }

    fn take(&mut self, step: Step) {
        let later = |for_ms| Instant::now() + Duration::from_millis(for_ms);
        if let Some((router, for_ms)) = step.keeps_from_store_ms(self.size.routers) {
            self.out_of_touch.push(OutOfTouch {
                router,
                from: Instant::now(),
                until: later(for_ms) + STABLE,
            });
        }
        match step {
            Step::Stop(index) => self.stop(index),
            Step::Kill(index) => {
                let process = &mut self.processes[index];
                process.child.kill().expect("the process was there");
                process.child.wait().expect("it has ended");
                process.stop_until = None;
                process.start_again();
            }
            Step::Freeze(index, for_ms) => {
                self.processes[index].freeze();
                self.undos.push((later(for_ms), Undo::Thaw(index)));
            }
            Step::Reload(index) => self.processes[index].signal("HUP"),
            Step::ReloadWhenStarted(index) => {
                let process = &self.processes[index];
                eventually("the process logs its start", || process.has_started());
                process.signal("HUP");
                process.signal("HUP");
            }
            Step::Configure => {
                self.copies.push((Instant::now(), self.store.copy()));
                self.version += 1 + self.version % 3;
                self.write_config();
            }
            Step::ConfigureBadly => self.write_bad_config(),
            Step::StoreRestored => {
                self.store.set_faults(|faults| faults.is_down = true);
                let undone = later(RESTORED_AFTER_MS);
                self.undos.push((undone, Undo::StoreRestored));
                let rewritten = undone + Duration::from_millis(REWRITTEN_AFTER_MS);
                self.undos.push((rewritten, Undo::Rewrite));
            }
            Step::StoreDown(for_ms) => {
                self.store.set_faults(|faults| faults.is_down = true);
                self.undos.push((later(for_ms), Undo::StoreUp));
            }
            Step::StoreLosesAnswers(for_ms) => {
                self.store.set_faults(|faults| faults.loses_answers = true);
                self.undos.push((later(for_ms), Undo::StoreAnswers));
            }
            Step::StoreForgets => {
                let revision = self.store.revision();
                self.store
                    .set_faults(|faults| faults.compacted_before = revision);
            }
            Step::Link(index, fault, for_ms) => {
                self.links[index].set(fault);
                self.undos.push((later(for_ms), Undo::MendLink(index)));
            }
            Step::Upstream(index, fault) => self.upstream(index).queue_fault(fault),
            Step::FreezeUpstream(index, for_ms) => {
                self.upstream(index).set_frozen(true);
                self.undos.push((later(for_ms), Undo::ThawUpstream(index)));
            }
            Step::Storm {
                service,
                fault,
                every,
                for_ms,
            } => {
                for upstream in self.upstreams_of(service) {
                    upstream.set_recurring_fault(Some((fault, every)));
                }
                self.undos.push((later(for_ms), Undo::Calm(service)));
            }
            Step::Leave(index) => self.leave(index),
        }
    }

    fn stop(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if process.stop_until.is_none() {
            process.signal("TERM");
            process.stop_until = Some(stop_until());
        }
    }

    /// One plain upstream at a time leaves.
    fn leave(&mut self, index: usize) {
        let is_away = |(_, undo): &(Instant, Undo)| matches!(undo, Undo::Return(_));
        if self.undos.iter().any(is_away) {
            return;
        }
        let desk = &self.desks[index];
        let entry = desk.draining_entry_at(self.desk_link(index).address);
        desk.set_leaving(true);
        self.store.write("servers", &desk.id(), entry);
        let now = Instant::now();
        self.undos.push((now + DRAIN, Undo::CheckDrained(index)));
        self.undos.push((now + AWAY, Undo::Return(index)));
    }

    fn desk_link(&self, index: usize) -> &Link {
        &self.links[self.size.processes() + self.size.engines + index]
    }

    fn undo_due(&mut self) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.undos)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.undos = later;
        for (_, undo) in due {
            match undo {
                Undo::Thaw(index) => self.processes[index].thaw(),
                Undo::StoreUp => self.store.set_faults(|faults| faults.is_down = false),
                Undo::StoreAnswers => {
                    self.store.set_faults(|faults| faults.loses_answers = false);
                }
                Undo::StoreRestored => self.restore_store(),
                Undo::Rewrite => {
                    self.version += 1;
                    self.list_all();
                }
                Undo::MendLink(index) => self.links[index].set(LinkFault::None),
                Undo::CheckDrained(index) => {
                    self.away.insert(index, now);
                }
                Undo::Return(index) => self.take_back(index),
                Undo::ThawUpstream(index) => self.upstream(index).set_frozen(false),
                Undo::Calm(service) => {
                    for upstream in self.upstreams_of(service) {
                        upstream.set_recurring_fault(None);
                    }
                }
            }
        }
    }

    /// A plain upstream starts again under another name.
    fn take_back(&mut self, index: usize) {
        let desk = &self.desks[index];
        desk.set_leaving(false);
        let left_at = self.away.remove(&index);
        let is_excused = |at: Instant| {
            let is_within = |out: &OutOfTouch| out.from <= at && at < out.until;
            self.out_of_touch.iter().any(is_within)
        };
        let is_late = |arrival: &&Arrival| {
            let at = arrival.received_at;
            !arrival.is_misdirected
                && left_at.is_none_or(|left_at| at >= left_at)
                && !is_excused(at)
        };
        if let Some(late) = desk.arrivals().iter().find(is_late) {
            let what = format!("{} got {} after it had left", desk.id(), late.id);
            self.broken.push(what);
        }
        self.store.remove("servers", &desk.id());
        self.lives += 1;
        desk.rename(&format!("desk-{index}-{}", self.lives));
        let entry = desk.entry_at(self.desk_link(index).address);
        self.store.write("servers", &desk.id(), entry);
    }

    /// Starts the plain upstreams that have crashed again, each under another name.
    fn restart_crashed(&mut self) {
        for index in 0..self.size.upstreams() {
            let upstream = self.upstream(index);
            let is_due = upstream
                .down_since()
                .is_some_and(|since| since.elapsed() >= RESTART);
            if is_due {
                self.lives += 1;
                let upstream = self.upstream(index);
                self.store.remove("servers", &upstream.id());
                upstream.restart(&format!("upstream-{index}-{}", self.lives));
                let link = &self.links[self.size.processes() + index];
                let entry = upstream.entry_at(link.address);
                self.store.write("servers", &upstream.id(), entry);
            }
        }
    }

    /// Sets the part of prompts at which engines crash.
    pub fn set_crashing_part(&self, part: &str) {
        for engine in &self.engines {
            engine.set_crashing_part(part);
        }
    }

    /// When upstreams crashed, in order.
    pub fn crashes(&self) -> Vec<Instant> {
        let upstreams = self.engines.iter().chain(&self.desks);
        let mut crashes: Vec<Instant> = upstreams.flat_map(UpstreamStandin::crashes).collect();
        crashes.sort();
        crashes
    }

    /// Starts anew what has stopped as planned; what ends otherwise should not have.
    fn watch_processes(&mut self) {
        for process in &mut self.processes {
            let ended = process.child.try_wait().expect("the process is ours");
            match (ended, process.stop_until) {
                (None, Some(until)) if Instant::now() > until && !process.is_frozen => {
                    let what = format!("{}: its planned stop has no end", process.name);
                    self.broken.push(what);
                    process.child.kill().expect("the process was there");
                    process.stop_until = Some(until + Duration::from_mins(1));
                }
                (None, _) => {}
                (Some(status), None) => {
                    self.broken
                        .push(format!("{} ended by itself: {status}", process.name));
                    process.start_again();
                }
                (Some(_), Some(_)) => {
                    process.stop_until = None;
                    process.start_again();
                }
            }
        }
    }

    /// All is mended: everything must be served again, by the latest configuration.
    pub fn recover(&mut self) -> Vec<String> {
        for link in &self.links {
            link.set(LinkFault::None);
        }
        self.store.set_faults(|faults| {
            faults.is_down = false;
            faults.loses_answers = false;
        });
        self.mend_config();
        let unserved = self.wait_until_served();
        unserved.into_iter().collect()
    }

    fn wait_until_served(&self) -> Option<String> {
        let until = Instant::now() + RECOVERY;
        loop {
            let unserved = self.unserved()?;
            if Instant::now() >= until {
                return Some(format!("not served again within {RECOVERY:?}: {unserved}"));
            }
            std::thread::sleep(POLL);
        }
    }

    /// What is not served now, if anything.
    fn unserved(&self) -> Option<String> {
        for (index, (callers, ready)) in self.routers.iter().enumerate() {
            if std::net::TcpStream::connect(ready).is_err() || ready_status(*ready) != 200 {
                return Some(format!("router {index} is not ready"));
            }
            let path = version_path(self.version);
            let id = format!("probe-{index}-{}", rand::random::<u32>());
            if status_of(*callers, &path, &id) != Some(200) {
                return Some(format!("router {index}: version {}", self.version));
            }
            for kind in KINDS {
                let id = format!("probe-{index}-{}", rand::random::<u32>());
                if !is_served(*callers, kind, &id) {
                    return Some(format!("router {index}: {kind:?}"));
                }
            }
        }
        None
    }

    /// Ends all that was started.
    pub fn end(mut self) {
        for process in &mut self.processes {
            process.child.kill().ok();
            process.child.wait().ok();
        }
        for link in &self.links {
            link.end();
        }
    }
}

impl Process {
    fn start_again(&mut self) {
        self.starts += 1;
        self.is_frozen = false;
        self.child = spawn(self.role, &self.settings, &self.log);
    }

    fn has_started(&self) -> bool {
        let log = std::fs::read_to_string(&self.log).expect("a log");
        log.matches(r#""msg":"started""#).count() >= self.starts
    }

    /// Has it stand still.
    fn freeze(&mut self) {
        self.signal("STOP");
        self.is_frozen = true;
    }

    /// Lets it go on; what it had to do meanwhile it gets the time for anew.
    fn thaw(&mut self) {
        self.signal("CONT");
        self.is_frozen = false;
        self.stop_until = self.stop_until.map(|_| stop_until());
    }

    /// Sends a signal by the process's id.
    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let signal = format!("-{name}");
        Command::new("kill")
            .args([signal.as_str(), &id])
            .status()
            .expect("kill runs");
    }
}

/// By when a planned stop that begins now must be complete.
fn stop_until() -> Instant {
    Instant::now() + Duration::from_secs(STOP_GRACE_SECONDS) + STOP_SLACK
}

fn spawn(role: &str, settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log);
    let log = log.expect("a log");
    Command::new(env!("CARGO_BIN_EXE_celerystair"))
        .args([role, "--platform"])
        .env(SETTINGS_PATH_VARIABLE, settings)
        .stdout(Stdio::from(log.try_clone().expect("a log")))
        .stderr(Stdio::from(log))
        .spawn()
        .expect("the process starts")
}
