//! A stand-in for the platform's store: objects with revisions, conditional writes, lists and watches.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http::{Message, read_message, respond};

/// A page of a list has about so many objects or bytes at most.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    /// Revision, kind and event of each change.
    history: Vec<(u64, String, Value)>,
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: Value) -> Value {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let created = self.objects.get(&key).map(|object| object["Meta"]["CreatedRev"].clone());
        let object = json!({
            "Meta": {"Name": name, "Rev": self.revision,
                "CreatedRev": created.unwrap_or(self.revision.into()),
                "Finalizers": [], "Deleting": false},
            "Spec": spec,
            "Status": null,
        });
        self.objects.insert(key, object.clone());
        let event = json!({"Deleted": false, "Object": object});
        self.history.push((self.revision, kind.to_owned(), event));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        self.revision += 1;
        let event = json!({"Deleted": true, "Object": object});
        self.history.push((self.revision, kind.to_owned(), event));
    }
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self { address, shared: Arc::default() };
        store.shared.0.lock().expect("the store").revision = 100;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(&stream));
            }
        });
        store
    }

    pub fn write(&self, kind: &str, name: &str, spec: Value) {
        self.shared.0.lock().expect("the store").write(kind, name, spec);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.0.lock().expect("the store").remove(kind, name);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: &TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (status, body) = self.handle(&request);
            let headers = [
                ("content-type", "application/json".to_owned()),
                ("store-era", "1".to_owned()),
            ];
            let body = body.to_string();
            if respond(stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, Value) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let queried = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
        };
        let mut words = path.split('/').skip(3);
        let kind = words.next().unwrap_or_default();
        let name = words.next();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let expected = body["Meta"]["Rev"].as_u64();
        let expected = expected.or_else(|| queried("Rev")?.parse().ok());
        let mut state = self.shared.0.lock().expect("the store");
        let key = |name: &str| (kind.to_owned(), name.to_owned());
        match (request.word(0), name) {
            ("GET", Some(name)) => match state.objects.get(&key(name)) {
                Some(object) => (200, object.clone()),
                None => (404, Value::Null),
            },
            ("GET", None) if queried("Watch").is_some() => {
                let number = |name| queried(name).and_then(|text| text.parse::<u64>().ok());
                let from = number("Watch").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
                loop {
                    let changes = state.history.iter();
                    let events: Vec<Value> = changes
                        .filter(|(revision, changed, _)| *revision > from && changed == kind)
                        .map(|(_, _, event)| event.clone())
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let revision = state.revision;
                        return (200, json!({"events": events, "StoreRevision": revision}));
                    }
                    state = self.shared.1.wait_timeout(state, left).expect("the store").0;
                }
            }
            ("GET", None) => {
                let after = queried("after").unwrap_or_default();
                let objects = state.objects.iter();
                let mut objects = objects.filter(|((known, name), _)| known == kind && **name > *after);
                let (mut items, mut bytes) = (Vec::new(), 0);
                let mut has_more = false;
                for (_, object) in objects.by_ref() {
                    bytes += object.to_string().len();
                    has_more = !items.is_empty() && (items.len() >= PAGE_ITEMS || bytes > PAGE_BYTES);
                    if has_more {
                        break;
                    }
                    items.push(object.clone());
                }
                let revision = state.revision;
                (200, json!({"items": items, "HasMore": has_more, "StoreRevision": revision}))
            }
            ("POST", None) => {
                let name = body["Meta"]["Name"].as_str().unwrap_or_default().to_owned();
                if let Some(object) = state.objects.get(&key(&name)) {
                    return (409, object.clone());
                }
                let written = state.write(kind, &name, body["Spec"].clone());
                self.shared.1.notify_all();
                (200, written)
            }
            ("PUT", Some(name)) => {
                let Some(object) = state.objects.get(&key(name)) else {
                    return (404, Value::Null);
                };
                if expected.is_some_and(|expected| object["Meta"]["Rev"] != expected) {
                    return (409, object.clone());
                }
                let written = state.write(kind, name, body["Spec"].clone());
                self.shared.1.notify_all();
                (200, written)
            }
            _ => (400, Value::Null),
        }
    }
}
