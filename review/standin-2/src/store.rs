//! The platform's metadata store, as the users' pages describe it: objects with revisions, conditional
//! writes, lists, watches, and entries of servers that expire after three heartbeats of silence.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::{
    http::{Message, read_message},
    json::Json,
    names::Names,
    record::Record,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1200);

#[derive(Clone)]
struct Stored {
    spec: String,
    revision: u64,
    created: u64,
}

type Key = (String, String);

#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    objects: BTreeMap<Key, Stored>,
    /// Revision, kind and event of each change.
    history: Vec<(u64, String, String)>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Outage {
    #[default]
    None,
    /// Every call is answered with 503.
    Busy,
    /// Connections are reset or closed without an answer.
    Reset,
}

#[derive(Default)]
struct State {
    contents: Contents,
    beats: BTreeMap<String, Instant>,
    era: u64,
    outage: Outage,
}

/// The contents of a store at a moment.
pub struct Copy(Contents);

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    names: Arc<Names>,
    record: Record,
}

impl Store {
    pub fn start(ip: std::net::IpAddr, names: &Arc<Names>, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the store listens");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            shared: Arc::default(),
            names: names.clone(),
            record: record.clone(),
        };
        {
            let mut state = store.lock();
            state.contents.revision = 100;
            state.era = 1;
        }
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(&stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("not poisoned")
    }

    fn changed(&self) {
        self.shared.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.lock();
        let silent: Vec<String> = state
            .beats
            .iter()
            .filter(|(_, beat)| beat.elapsed() > 3 * HEARTBEAT)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &silent {
            state.beats.remove(name);
            remove(&mut state.contents, "servers", name);
            self.record
                .note(format!("store: the entry of {name} expires"));
        }
        drop(state);
        if !silent.is_empty() {
            self.changed();
        }
    }

    /// Writes an object unconditionally.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        put(&mut self.lock().contents, kind, name, spec);
        self.changed();
    }

    /// A server's heartbeat. The entry changes when more than its sequence number does.
    pub fn beat(&self, name: &str, spec: &str) {
        let mut state = self.lock();
        if state.outage != Outage::None {
            return;
        }
        state.beats.insert(name.to_owned(), Instant::now());
        let key = ("servers".to_owned(), name.to_owned());
        let known = state.contents.objects.get(&key);
        if known.is_none_or(|known| without_sequence(&known.spec) != without_sequence(spec)) {
            put(&mut state.contents, "servers", name, spec);
        }
        drop(state);
        self.changed();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        state.beats.remove(name);
        remove(&mut state.contents, kind, name);
        drop(state);
        self.changed();
    }

    pub fn set_outage(&self, outage: Outage) {
        self.lock().outage = outage;
        self.changed();
    }

    pub fn copy(&self) -> Copy {
        Copy(self.lock().contents.clone())
    }

    /// Comes back from a copy: its revisions are given out again, and the era rises by one. The entries
    /// of servers in the copy expire after three heartbeats unless their servers write again.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.lock();
        state.contents = copy.0.clone();
        state.era += 1;
        let servers: Vec<String> = state
            .contents
            .objects
            .keys()
            .filter(|(kind, _)| kind == "servers")
            .map(|(_, name)| name.clone())
            .collect();
        for name in servers {
            state.beats.insert(name, Instant::now());
        }
        drop(state);
        self.changed();
    }

    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let outage = self.lock().outage;
            if outage == Outage::Reset {
                return;
            }
            let answer = if outage == Outage::Busy {
                Some((503, "{}".to_owned()))
            } else {
                self.answer(&request)
            };
            let Some((status, body)) = answer else {
                return;
            };
            let era = self.lock().era;
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                Content-Length: {}\r\n\r\n",
                body.len()
            );
            let mut writer = stream;
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix(self.names.get("objects"))?;
        let path = path.strip_prefix('/')?;
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        if let Some(since) = query.get("Watch") {
            let wait_ms = query.get("WaitMs").and_then(|ms| ms.parse().ok());
            return self.watch(kind, since.parse().ok()?, wait_ms.unwrap_or(0));
        }
        let body = Json::parse(&request.body_text()).unwrap_or(Json::Null);
        let mut state = self.lock();
        let contents = &mut state.contents;
        let answer = match request.word(0) {
            "GET" if name.is_empty() => (200, list(contents, kind, query.get("after").copied())),
            "GET" => find(contents, kind, name).map_or((404, "{}".to_owned()), |o| (200, o)),
            "POST" => {
                let name = body.get("Meta").get("Name").text()?.to_owned();
                match find(contents, kind, &name) {
                    Some(known) => (409, known),
                    None => (
                        200,
                        put(contents, kind, &name, &body.get("Spec").to_string()),
                    ),
                }
            }
            "PUT" => {
                let key = (kind.to_owned(), name.to_owned());
                let expected = body.get("Meta").get("Rev").number();
                match contents.objects.get(&key).map(|known| known.revision) {
                    None => (404, "{}".to_owned()),
                    Some(known) if expected.is_some_and(|rev| rev as u64 != known) => {
                        (409, find(contents, kind, name)?)
                    }
                    Some(_) => (
                        200,
                        put(contents, kind, name, &body.get("Spec").to_string()),
                    ),
                }
            }
            "DELETE" => {
                remove(contents, kind, name);
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        };
        drop(state);
        self.changed();
        Some(answer)
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> Option<(u16, String)> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.outage == Outage::Reset {
                return None;
            }
            if state.outage == Outage::Busy {
                return Some((503, "{}".to_owned()));
            }
            if since > state.contents.revision || state.era != era {
                return Some((410, "{}".to_owned()));
            }
            let events: Vec<&str> = state
                .contents
                .history
                .iter()
                .filter(|(revision, event_kind, _)| *revision > since && event_kind == kind)
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"StoreRevision\":{}}}",
                    events.join(","),
                    state.contents.revision
                );
                return Some((200, body));
            }
            state = self
                .shared
                .1
                .wait_timeout(state, left)
                .expect("not poisoned")
                .0;
        }
    }
}

