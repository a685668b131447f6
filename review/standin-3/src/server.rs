//! A stand-in for the users' servers: model engines and plain services.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufReader, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{Message, read_message, respond},
    record::Record,
    store::Store,
};

const HEARTBEAT: Duration = Duration::from_millis(1200);
/// An entry outlives its server by this many heartbeats.
const ENTRY_HEARTBEATS: u32 = 3;
/// Work of a plain request.
const PLAIN_WORK: Duration = Duration::from_millis(30);
/// The usual time to the first event of a stream.
pub const FIRST_EVENT: Duration = Duration::from_millis(60);
/// The part of prompts that crashes servers.
pub const CRASHING_PART: &str = "bad0bad0";
/// The body of a request that crashes servers.
pub const CRASHING_BODY: &[u8] = b"this request crashes the server that runs it";

/// The model that a request with that body asks for if it crashes engines.
pub const CRASHING_MODEL: &str = "m2";

/// The body of a plain answer.
pub const BODY: [u8; 800] = [b'x'; 800];

/// What a server is.
#[derive(Clone)]
pub struct Kind {
    pub name: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    /// The models that it holds at the start; `None` for a plain service.
    pub models: Option<Vec<&'static str>>,
    /// How many events its streams have, and the time between them.
    pub events: u64,
    pub event_gap: Duration,
    /// Whether the requests and parts that crash servers do.
    pub crashes: bool,
    /// How long it is down after a crash.
    pub down: Duration,
    /// Whether it starts again under the identifier that it had.
    pub keeps_id: bool,
    /// Whether its answers have no length and end with their connection, and come in two halves with this
    /// time between them.
    pub halves_gap: Option<Duration>,
    /// The version of its software at the start.
    pub version: &'static str,
    /// Time to the first event of a stream.
    pub first_event: Duration,
}

/// A request that has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub server: String,
    pub request: String,
    pub target: String,
    pub model: String,
    pub prompt: String,
}

/// The limits of an engine, as in the configuration.
#[derive(Clone, Debug)]
pub struct EngineLimits {
    pub weights_mb: f64,
    pub adapter_slots: usize,
    pub adapter_mb: f64,
    pub model_mb: BTreeMap<String, f64>,
    pub load_ms: u64,
    pub disk_load_ms: u64,
}

/// One life of a server.
#[derive(Default)]
struct Life {
    number: u64,
    is_up: bool,
    id: String,
    version: String,
    born_unix_ms: u64,
    heartbeats: u64,
    /// Orders accepted.
    orders: u64,
    highest_fence: u64,
    /// Adapters of each model that it holds.
    models: BTreeMap<String, BTreeSet<String>>,
    /// The model that it loads, or unloads once its runs have ended.
    loading: Option<String>,
    running: u32,
    running_by_model: BTreeMap<String, u32>,
    connections: Vec<TcpStream>,
}

/// An order that gets no answer and is carried out late.
pub struct LateOrder {
    pub operation: String,
    pub adapter: String,
    pub after: Duration,
}

#[derive(Clone)]
pub struct Server {
    pub kind: Kind,
    pub address: SocketAddr,
    limits: Arc<EngineLimits>,
    store: Store,
    record: Record,
    life: Arc<Mutex<Life>>,
    /// The models of which it has a copy on its disk.
    on_disk: Arc<Mutex<BTreeSet<String>>>,
    runs: Arc<Mutex<Vec<Run>>>,
    crashes: Arc<Mutex<Vec<u64>>>,
    late: Arc<Mutex<Option<LateOrder>>>,
    /// The link by which others reach it, and whether it is cut off from the store.
    link: Arc<Mutex<Option<SocketAddr>>>,
    is_off_store: Arc<AtomicBool>,
    /// The version of its software from its next start on.
    next_version: Arc<Mutex<Option<&'static str>>>,
    overfull: Arc<Mutex<Vec<String>>>,
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

impl Server {
    pub fn start(
        kind: Kind,
        ip: IpAddr,
        limits: &Arc<EngineLimits>,
        store: &Store,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            kind,
            limits: limits.clone(),
            store: store.clone(),
            record: record.clone(),
            life: Arc::default(),
            on_disk: Arc::default(),
            runs: Arc::default(),
            crashes: Arc::default(),
            late: Arc::default(),
            link: Arc::default(),
            is_off_store: Arc::default(),
            next_version: Arc::default(),
            overfull: Arc::default(),
        };
        let models = server.kind.models.clone().unwrap_or_default();
        let held = models.iter().map(|model| ((*model).to_owned(), BTreeSet::new())).collect();
        server.begin_life(listener, held);
        server
    }

