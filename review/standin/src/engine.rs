//! A model server, or a server of a plain service, as a process of its own.

use std::{
    fs::File,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{Message, read_message, write_response},
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
    /// When an order to load its model was accepted, and how many orders were.
    pub loading: Arc<Mutex<(Option<Instant>, u64)>>,
}

/// How long a load from the disk takes.
const LOAD_TIME: Duration = Duration::from_millis(680);

const MODEL: &str = "m1";

impl Engine {
    /// The arguments of its process, which notes in the file `runs` what it runs.
    pub fn arguments(&self, runs: &str) -> Vec<String> {
        let settings = json!({"address": self.address.to_string(), "id": self.id,
            "service": self.service, "version": self.version, "born": self.born_unix_ms,
            "unframed_one_in": self.unframed_one_in, "text": self.content == Content::Text, "is_loaded": self.is_loaded,
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
            loading: Arc::default(),
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

    fn has_model(&self) -> bool {
        let (since, _) = *self.loading.lock().expect("not poisoned");
        self.is_loaded || since.is_some_and(|since| since.elapsed() >= LOAD_TIME)
    }

    fn models(&self) -> Value {
        if self.has_model() {
            json!([{"Name": MODEL, "Version": 1, "Adapters": []}])
        } else {
            json!([])
        }
    }

    fn report(&self) -> Value {
        let (since, orders) = *self.loading.lock().expect("not poisoned");
        json!({"Stage": "colocated", "Models": self.models(), "Busy": since.is_some() && !self.has_model(),
            "Seq": orders, "QueueLen": 0, "BatchLen": 0, "KvUsed": 0, "KvTotal": 122_202, "Handles": 0,
            "AtHand": {"InMemory": [], "OnDisk": [MODEL]}, "born": self.born_unix_ms})
    }

    /// Carries out an order to load its only model; returns the status.
    fn order(&self, request: &Message) -> u16 {
        let expected = request.header(&wire::header("Expect-Instance"));
        if expected.is_some_and(|id| id != self.id) {
            return 421;
        }
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mut loading = self.loading.lock().expect("not poisoned");
        match *loading {
            _ if order["Operation"] != "load" || order["Model"] != MODEL => 400,
            _ if self.is_loaded => 200,
            (Some(since), _) if since.elapsed() >= LOAD_TIME => 200,
            (Some(_), _) => 409,
            (None, orders) if order["Expected"].as_u64().is_some_and(|e| e != orders) => 409,
            (None, orders) => {
                *loading = (Some(Instant::now()), orders + 1);
                202
            }
        }
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
            let json = [("Content-Type".to_owned(), "application/json".to_owned())];
            let is_kept = match request.path() {
                "/v1/report" => {
                    let report = self.report().to_string();
                    write_response(stream, 200, &json, report.as_bytes())
                }
                "/v1/order" => write_response(stream, self.order(&request), &json, b"{}"),
                "/health" => {
                    let headers = [(wire::header("Instance-Id"), self.id.clone())];
                    write_response(stream, 200, &headers, b"")
                }
                _ => self.answer(stream, &request, runs),
            };
            if !is_kept {
                return;
            }
        }
    }

    fn answer(&self, mut stream: &TcpStream, request: &Message, runs: &Mutex<File>) -> bool {
        let expected = request.header(&wire::header("Expect-Instance"));
        if expected.is_some_and(|id| id != self.id) {
            let headers = [(wire::header("Instance-Id"), self.id.clone())];
            return write_response(stream, 421, &headers, b"");
        }
        let id = request_id(request);
        if self.content == Content::Events && !self.has_model() {
            let headers = [
                (wire::header("Instance-Id"), self.id.clone()),
                (wire::header("Request-Id"), id),
            ];
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
        let is_unframed = one_in > 0 && count % one_in == one_in / 2;
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
        let head = format!(
            "HTTP/1.1 200 OK\r\n{id_name}: {id}\r\n{seal}: seal.{}\r\nContent-Type: {content_type}\r\n\
            {framing}\r\n\r\n",
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
