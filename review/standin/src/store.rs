//! The platform's store of objects: lists, watches, conditional writes, and a drill in which it comes
//! back from an older copy of itself.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{Message, read_message, write_response},
    wire,
};

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    /// Objects by kind and name.
    objects: BTreeMap<(String, String), Value>,
    /// Revision, kind and event of each change.
    history: Vec<(u64, String, Value)>,
}

#[derive(Default)]
struct State {
    contents: Contents,
    copy: Option<Contents>,
    era: u64,
    is_away: bool,
    /// Whether the callers of the second address are turned away.
    is_second_closed: bool,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts at an address, and at a second one for some of its callers.
    pub fn start(address: SocketAddr, second: SocketAddr) -> Self {
        let store = Self {
            shared: Arc::default(),
        };
        {
            let mut state = store.shared.0.lock().expect("not poisoned");
            state.contents.revision = 100;
            state.era = 1;
        }
        for (address, is_second) in [(address, false), (second, true)] {
            let listener = TcpListener::bind(address).expect("the store's address is free");
            let serving = store.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = serving.clone();
                    std::thread::spawn(move || store.serve(&stream, is_second));
                }
            });
        }
        store
    }

    /// Writes an object's `Spec`, as the operator or a server does; a write that changes nothing but
    /// `Seq` leaves the object as it is. Returns the revision that the store acknowledges.
    pub fn write(&self, kind: &str, name: &str, spec: &Value) -> Option<u64> {
        let mut state = self.shared.0.lock().expect("not poisoned");
        if state.is_away {
            return None;
        }
        let revision = put(&mut state.contents, kind, name, spec);
        drop(state);
        self.shared.1.notify_all();
        Some(revision)
    }

    /// Turns the callers of the second address away with 503, or serves them again; cuts off what waits.
    pub fn close_second(&self, is_closed: bool) {
        self.shared.0.lock().expect("not poisoned").is_second_closed = is_closed;
        self.shared.1.notify_all();
    }

    /// Copies the store as it is.
    pub fn copy(&self) -> u64 {
        let mut state = self.shared.0.lock().expect("not poisoned");
        state.copy = Some(state.contents.clone());
        state.contents.revision
    }

    /// Is away from now on: calls that wait are cut off, and new ones get no answer.
    pub fn leave(&self) {
        self.shared.0.lock().expect("not poisoned").is_away = true;
        self.shared.1.notify_all();
    }

    /// Comes back from the copy. Returns the revision and the era.
    pub fn come_back(&self) -> (u64, u64) {
        let mut state = self.shared.0.lock().expect("not poisoned");
        if let Some(copy) = state.copy.take() {
            state.contents = copy;
            state.era += 1;
        }
        state.is_away = false;
        let state = (state.contents.revision, state.era);
        self.shared.1.notify_all();
        state
    }

    pub fn revision(&self) -> u64 {
        self.shared
            .0
            .lock()
            .expect("not poisoned")
            .contents
            .revision
    }

    fn serve(&self, stream: &TcpStream, is_second: bool) {
        stream.set_nodelay(true).ok();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            std::thread::sleep(ANSWER_TIME);
            let Some((status, body, era)) = self.handle(&request, is_second) else {
                return;
            };
            let headers = [
                ("Content-Type".to_owned(), "application/json".to_owned()),
                ("Store-Era".to_owned(), era.to_string()),
            ];
            if !write_response(stream, status, &headers, body.to_string().as_bytes()) {
                return;
            }
        }
    }

    /// Carries out a call. `None`: the store is away.
    fn handle(&self, request: &Message, is_second: bool) -> Option<(u16, Value, u64)> {
        let mut state = self.shared.0.lock().expect("not poisoned");
        if state.is_away {
            return None;
        }
        let era = state.era;
        let is_turned_away = |state: &State| is_second && state.is_second_closed;
        if is_turned_away(&state) {
            return Some((503, json!({}), era));
        }
        let path = request.path().to_owned();
        let path = path.strip_prefix(wire::text("objects"))?.trim_matches('/');
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind.to_owned(), Some(name.to_owned())),
            None => (path.to_owned(), None),
        };
        let watched = request
            .parameter("Watch")
            .and_then(|r| r.parse::<u64>().ok());
        let (status, body) = match (request.word(0), name, watched) {
            ("GET", None, Some(since)) => {
                let wait_ms = request.parameter("WaitMs").and_then(|w| w.parse().ok());
                let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
                loop {
                    if state.is_away || state.era != era || is_turned_away(&state) {
                        return None;
                    }
                    if since > state.contents.revision {
                        break (410, json!({}));
                    }
                    let history = state.contents.history.iter();
                    let events: Vec<Value> = history
                        .filter(|(revision, of, _)| *revision > since && *of == kind)
                        .map(|(.., event)| event.clone())
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let revision = state.contents.revision;
                        break (200, json!({"events": events, "StoreRevision": revision}));
                    }
                    let waited = self.shared.1.wait_timeout(state, left);
                    state = waited.expect("not poisoned").0;
                }
            }
            ("GET", None, None) => {
                let objects = state.contents.objects.iter();
                let items: Vec<&Value> = objects
                    .filter(|((of, _), _)| *of == kind)
                    .map(|(_, object)| object)
                    .collect();
                let revision = state.contents.revision;
                let list = json!({"items": items, "HasMore": false, "StoreRevision": revision});
                (200, list)
            }
            ("GET", Some(name), _) => match state.contents.objects.get(&(kind, name)) {
                Some(object) => (200, object.clone()),
                None => (404, json!({})),
            },
            ("POST", None, _) => {
                let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
                let name = body["Meta"]["Name"].as_str().unwrap_or_default().to_owned();
                let key = (kind.clone(), name.clone());
                match state.contents.objects.get(&key) {
                    Some(object) => (409, object.clone()),
                    None => {
                        put(&mut state.contents, &kind, &name, &body["Spec"]);
                        (201, state.contents.objects[&key].clone())
                    }
                }
            }
            ("PUT", Some(name), _) => {
                let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
                let key = (kind.clone(), name.clone());
                match state.contents.objects.get(&key) {
                    None => (404, json!({})),
                    Some(object)
                        if body["Meta"]["Rev"].as_u64().is_some()
                            && body["Meta"]["Rev"] != object["Meta"]["Rev"] =>
                    {
                        (409, object.clone())
                    }
                    Some(_) => {
                        put(&mut state.contents, &kind, &name, &body["Spec"]);
                        (200, state.contents.objects[&key].clone())
                    }
                }
            }
            _ => (400, json!({})),
        };
        drop(state);
        self.shared.1.notify_all();
        Some((status, body, era))
    }
}

fn put(contents: &mut Contents, kind: &str, name: &str, spec: &Value) -> u64 {
    let key = (kind.to_owned(), name.to_owned());
    let known = contents.objects.get(&key);
    let without_count = |spec: &Value| {
        let mut spec = spec.clone();
        if let Some(fields) = spec.as_object_mut() {
            fields.remove("Seq");
        }
        spec
    };
    if known.is_some_and(|known| without_count(&known["Spec"]) == without_count(spec)) {
        return contents.revision;
    }
    let created = known.map(|known| known["Meta"]["CreatedRev"].clone());
    contents.revision += 1;
    let revision = contents.revision;
    let meta = json!({"Name": name, "Rev": revision, "CreatedRev": created.unwrap_or(revision.into()),
        "Finalizers": [], "Deleting": false});
    let object = json!({"Meta": meta, "Spec": spec, "Status": null});
    let event = json!({"Deleted": false, "Object": object});
    contents.history.push((revision, kind.to_owned(), event));
    contents.objects.insert(key, object);
    revision
}