fn without_sequence(spec: &str) -> String {
    match Json::parse(spec) {
        Some(Json::Object(mut members)) => {
            members.retain(|(name, _)| name != "Seq");
            Json::Object(members).to_string()
        }
        _ => spec.to_owned(),
    }
}

fn object(name: &str, stored: &Stored) -> String {
    format!(
        "{{\"Meta\":{{\"Name\":\"{name}\",\"Rev\":{},\"CreatedRev\":{},\"Finalizers\":[],\
        \"Deleting\":false}},\"Spec\":{},\"Status\":null}}",
        stored.revision, stored.created, stored.spec
    )
}

fn find(contents: &Contents, kind: &str, name: &str) -> Option<String> {
    let key = (kind.to_owned(), name.to_owned());
    contents
        .objects
        .get(&key)
        .map(|stored| object(name, stored))
}

fn put(contents: &mut Contents, kind: &str, name: &str, spec: &str) -> String {
    contents.revision += 1;
    let revision = contents.revision;
    let key = (kind.to_owned(), name.to_owned());
    let created = contents.objects.get(&key).map_or(revision, |o| o.created);
    let stored = Stored {
        spec: spec.to_owned(),
        revision,
        created,
    };
    let text = object(name, &stored);
    contents.objects.insert(key, stored);
    let event = format!("{{\"Deleted\":false,\"Object\":{text}}}");
    contents.history.push((revision, kind.to_owned(), event));
    text
}

fn remove(contents: &mut Contents, kind: &str, name: &str) {
    let key = (kind.to_owned(), name.to_owned());
    let Some(stored) = contents.objects.remove(&key) else {
        return;
    };
    contents.revision += 1;
    let event = format!("{{\"Deleted\":true,\"Object\":{}}}", object(name, &stored));
    let revision = contents.revision;
    contents.history.push((revision, kind.to_owned(), event));
}

fn list(contents: &Contents, kind: &str, after: Option<&str>) -> String {
    let items: Vec<String> = contents
        .objects
        .iter()
        .filter(|((known, name), _)| known == kind && after.is_none_or(|after| &**name > after))
        .map(|((_, name), stored)| object(name, stored))
        .collect();
    format!(
        "{{\"items\":[{}],\"HasMore\":false,\"StoreRevision\":{}}}",
        items.join(","),
        contents.revision
    )
}
