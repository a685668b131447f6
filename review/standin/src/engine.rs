//! A model server, or a server of a plain service, as a process of its own.

use std::{
    fs::File,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{Message, call, read_message, write_response},
    server::request_id,
    wire,
};

/// What the server's answers consist of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Content {
    /// A stream of events.
    Events,
    /// Text that comes in parts.
    Text,
}

/// What a server is started with.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    pub id: String,
    pub service: String,
    pub version: String,
    pub born_unix_ms: u64,
    pub content: Content,
    /// One answer in so many has neither a length nor chunks and ends with its connection; 0 for none.
    pub unframed_one_in: u64,
    /// The events or parts of an answer, and the time between two of them.
    pub events: u64,
    pub gap_ms: u64,
    /// Whether it holds its model from the start, or has it on its disk alone.
    pub is_loaded: bool,
    /// The answers that it has begun.
    pub answers: Arc<AtomicU64>,
    /// Whether its disk has a copy of its model.
    pub has_copy: bool,
    pub state: Arc<State>,
}

/// What changes while an engine runs.
#[derive(Default)]
pub struct State {
    /// When an order to load its model was accepted.
    loading_since: Mutex<Option<Instant>>,
    orders: AtomicU64,
    fence: AtomicU64,
    running: AtomicU64,
    is_leaving: AtomicBool,
}

/// How long a load takes from the disk, and from the weight store.
const DISK_LOAD_TIME: Duration = Duration::from_millis(680);
const COLD_LOAD_TIME: Duration = Duration::from_millis(6000);
/// The path by which a stand-in is told that it leaves.
const LEAVE_PATH: &str = "/standin/leave";

const MODEL: &str = "m1";

impl Engine {
    /// The arguments of its process, which notes in the file `runs` what it runs.
    pub fn arguments(&self, runs: &str) -> Vec<String> {
        let settings = json!({"address": self.address.to_string(), "id": self.id,
            "service": self.service, "version": self.version, "born": self.born_unix_ms,
            "unframed_one_in": self.unframed_one_in, "text": self.content == Content::Text, "is_loaded": self.is_loaded, "has_copy": self.has_copy,
            "events": self.events, "gap_ms": self.gap_ms, "runs": runs});
        vec!["engine".to_owned(), settings.to_string()]
    }

    fn read(settings: &Value) -> Self {
        let text = |key: &str| settings[key].as_str().expect("a text").to_owned();
        let number = |key: &str| settings[key].as_u64().expect("a number");
        let is = |key: &str| settings[key] == true;
        Self {
            address: text("address").parse().expect("an address"),
            id: text("id"),
            service: text("service"),
            version: text("version"),
            born_unix_ms: number("born"),
            content: if is("text") {
                Content::Text
            } else {
                Content::Events
            },
            unframed_one_in: number("unframed_one_in"),
            events: number("events"),
            gap_ms: number("gap_ms"),
            is_loaded: is("is_loaded"),
            answers: Arc::default(),
            has_copy: is("has_copy"),
            state: Arc::default(),
        }
    }

    /// Its entry in the store's list.
    pub fn entry(&self, state: &str) -> Value {
        let mut entry = json!({"Service": self.service, "Address": self.address.to_string(),
            "Zone": "zone-a", "Version": self.version, "Slots": 48, "State": state, "ColdLeftMs": 0,
            "Seq": 0, "born": self.born_unix_ms});
        if self.content == Content::Events {
            entry["Stage"] = "colocated".into();
            entry["Models"] = self.models();
        }
        entry
    }

    fn is_load_done(&self, since: Instant) -> bool {
        let time = if self.has_copy {
            DISK_LOAD_TIME
        } else {
            COLD_LOAD_TIME
        };
        since.elapsed() >= time
    }

    fn has_model(&self) -> bool {
        let since = *self.state.loading_since.lock().expect("not poisoned");
        self.is_loaded || since.is_some_and(|since| self.is_load_done(since))
    }

    fn models(&self) -> Value {
        if self.has_model() {
            json!([{"Name": MODEL, "Version": 1, "Adapters": []}])
        } else {
            json!([])
        }
    }

    fn report(&self) -> Value {
        let since = *self.state.loading_since.lock().expect("not poisoned");
        let is_busy = since.is_some_and(|since| !self.is_load_done(since));
        let copies = if self.has_copy || self.has_model() {
            vec![MODEL]
        } else {
            Vec::new()
        };
        let is_leaving = self.state.is_leaving.load(Ordering::Relaxed);
        json!({"Stage": "colocated", "Models": self.models(), "Busy": is_busy,
            "Seq": self.state.orders.load(Ordering::Relaxed), "QueueLen": 0,
            "BatchLen": self.state.running.load(Ordering::Relaxed), "KvUsed": 0, "KvTotal": 122_202,
            "Handles": 0, "AtHand": {"InMemory": [], "OnDisk": copies},
            "State": if is_leaving { "draining" } else { "ready" }, "born": self.born_unix_ms})
    }

    /// Carries out an order to load its only model; returns the status.
    fn order(&self, request: &Message) -> u16 {
        let expected = request.header(&wire::header("Expect-Instance"));
        if expected.is_some_and(|id| id != self.id) {
            return 421;
        }
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let Some(fence) = order["Fence"].as_u64() else {
            return 400;
        };
        if fence < self.state.fence.fetch_max(fence, Ordering::Relaxed) {
            return 412;
        }
        if order["Operation"] != "load" || order["Model"] != MODEL {
            return 400;
        }
        let mut since = self.state.loading_since.lock().expect("not poisoned");
        let orders = self.state.orders.load(Ordering::Relaxed);
        match *since {
            _ if self.is_loaded => 200,
            Some(since) if self.is_load_done(since) => 200,
            Some(_) => 409,
            None if order["Expected"]
                .as_u64()
                .is_some_and(|expected| expected != orders) =>
            {
                409
            }
            None => {
                *since = Some(Instant::now());
                self.state.orders.fetch_add(1, Ordering::Relaxed);
                202
            }
        }
    }