    /// Lists it at the address of a link from now on.
    pub fn set_link(&self, link: SocketAddr) {
        *self.link.lock().expect("the link") = Some(link);
        let id = self.life.lock().expect("the life").id.clone();
        let entry = self.entry();
        self.store.write("servers", &id, entry);
    }

    /// Returns the address that its entry names.
    pub fn listed_address(&self) -> SocketAddr {
        self.link.lock().expect("the link").unwrap_or(self.address)
    }

    /// Changes the version of its software from its next start on.
    pub fn set_next_version(&self, version: &'static str) {
        *self.next_version.lock().expect("the version") = Some(version);
    }

    /// Cuts it off from the store, or mends that.
    pub fn set_off_store(&self, is_off: bool) {
        self.is_off_store.store(is_off, Ordering::SeqCst);
    }

    /// Returns the requests that have begun to run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("runs").clone()
    }

    /// Returns when it has crashed.
    pub fn crashes(&self) -> Vec<u64> {
        self.crashes.lock().expect("crashes").clone()
    }

    /// Returns the orders to load more than it can hold.
    pub fn overfull(&self) -> Vec<String> {
        self.overfull.lock().expect("orders").clone()
    }

    /// Returns the orders that were accepted in this life, and the adapters that it holds.
    pub fn orders_and_adapters(&self) -> (u64, usize) {
        let life = self.life.lock().expect("the life");
        (life.orders, life.models.values().map(BTreeSet::len).sum())
    }

    /// Leaves the next order of this kind unanswered, and carries it out late.
    pub fn delay_order(&self, late: LateOrder) {
        *self.late.lock().expect("the late order") = Some(late);
    }

    pub fn has_delayed_order(&self) -> bool {
        self.late.lock().expect("the late order").is_none()
    }

    fn begin_life(&self, listener: TcpListener, models: BTreeMap<String, BTreeSet<String>>) {
        self.on_disk.lock().expect("the disk").extend(models.keys().cloned());
        let version = self.next_version.lock().expect("the version").unwrap_or(self.kind.version);
        let number = {
            let mut life = self.life.lock().expect("the life");
            let number = life.number + 1;
            let id = if self.kind.keeps_id || number == 1 {
                self.kind.name.clone()
            } else {
                format!("{}-{number}", self.kind.name)
            };
            *life = Life {
                number,
                is_up: true,
                id,
                version: version.to_owned(),
                born_unix_ms: unix_ms(),
                models,
                ..Life::default()
            };
            number
        };
        self.record.write(format!("{} starts, life {number}, version {version}", self.kind.name));
        listener.set_nonblocking(true).expect("the listener");
        let server = self.clone();
        std::thread::spawn(move || server.accept(&listener, number));
        let server = self.clone();
        std::thread::spawn(move || server.beat(number));
    }

    fn is_in_life(&self, number: u64) -> bool {
        let life = self.life.lock().expect("the life");
        life.is_up && life.number == number
    }

    fn beat(&self, number: u64) {
        let id = self.life.lock().expect("the life").id.clone();
        while self.is_in_life(number) {
            if !self.is_off_store.load(Ordering::SeqCst) {
                let entry = self.entry();
                self.store.write("servers", &id, entry);
                self.record.write(format!("{id} is listed"));
            }
            std::thread::sleep(HEARTBEAT);
        }
        std::thread::sleep(HEARTBEAT * (ENTRY_HEARTBEATS - 1));
        let life = self.life.lock().expect("the life");
        if !life.is_up || life.id != id {
            drop(life);
            self.store.remove("servers", &id);
        }
    }

    fn entry(&self) -> Value {
        let address = self.listed_address();
        let mut life = self.life.lock().expect("the life");
        life.heartbeats += 1;
        let mut entry = json!({
            "Service": self.kind.service,
            "Address": address.to_string(),
            "Zone": self.kind.zone,
            "Version": life.version,
            "Slots": self.kind.slots,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": life.heartbeats,
            "born": life.born_unix_ms,
        });
        if self.kind.models.is_some() {
            entry["Stage"] = "colocated".into();
            entry["Models"] = models_text(&life.models);
        }
        entry
    }

    /// Ends the process: all connections close, nothing more is said, and it starts again after a while.
    pub fn crash(&self, why: &str) {
        let connections = {
            let mut life = self.life.lock().expect("the life");
            if !life.is_up {
                return;
            }
            life.is_up = false;
            std::mem::take(&mut life.connections)
        };
        self.crashes.lock().expect("crashes").push(self.record.ms());
        self.record.write(format!("{} crashes: {why}", self.kind.name));
        for connection in connections {
            connection.shutdown(std::net::Shutdown::Both).ok();
        }
        let server = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(server.kind.down);
            loop {
                if let Ok(listener) = TcpListener::bind(server.address) {
                    server.begin_life(listener, BTreeMap::new());
                    return;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
    }

    fn accept(&self, listener: &TcpListener, number: u64) {
        while self.is_in_life(number) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).ok();
                    stream.set_nodelay(true).ok();
                    let mut life = self.life.lock().expect("the life");
                    life.connections.extend(stream.try_clone());
                    drop(life);
                    let server = self.clone();
                    std::thread::spawn(move || server.serve(&stream, number));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, stream: &TcpStream, number: u64) {
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if !self.is_in_life(number) {
                return;
            }
            let is_served = match (request.word(0), request.word(1)) {
                ("GET", "/v1/report") => self.report(stream),
                ("POST", "/v1/order") => self.order(stream, &request),
                _ => self.run(stream, &request, number),
            };
            if is_served.is_none() {
                stream.shutdown(std::net::Shutdown::Both).ok();
                return;
            }
        }
    }

    fn report(&self, stream: &TcpStream) -> Option<()> {
        let on_disk: Vec<String> = self.on_disk.lock().expect("the disk").iter().cloned().collect();
        let report = {
            let life = self.life.lock().expect("the life");
            json!({
                "Stage": "colocated",
                "Models": models_text(&life.models),
                "Busy": life.loading.is_some(),
                "Seq": life.orders,
                "QueueLen": 0,
                "BatchLen": life.running,
                "KvUsed": 0,
                "KvTotal": 122_202,
                "Handles": 0,
                "AtHand": {"InMemory": [], "OnDisk": on_disk},
                "born": life.born_unix_ms,
            })
        };
        let headers = [("content-type", "application/json".to_owned())];
        respond(stream, 200, &headers, report.to_string().as_bytes()).ok()
    }

    fn order(&self, stream: &TcpStream, request: &Message) -> Option<()> {
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let expected_id = request.header("celerystair-expect-instance").map(str::to_owned);
        let mut late = self.late.lock().expect("the late order");
        let is_late = late.as_ref().is_some_and(|late| {
            order["Operation"] == late.operation.as_str() && order["Adapter"] == late.adapter.as_str()
        });
        let late_order = if is_late { late.take() } else { None };
        drop(late);
        if let Some(late) = late_order {
            self.record.write(format!(
                "{} leaves an order unanswered, to be carried out in {} ms: {order}",
                self.kind.name,
                late.after.as_millis()
            ));
            let server = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(late.after);
                let status = server.carry_out(&order, expected_id.as_deref());
                let name = &server.kind.name;
                server.record.write(format!("{name}: the late order gets {status}: {order}"));
            });
            // The caller gives up by itself.
            std::thread::sleep(Duration::from_secs(5));
            return None;
        }
        let status = self.carry_out(&order, expected_id.as_deref());
        self.record.write(format!("{}: order gets {status}: {order}", self.kind.name));
        respond(stream, status, &[], b"").ok()
    }

    /// Carries out an order, and returns the status of its response.
    fn carry_out(&self, order: &Value, expected_id: Option<&str>) -> u16 {
        let mut life = self.life.lock().expect("the life");
        if !life.is_up {
            return 0;
        }
        if expected_id.is_some_and(|id| id != life.id) {
            return 421;
        }
        let fence = order["Fence"].as_u64();
        let (Some(fence), Some(model), true) =
            (fence, order["Model"].as_str(), order["Holder"].is_string())
        else {
            return 400;
        };
        if fence < life.highest_fence {
            return 412;
        }
        life.highest_fence = fence;
        let is_expected = order["Expected"].as_u64().is_none_or(|expected| expected == life.orders);
        if !is_expected || life.loading.is_some() {
            return 409;
        }
        let limits = &self.limits;
        let adapters = life.models.values().map(BTreeSet::len).sum::<usize>();
        let models_mb = life.models.keys().filter_map(|model| limits.model_mb.get(model));
        let used_mb = models_mb.sum::<f64>() + adapters as f64 * limits.adapter_mb;
        let (new_adapters, new_mb, status) = match (order["Operation"].as_str(), order["Adapter"].as_str()) {
            (Some("load"), Some(adapter)) => {
                let Some(held) = life.models.get_mut(model) else {
                    return 400;
                };
                if held.contains(adapter) {
                    return 200;
                }
                held.insert(adapter.to_owned());
                (1, limits.adapter_mb, 202)
            }
            (Some("load"), None) => {
                if life.models.contains_key(model) {
                    return 200;
                }
                let Some(model_mb) = limits.model_mb.get(model).copied() else {
                    return 400;
                };
                life.loading = Some(model.to_owned());
                let (server, model, number) = (self.clone(), model.to_owned(), life.number);
                std::thread::spawn(move || server.finish_load(&model, number));
                (0, model_mb, 202)
            }
            (Some("unload"), Some(adapter)) => {
                let held = life.models.get_mut(model);
                if held.is_none_or(|held| !held.remove(adapter)) {
                    return 200;
                }
                (0, 0.0, 200)
            }
            (Some("unload"), None) => {
                if !life.models.contains_key(model) {
                    return 200;
                }
                life.loading = Some(model.to_owned());
                let (server, model, number) = (self.clone(), model.to_owned(), life.number);
                std::thread::spawn(move || server.finish_unload(&model, number));
                (0, 0.0, 202)
            }
            _ => return 400,
        };
        life.orders += 1;
        let is_overfull = new_mb > 0.0
            && (adapters + new_adapters > limits.adapter_slots || used_mb + new_mb > limits.weights_mb);
        if is_overfull {
            let text = format!(
                "{}: ordered to load more than it holds ({} adapters, {} MB): {order}",
                life.id,
                adapters + new_adapters,
                used_mb + new_mb
            );
            drop(life);
            self.record.write(&text);
            self.overfull.lock().expect("orders").push(text);
            self.crash("it was ordered to load more than it holds");
        }
        status
    }

    fn finish_load(&self, model: &str, number: u64) {
        let is_on_disk = self.on_disk.lock().expect("the disk").contains(model);
        let load_ms = if is_on_disk { self.limits.disk_load_ms } else { self.limits.load_ms };
        std::thread::sleep(Duration::from_millis(load_ms));
        let mut life = self.life.lock().expect("the life");
        if life.is_up && life.number == number {
            life.loading = None;
            life.models.insert(model.to_owned(), BTreeSet::new());
            self.on_disk.lock().expect("the disk").insert(model.to_owned());
        }
    }

    /// Drops a model once its runs have ended.
    fn finish_unload(&self, model: &str, number: u64) {
        loop {
            std::thread::sleep(Duration::from_millis(5));
            let mut life = self.life.lock().expect("the life");
            if !life.is_up || life.number != number {
                return;
            }
            if life.running_by_model.get(model).is_none_or(|count| *count == 0) {
                life.models.remove(model);
                life.loading = None;
                return;
            }
        }
    }

    fn run(&self, stream: &TcpStream, request: &Message, number: u64) -> Option<()> {
        let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let id = header("celerystair-request-id");
        let mut headers = vec![("celerystair-request-id", id.clone())];
        let own_id = self.life.lock().expect("the life").id.clone();
        if request.word(1) == "/health" {
            headers.push(("celerystair-instance-id", own_id));
            return respond(stream, 200, &headers, b"").ok();
        }
        let is_other = request.header("celerystair-expect-instance").is_some_and(|id| id != own_id);
        let model = request.header("celerystair-model");
        let base = model.map(|model| model.split('/').next().unwrap_or_default().to_owned());
        let is_ordered = base.is_some() && self.life.lock().expect("the life").loading == base;
        if !is_other && is_ordered {
            headers.push(("celerystair-not-run", "1".to_owned()));
            return respond(stream, 503, &headers, b"").ok();
        }
        if is_other || model.is_some_and(|model| !self.holds(model)) {
            headers.push(("celerystair-instance-id", own_id));
            return respond(stream, 421, &headers, b"").ok();
        }
        let run = Run {
            at_ms: self.record.ms(),
            server: own_id,
            request: id,
            target: request.word(1).to_owned(),
            model: header("celerystair-model"),
            prompt: header("celerystair-prompt-prefix"),
        };
        self.record.write(format!("{} runs {} {} {}", run.server, run.request, run.target, run.model));
        self.runs.lock().expect("runs").push(run.clone());
        headers.push(("celerystair-server-seal", "5ea1".to_owned()));
        let server = self.clone();
        let running = Running::begin(&server, number, base.unwrap_or_default());
        let served = if self.kind.models.is_some() {
            self.stream(stream, request, &headers, &run)
        } else {
            std::thread::sleep(PLAIN_WORK);
            if self.kind.crashes && request.body == CRASHING_BODY {
                self.crash("a request crashes it");
                return None;
            }
            match self.kind.halves_gap {
                None => respond(stream, 200, &headers, &BODY).ok(),
                Some(gap) => respond_in_halves(stream, &headers, gap),
            }
        };
        drop(running);
        served
    }

    fn holds(&self, model: &str) -> bool {
        let (base, adapter) = model.split_once('/').unwrap_or((model, ""));
        let life = self.life.lock().expect("the life");
        let held = life.models.get(base);
        held.is_some_and(|held| adapter.is_empty() || held.contains(adapter))
    }

    fn stream(
        &self,
        mut stream: &TcpStream,
        request: &Message,
        headers: &[(&str, String)],
        run: &Run,
    ) -> Option<()> {
        let version = self.life.lock().expect("the life").version.clone();
        let last = request.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
        let deadline = request.header("celerystair-deadline-ms").and_then(|ms| ms.parse::<u64>().ok());
        let deadline_ms = run.at_ms + deadline.unwrap_or(u64::MAX / 2);
        std::thread::sleep(self.kind.first_event);
        let mut parts: Vec<&str> = run.prompt.split(',').collect();
        parts.pop();
        let has_crashing_part =
            parts.iter().any(|part| part.split(':').next() == Some(CRASHING_PART));
        if self.kind.crashes && has_crashing_part {
            self.crash("a part of a prompt crashes it");
            return None;
        }
        // The request of one caller crashes servers, not that of another caller to another model.
        let is_crashing = request.body == CRASHING_BODY
            && request.header("celerystair-model") == Some(CRASHING_MODEL);
        if self.kind.crashes && is_crashing {
            self.crash("a request crashes it");
            return None;
        }
        let mut head = "HTTP/1.1 200 x\r\ncontent-type: text/event-stream\r\n\
            transfer-encoding: chunked\r\n"
            .to_owned();
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        stream.write_all(head.as_bytes()).ok()?;
        for event in last.unwrap_or(0) + 1..=self.kind.events {
            if self.record.ms() >= deadline_ms {
                return None;
            }
            let text = format!("id: {event}\ndata: piece {event} of {} by {version}\n\n", run.target);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes()).ok()?;
            std::thread::sleep(self.kind.event_gap);
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }
}

