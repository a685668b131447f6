//! A server of the users' platform: one of a plain service, or a model server.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::{
    http::{Message, read_message},
    json::Json,
    link::Link,
    names::Names,
    record::Record,
    store::{HEARTBEAT, Store},
};

/// A request that reached the server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub id: String,
    pub status: u16,
}

#[derive(Clone, Debug, Default)]
pub struct Models {
    /// Loaded models with their adapters, and adapters that are being loaded with the time of their end.
    pub loaded: BTreeMap<String, Vec<String>>,
    pub coming: Vec<(String, String, Instant)>,
    pub sequence: u64,
    pub fence: u64,
    /// The order that is carried out: whether it loads, the model, and when it is done.
    pub busy: Option<(bool, String, Instant)>,
    /// Copies of weights that a load leaves.
    pub in_memory: Vec<String>,
    pub on_disk: Vec<String>,
}

/// Sizes of an engine of the configuration.
#[derive(Clone, Debug)]
pub struct Sizes {
    pub weights_mb: f64,
    pub adapter_slots: usize,
    pub model_mb: BTreeMap<String, f64>,
    pub adapter_mb: f64,
    /// A load from the weight store, one from the server's own disk, and one from its memory.
    pub load: Duration,
    pub disk_load: Duration,
    pub memory_load: Duration,
}

pub struct State {
    pub is_up: bool,
    pub version: String,
    pub born_ms: u64,
    /// Whether its heartbeats reach the store.
    pub reaches_store: bool,
    /// Whether it has an entry: some servers that leave never report it, and their entry is removed.
    pub writes_entry: bool,
    pub is_leaving: bool,
    /// Turns requests away until then, with the time that it asks for.
    pub sheds: Option<(Instant, u64)>,
    pub work: Duration,
    pub events: u64,
    pub event_gap: Duration,
    pub arrivals: Vec<Arrival>,
    pub models: Models,
    /// Which streams have neither a length nor chunks, and end with their connection: the one with the
    /// second number, of so many by turns.
    pub unframed: Option<(u64, u64)>,
    pub streams: u64,
    /// The models of the requests that run.
    pub running: Vec<String>,
    /// Broken orders: what would exceed the memory.
    pub overloads: Vec<String>,
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    /// Where others reach it, by its link.
    pub address: SocketAddr,
    own_address: SocketAddr,
    pub link: Link,
    pub service: &'static str,
    pub zone: &'static str,
    sizes: Option<Arc<Sizes>>,
    state: Arc<Mutex<State>>,
    names: Arc<Names>,
    record: Record,
}