    /// The header that all its answers have once it leaves.
    fn leaving(&self) -> Vec<(String, String)> {
        let is_leaving = self.state.is_leaving.load(Ordering::Relaxed);
        let header = (wire::text("leaving").to_owned(), "1".to_owned());
        if is_leaving { vec![header] } else { Vec::new() }
    }

    /// Tells the running server that it leaves.
    pub fn leave(&self) {
        let request = format!("GET {LEAVE_PATH} HTTP/1.1\r\nHost: x\r\n\r\n");
        call(self.address, request.as_bytes(), Duration::from_secs(1)).expect("it is told");
    }

    fn part(&self, number: u64) -> String {
        match self.content {
            Content::Events => event(number, &self.version),
            Content::Text => format!("line {number} of {}\n", self.events),
        }
    }

    fn serve(&self, stream: &TcpStream, runs: &Mutex<File>) {
        stream.set_nodelay(true).ok();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let mut json = self.leaving();
            json.push(("Content-Type".to_owned(), "application/json".to_owned()));
            let is_kept = match request.path() {
                "/v1/report" => {
                    let report = self.report().to_string();
                    write_response(stream, 200, &json, report.as_bytes())
                }
                "/v1/order" => write_response(stream, self.order(&request), &json, b"{}"),
                LEAVE_PATH => {
                    self.state.is_leaving.store(true, Ordering::Relaxed);
                    write_response(stream, 200, &json, b"{}")
                }
                "/health" => {
                    let status = if json.len() > 1 { 503 } else { 200 };
                    json.push((wire::header("Instance-Id"), self.id.clone()));
                    write_response(stream, status, &json, b"")
                }
                _ => {
                    self.state.running.fetch_add(1, Ordering::Relaxed);
                    let is_kept = self.answer(stream, &request, runs);
                    self.state.running.fetch_sub(1, Ordering::Relaxed);
                    is_kept
                }
            };
            if !is_kept {
                return;
            }
        }
    }

    fn answer(&self, mut stream: &TcpStream, request: &Message, runs: &Mutex<File>) -> bool {
        let expected = request.header(&wire::header("Expect-Instance"));
        if expected.is_some_and(|id| id != self.id) {
            let mut headers = self.leaving();
            headers.push((wire::header("Instance-Id"), self.id.clone()));
            return write_response(stream, 421, &headers, b"");
        }
        let id = request_id(request);
        if self.content == Content::Events && !self.has_model() {
            let mut headers = self.leaving();
            headers.push((wire::header("Instance-Id"), self.id.clone()));
            headers.push((wire::header("Request-Id"), id));
            return write_response(stream, 421, &headers, b"");
        }
        let note = |text: String| {
            let mut runs = runs.lock().expect("not poisoned");
            let line = format!("{} {text}\n", self.id);
            runs.write_all(line.as_bytes())
                .expect("the runs can be written");
        };
        let first = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        let first: u64 = first.unwrap_or(0);
        let count = self.answers.fetch_add(1, Ordering::Relaxed);
        let one_in = self.unframed_one_in;
        let is_unframed = one_in > 0 && count % one_in == one_in - 1;
        let end = if is_unframed {
            "no length or chunks"
        } else {
            "chunks"
        };
        note(format!("runs {id}, from part {}, {end}", first + 1));
        let (id_name, seal) = (wire::header("Request-Id"), wire::header("Server-Seal"));
        let content_type = match self.content {
            Content::Events => "text/event-stream",
            Content::Text => "text/plain",
        };
        let framing = if is_unframed {
            "Connection: close"
        } else {
            "Transfer-Encoding: chunked"
        };
        let leaving = self.leaving();
        let leaving: String = leaving
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let head = format!(
            "HTTP/1.1 200 OK\r\n{id_name}: {id}\r\n{seal}: seal.{}\r\nContent-Type: {content_type}\r\n\
            {leaving}{framing}\r\n\r\n",
            self.id
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in first + 1..=self.events {
            sleep(Duration::from_millis(self.gap_ms));
            let part = self.part(number);
            let bytes = if is_unframed {
                part
            } else {
                format!("{:x}\r\n{part}\r\n", part.len())
            };
            if stream.write_all(bytes.as_bytes()).is_err() {
                note(format!("{id}: its caller has left before part {number}"));
                return false;
            }
        }
        note(format!("{id}: all {} parts sent", self.events));
        !is_unframed && stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// The bytes of an event, which names the software version that wrote it.
pub fn event(id: u64, version: &str) -> String {
    format!("id: {id}\ndata: part {id} of {version}\n\n")
}

/// Serves until the process is killed.
pub fn serve(settings: &str) -> i32 {
    let settings: Value = serde_json::from_str(settings).expect("the settings are JSON");
    let engine = Engine::read(&settings);
    let runs = settings["runs"].as_str().expect("a path");
    let runs = File::options().create(true).append(true).open(runs);
    let runs = Arc::new(Mutex::new(runs.expect("the runs can be written")));
    let listener = TcpListener::bind(engine.address).expect("the engine's address is free");
    for stream in listener.incoming().flatten() {
        let (engine, runs) = (engine.clone(), runs.clone());
        std::thread::spawn(move || engine.serve(&stream, &runs));
    }
    0
}