/// Writes an answer that has no length and ends with its connection; returns `None`, as that ends then.
fn respond_in_halves(mut stream: &TcpStream, headers: &[(&str, String)], gap: Duration) -> Option<()> {
    let mut head = "HTTP/1.1 200 x\r\ncontent-type: text/plain\r\nconnection: close\r\n".to_owned();
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let (first, second) = BODY.split_at(BODY.len() / 2);
    stream.write_all(&[head.as_bytes(), first].concat()).ok()?;
    std::thread::sleep(gap);
    stream.write_all(second).ok()?;
    None
}

/// Counts a run until it is dropped.
struct Running<'a> {
    server: &'a Server,
    number: u64,
    model: String,
}

impl<'a> Running<'a> {
    fn begin(server: &'a Server, number: u64, model: String) -> Self {
        let mut life = server.life.lock().expect("the life");
        life.running += 1;
        *life.running_by_model.entry(model.clone()).or_default() += 1;
        drop(life);
        Self { server, number, model }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut life = self.server.life.lock().expect("the life");
        if life.number == self.number {
            life.running = life.running.saturating_sub(1);
            if let Some(count) = life.running_by_model.get_mut(&self.model) {
                *count = count.saturating_sub(1);
            }
        }
    }
}

fn models_text(models: &BTreeMap<String, BTreeSet<String>>) -> Value {
    let models = models.iter();
    models
        .map(|(name, adapters)| json!({"Name": name, "Version": 1, "Adapters": adapters}))
        .collect()
}