impl Server {
    pub fn start(
        ip: IpAddr,
        id: &str,
        service: &'static str,
        zone: &'static str,
        sizes: Option<Sizes>,
        names: &Arc<Names>,
        record: &Record,
        store: &Store,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the server listens");
        let own_address = listener.local_addr().expect("an address");
        let link = Link::start(ip, own_address);
        let server = Self {
            id: id.to_owned(),
            address: link.address,
            own_address,
            link,
            service,
            zone,
            sizes: sizes.map(Arc::new),
            state: Arc::new(Mutex::new(State {
                is_up: true,
                version: "v1".to_owned(),
                born_ms: unix_ms(),
                reaches_store: true,
                writes_entry: true,
                is_leaving: false,
                sheds: None,
                work: Duration::from_millis(30),
                events: 8,
                event_gap: Duration::from_millis(20),
                arrivals: Vec::new(),
                models: Models::default(),
                unframed: None,
                streams: 0,
                running: Vec::new(),
                overloads: Vec::new(),
            })),
            names: names.clone(),
            record: record.clone(),
        };
        let serving = server.clone();
        std::thread::spawn(move || serving.listen(listener));
        let (beating, store) = (server.clone(), store.clone());
        std::thread::spawn(move || {
            let mut sequence = 0;
            let mut last: Option<(Instant, String)> = None;
            loop {
                sequence += 1;
                let entry = beating.entry(sequence);
                let (writes, reaches_store, shape) = {
                    let state = beating.state();
                    let writes = state.is_up && state.writes_entry;
                    (writes, state.reaches_store, beating.shape(&state))
                };
                let is_due = last
                    .as_ref()
                    .is_none_or(|(at, known)| at.elapsed() >= HEARTBEAT || *known != shape);
                // One that doesn't reach the store tries again at the next heartbeat.
                if writes && is_due {
                    if reaches_store {
                        store.beat(&beating.id, &entry);
                    }
                    last = Some((Instant::now(), shape));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        server
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Ends the process: connections are reset, and what it held is gone but for its disk.
    pub fn crash(&self) {
        let mut state = self.state();
        state.is_up = false;
        state.running.clear();
        state.models = Models {
            on_disk: std::mem::take(&mut state.models.on_disk),
            ..Models::default()
        };
    }

    /// Crashes, and is back after some seconds.
    fn crash_for_a_while(&self) {
        const BACK_AFTER: Duration = Duration::from_secs(2);
        let server = self.clone();
        std::thread::spawn(move || {
            server.crash();
            server.record.note(format!("{} crashes", server.id));
            std::thread::sleep(BACK_AFTER);
            server.start_again("v1");
            server.record.note(format!("{} is up again", server.id));
        });
    }

    /// Starts again under the same id.
    pub fn start_again(&self, version: &str) {
        let mut state = self.state();
        state.is_up = true;
        state.born_ms = unix_ms();
        state.version = version.to_owned();
    }

    /// What makes a heartbeat due at once.
    fn shape(&self, state: &State) -> String {
        format!(
            "{} {} {:?} {}",
            state.born_ms, state.version, state.models.loaded, state.writes_entry
        )
    }

    fn entry(&self, sequence: u64) -> String {
        let state = self.state();
        let models = models_json(&state.models);
        let slots = if self.sizes.is_some() { 48 } else { 6 };
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"{}\",\
            \"Slots\":{slots},\"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"colocated\",\
            \"Models\":{models},\"Seq\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, state.version, state.born_ms
        )
    }

    /// Accepts connections while the process is up. Nobody listens while it is down.
    fn listen(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut open: Vec<TcpStream> = Vec::new();
        loop {
            if !self.state().is_up {
                listener = None;
                for stream in open.drain(..) {
                    stream.shutdown(std::net::Shutdown::Both).ok();
                }
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.own_address).ok();
            }
            let Some(current) = &listener else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            current.set_nonblocking(true).ok();
            let Ok((stream, _)) = current.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).ok();
            stream.set_nodelay(true).ok();
            open.retain(|stream| stream.take_error().is_ok() && stream.peer_addr().is_ok());
            open.extend(stream.try_clone());
            let server = self.clone();
            std::thread::spawn(move || {
                server.serve(&stream);
                stream.shutdown(std::net::Shutdown::Both).ok();
            });
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let born_ms = self.state().born_ms;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            {
                let state = self.state();
                if !state.is_up || state.born_ms != born_ms {
                    return;
                }
            }
            if self.answer(&request, stream).is_none() {
                return;
            }
        }
    }

    /// Answers a request; `None` closes the connection.
    fn answer(&self, request: &Message, mut stream: &TcpStream) -> Option<()> {
        let path = request.word(1).to_owned();
        if path == "/v1/report" || path == "/v1/order" {
            let (status, body) = if path == "/v1/report" {
                (200, self.report())
            } else {
                self.order(request)
            };
            let text = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n{}Content-Length: {}\r\n\r\n{body}",
                self.leaving_line(),
                body.len()
            );
            return stream.write_all(text.as_bytes()).ok();
        }
        let id = request.header("celerystair-request-id").unwrap_or("-");
        let id = id.to_owned();
        let at_ms = self.record.now_ms();
        let (status, lines) = self.decide(request);
        let version = {
            let mut state = self.state();
            let version = state.version.clone();
            state.arrivals.push(Arrival {
                at_ms,
                id: id.clone(),
                status,
            });
            version
        };
        let verb = if status == 200 { "runs" } else { "turns away" };
        self.record.note(format!(
            "{} ({version}) {verb} {id}: {status}{}",
            self.id,
            lines.replace("\r\n", " ").trim_end()
        ));
        let echo = format!("{}: {id}\r\n", self.names.header("Request-Id"));
        let leaving = self.leaving_line();
        if status != 200 {
            let text = format!(
                "HTTP/1.1 {status} x\r\n{echo}{leaving}{}Content-Length: 0\r\n\r\n",
                lines
            );
            return stream.write_all(text.as_bytes()).ok();
        }
        let seal = format!("{}: 3e1b.07\r\n", self.names.header("Server-Seal"));
        if request.header("celerystair-model").is_some() || request.word(1).contains("stream") {
            let model = request.header("celerystair-model").unwrap_or_default();
            let base = model.split('/').next().unwrap_or_default().to_owned();
            let born_ms = {
                let mut state = self.state();
                state.running.push(base.clone());
                state.born_ms
            };
            let streamed = self.stream(request, stream, &format!("{echo}{seal}{leaving}{lines}"));
            let mut state = self.state();
            if state.born_ms == born_ms
                && let Some(index) = state.running.iter().position(|running| *running == base)
            {
                state.running.remove(index);
            }
            return streamed;
        }
        let work = self.state().work;
        std::thread::sleep(work);
        if !self.state().is_up {
            return None;
        }
        let body = format!("run of {id} at {}", self.id);
        let text = format!(
            "HTTP/1.1 200 OK\r\n{echo}{seal}{leaving}{lines}Keep-Alive: timeout=5\r\n\
            Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).ok()
    }

    fn leaving_line(&self) -> String {
        if self.state().is_leaving {
            format!("{}: 1\r\n", self.names.get("leaving"))
        } else {
            String::new()
        }
    }

    /// Returns the status, and header lines that go with it.
    fn decide(&self, request: &Message) -> (u16, String) {
        let expected = request.header("celerystair-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let line = format!("{}: {}\r\n", self.names.header("Instance-Id"), self.id);
            return (421, line);
        }
        let mut state = self.state();
        Self::settle(&mut state);
        if let Some((until, retry_after_s)) = state.sheds
            && Instant::now() < until
        {
            let not_run = self.names.header("Not-Run");
            let lines = format!("{not_run}: 1\r\nRetry-After: {retry_after_s}\r\n");
            return (503, lines);
        }
        if let Some(model) = request.header("celerystair-model") {
            let (base, adapter) = model.split_once('/').unwrap_or((model, ""));
            let models = &state.models;
            let is_concerned = models.busy.iter().any(|(_, busy, _)| busy == base)
                || models
                    .coming
                    .iter()
                    .any(|(m, a, _)| m == base && a == adapter);
            if is_concerned {
                return (503, format!("{}: 1\r\n", self.names.header("Not-Run")));
            }
            let adapters = state.models.loaded.get(base);
            let has =
                adapters.is_some_and(|a| adapter.is_empty() || a.iter().any(|a| a == adapter));
            if !has {
                let line = format!("{}: {}\r\n", self.names.header("Instance-Id"), self.id);
                return (421, line);
            }
        }
        (200, String::new())
    }

    fn stream(&self, request: &Message, mut stream: &TcpStream, lines: &str) -> Option<()> {
        let (events, gap, is_unframed, born_ms, version) = {
            let mut state = self.state();
            state.streams += 1;
            let number = state.streams;
            let unframed = state.unframed;
            (
                state.events,
                state.event_gap,
                unframed.is_some_and(|(every, which)| number % every == which),
                state.born_ms,
                state.version.clone(),
            )
        };
        let framing = if is_unframed {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{lines}Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        let last = request.header("last-event-id");
        let first = last.and_then(|id| id.parse().ok()).unwrap_or(0) + 1;
        for number in first..=events {
            std::thread::sleep(gap);
            let is_current = {
                let state = self.state();
                state.is_up && state.born_ms == born_ms
            };
            if !is_current {
                return None;
            }
            let event = format!("id: {number}\ndata: {} {version} {number}\n\n", self.id);
            let text = if is_unframed {
                event
            } else {
                format!("{:x}\r\n{event}\r\n", event.len())
            };
            stream.write_all(text.as_bytes()).ok()?;
        }
        if is_unframed {
            return None;
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }

    fn settle(state: &mut State) {
        let models = &mut state.models;
        let now = Instant::now();
        let done: Vec<(String, String)> = models
            .coming
            .iter()
            .filter(|(_, _, at)| *at <= now)
            .map(|(model, adapter, _)| (model.clone(), adapter.clone()))
            .collect();
        models.coming.retain(|(_, _, at)| *at > now);
        for (model, adapter) in done {
            if let Some(adapters) = models.loaded.get_mut(&model) {
                adapters.push(adapter);
            }
        }
        if let Some((is_load, model, at)) = models.busy.clone()
            && at <= now
            // An unload waits for its runs.
            && (is_load || !state.running.contains(&model))
        {
            models.busy = None;
            if is_load {
                models.loaded.insert(model.clone(), Vec::new());
                if !models.in_memory.contains(&model) {
                    models.in_memory.push(model.clone());
                }
                if !models.on_disk.contains(&model) {
                    models.on_disk.push(model);
                }
            } else {
                models.loaded.remove(&model);
            }
        }
    }

    fn report(&self) -> String {
        let mut state = self.state();
        Self::settle(&mut state);
        let models = &state.models;
        let coming: Vec<String> = models
            .coming
            .iter()
            .map(|(model, adapter, _)| format!("\"{model}/{adapter}@1\""))
            .collect();
        let quoted = |names: &[String]| {
            let names: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
            names.join(",")
        };
        let running = state.running.len();
        format!(
            "{{\"Stage\":\"colocated\",\"Models\":{},\"Busy\":{},\"Seq\":{},\"QueueLen\":0,\
            \"BatchLen\":{running},\"KvUsed\":{},\"KvTotal\":90000,\"Handles\":0,\"Coming\":[{}],\
            \"AtHand\":{{\"InMemory\":[{}],\"OnDisk\":[{}]}},\"born\":{}}}",
            models_json(models),
            models.busy.is_some(),
            models.sequence,
            590 * running,
            coming.join(","),
            quoted(&models.in_memory),
            quoted(&models.on_disk),
            state.born_ms
        )
    }

    fn order(&self, request: &Message) -> (u16, String) {
        let text = request.body_text();
        let status = self.carry_out(request, &Json::parse(&text).unwrap_or(Json::Null));
        self.record
            .note(format!("{} is ordered {text}: {status}", self.id));
        (status, "{}".to_owned())
    }

    fn carry_out(&self, request: &Message, order: &Json) -> u16 {
        let expected = request.header("celerystair-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return 421;
        }
        let Some(sizes) = self.sizes.clone() else {
            return 400;
        };
        let (Some(fence), Some(_), Some(model)) = (
            order.get("Fence").number(),
            order.get("Holder").text(),
            order.get("Model").text(),
        ) else {
            return 400;
        };
        let mut state = self.state();
        Self::settle(&mut state);
        let used_mb = used_mb(&state.models, &sizes);
        let adapters: usize = state.models.loaded.values().map(Vec::len).sum();
        let adapters = adapters + state.models.coming.len();
        let models = &mut state.models;
        if (fence as u64) < models.fence {
            return 412;
        }
        models.fence = fence as u64;
        let expected = order.get("Expected").number();
        if expected.is_some_and(|expected| expected as u64 != models.sequence) {
            return 409;
        }
        let is_load = order.get("Operation").text() == Some("load");
        if let Some(adapter) = order.get("Adapter").text() {
            let Some(known) = models.loaded.get_mut(model) else {
                return 400;
            };
            let is_known = known.iter().any(|known| known == adapter);
            if !is_load {
                known.retain(|known| known != adapter);
                models.sequence += 1;
                return 200;
            }
            if is_known {
                return 200;
            }
            models.sequence += 1;
            let at = Instant::now() + Duration::from_millis(10);
            models
                .coming
                .push((model.to_owned(), adapter.to_owned(), at));
            let needed_mb = used_mb + sizes.adapter_mb;
            if needed_mb > sizes.weights_mb || adapters + 1 > sizes.adapter_slots {
                let line = format!(
                    "{} holds {used_mb} MB and {adapters} adapters of {} MB and {}, and is ordered \
                    to load the adapter {model}/{adapter} of {} MB: {needed_mb} MB",
                    self.id, sizes.weights_mb, sizes.adapter_slots, sizes.adapter_mb
                );
                self.record.note(&line);
                state.overloads.push(line);
                self.crash_for_a_while();
            }
            return 202;
        }
        if models.busy.is_some() {
            return 409;
        }
        if is_load == models.loaded.contains_key(model) {
            return 200;
        }
        models.sequence += 1;
        let load = match is_load {
            true if models.in_memory.iter().any(|known| known == model) => sizes.memory_load,
            true if models.on_disk.iter().any(|known| known == model) => sizes.disk_load,
            true => sizes.load,
            false => Duration::from_millis(50),
        };
        models.busy = Some((is_load, model.to_owned(), Instant::now() + load));
        let model_mb = sizes.model_mb.get(model).copied().unwrap_or_default();
        if is_load && used_mb + model_mb > sizes.weights_mb {
            let line = format!(
                "{} holds {used_mb} MB of {} and is ordered to load {model} of {model_mb} MB",
                self.id, sizes.weights_mb
            );
            self.record.note(&line);
            state.overloads.push(line);
            self.crash_for_a_while();
        }
        202
    }
}

/// The memory of what is loaded and being loaded.
fn used_mb(models: &Models, sizes: &Sizes) -> f64 {
    let loading = models.busy.iter().filter(|(is_load, _, _)| *is_load);
    let loading = loading.map(|(_, model, _)| model);
    let weights: f64 = models
        .loaded
        .keys()
        .chain(loading)
        .map(|model| sizes.model_mb.get(model).copied().unwrap_or_default())
        .sum();
    let adapters: usize = models.loaded.values().map(Vec::len).sum();
    weights + (adapters + models.coming.len()) as f64 * sizes.adapter_mb
}

fn models_json(models: &Models) -> String {
    let loaded: Vec<String> = models
        .loaded
        .iter()
        .map(|(model, adapters)| {
            let adapters: Vec<String> = adapters.iter().map(|a| format!("\"{a}\"")).collect();
            format!(
                "{{\"Name\":\"{model}\",\"Version\":1,\"Adapters\":[{}]}}",
                adapters.join(",")
            )
        })
        .collect();
    format!("[{}]", loaded.join(","))
}

pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
