//! The platform: a key-value store with versions, conditional updates and watches, and a list of
//! instances that lags behind. Its faults can be changed while it runs (`POST /faults`).

mod instances;
mod rate;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    rc::Rc,
};

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::{
    json::{json_response, read_body, typed_response},
    prelude::*,
};
use celerystair_platform::{
    prelude::{Object, ValueText},
    store::{ObjectList, WatchReply, WriteReply},
};
use event_listener::Event;
use serde::{Deserialize, Serialize};

use instances::InstanceRecord;
use rate::TokenBucket;

/// Largest value of an object.
const VALUE_MAX_BYTES: usize = 1 << 20;
/// Number of changes kept for watches; a watch from an older revision gets `too_old`.
const HISTORY_MAX: usize = 10_000;

/// Settings of the platform stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Listen address.
    pub listen: SocketAddr,
    /// Writes allowed per second; more are refused with status 429.
    pub writes_per_second: f64,
    /// Reads allowed per second, where each watch counts as one; more are refused with status 429.
    pub reads_per_second: f64,
    /// Time until the list of instances shows a change.
    pub list_lag_ms: u64,
    /// Faults from the start.
    pub faults: PlatformFaults,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            writes_per_second: 400.0,
            reads_per_second: 2000.0,
            list_lag_ms: 2000,
            faults: PlatformFaults::default(),
        }
    }
}

/// Faults that the platform injects.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Refuses every call with status 503.
    pub down: bool,
    /// Extra delay of every call.
    pub slow_ms: u64,
    /// Percentage of writes that take effect but whose response is lost.
    pub lose_write_answers_percent: u32,
    /// Percentage of reads of one object that return its previous version.
    pub stale_reads_percent: u32,
    /// Percentage of watch replies that advance the revision but leave out the changes.
    pub missed_watches_percent: u32,
    /// Percentage of watch replies that contain the previous versions of the changed objects.
    pub stale_watches_percent: u32,
}

/// Calls that the platform has received.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct PlatformCounts {
    /// Reads, including watches.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls refused by the rate limits.
    pub limited: u64,
}

#[derive(Default)]
struct Platform {
    settings: PlatformSettings,
    faults: RefCell<PlatformFaults>,
    counts: Cell<PlatformCounts>,
    revision: Cell<u64>,
    objects: RefCell<BTreeMap<String, Object>>,
    /// The version of each object before its last write.
    previous: RefCell<HashMap<String, Object>>,
    /// Revision and key of each recent write and deletion, the oldest first.
    history: RefCell<VecDeque<(u64, String)>>,
    changed: Event,
    instances: RefCell<BTreeMap<InstanceId, InstanceRecord>>,
    write_tokens: TokenBucket,
    read_tokens: TokenBucket,
}

/// Runs the platform until `stop` drains, and returns its address.
pub fn run_platform(settings: PlatformSettings, stop: &Stop) -> io::Result<SocketAddr> {
    let listener = bind(settings.listen)?;
    let address = listener.local_addr()?;
    let faults = RefCell::new(settings.faults.clone());
    let platform = Rc::new(Platform {
        settings,
        faults,
        ..Platform::default()
    });
    let stop = stop.clone();
    compio::runtime::spawn(async move {
        let handle = move |request| {
            let platform = platform.clone();
            async move { platform.handle_request(request).await }
        };
        serve_http(listener, stop, handle).await.ok();
    })
    .detach();
    Ok(address)
}

/// Returns the value of parameter `name` in the query string.
fn query_value<'a>(parts: &'a http::request::Parts, name: &str) -> Option<&'a str> {
    let pairs = parts.uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .map(|(_, value)| value)
}

fn query_u64(parts: &http::request::Parts, name: &str) -> u64 {
    query_value(parts, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

fn error_response(status: u16, detail: &str) -> HttpResponse {
    typed_response(status, "text/plain", detail.to_owned())
}

impl Platform {
    async fn handle_request(&self, request: HttpRequest) -> HttpResponse {
        let (parts, body) = match read_body(request, VALUE_MAX_BYTES).await {
            Ok(read) => read,
            Err(error) => return error_response(413, &error.to_string()),
        };
        let path = parts.uri.path().to_owned();
        if path == "/faults" {
            return self.set_faults(&body);
        }
        if path == "/counts" {
            return json_response(200, &self.counts.get());
        }
        if let Some(id) = path.strip_prefix("/instances/") {
            return self.set_instance(id, &parts);
        }
        let faults = self.faults.borrow().clone();
        sleep_ms(faults.slow_ms).await;
        if faults.down {
            return error_response(503, "down");
        }
        let is_write = matches!(parts.method, http::Method::PUT | http::Method::DELETE);
        if !self.try_count_call(is_write) {
            return error_response(429, "too many calls");
        }
        let response = self.route(&path, &parts, &body, &faults).await;
        let is_response_lost = is_write
            && response.status() == 200
            && rand::random_range(0..100) < faults.lose_write_answers_percent;
        if is_response_lost {
            return http::Response::new(HttpBody::chunks(futures_util::stream::iter([Err(
                BodyError,
            )])));
        }
        response
    }

    async fn route(
        &self,
        path: &str,
        parts: &http::request::Parts,
        body: &[u8],
        faults: &PlatformFaults,
    ) -> HttpResponse {
        match (&parts.method, path) {
            (&http::Method::GET, "/instances") => self.get_instances(parts),
            (&http::Method::GET, "/objects") => json_response(
                200,
                &self.list(query_value(parts, "prefix").unwrap_or_default()),
            ),
            (&http::Method::GET, "/watch") => {
                let prefix = query_value(parts, "prefix").unwrap_or_default();
                let after = query_u64(parts, "after");
                json_response(
                    200,
                    &self.watch(prefix, after, query_u64(parts, "wait_ms")).await,
                )
            }
            (method, path) => match path.strip_prefix("/objects/") {
                Some(key) if method == http::Method::GET => self.get(key, faults),
                Some(key) if method == http::Method::PUT => {
                    self.put(key, query_u64(parts, "if_version"), body)
                }
                Some(key) if method == http::Method::DELETE => {
                    self.delete(key, query_u64(parts, "if_version"))
                }
                _ => error_response(404, "no such path"),
            },
        }
    }

    /// Counts a call, and returns whether the rate limit allows it.
    fn try_count_call(&self, is_write: bool) -> bool {
        let allowed = if is_write {
            self.write_tokens.try_take(self.settings.writes_per_second)
        } else {
            self.read_tokens.try_take(self.settings.reads_per_second)
        };
        let mut counts = self.counts.get();
        counts.writes += u64::from(is_write);
        counts.reads += u64::from(!is_write);
        counts.limited += u64::from(!allowed);
        self.counts.set(counts);
        allowed
    }

    fn set_faults(&self, body: &[u8]) -> HttpResponse {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                *self.faults.borrow_mut() = faults;
                self.changed.notify(usize::MAX);
                json_response(200, &true)
            }
            Err(error) => error_response(400, &error.to_string()),
        }
    }

    fn get(&self, key: &str, faults: &PlatformFaults) -> HttpResponse {
        let objects = self.objects.borrow();
        let previous = self.previous.borrow();
        let is_stale = rand::random_range(0..100) < faults.stale_reads_percent;
        let object = match previous.get(key) {
            Some(object) if is_stale => Some(object),
            _ => objects.get(key),
        };
        object.map_or_else(
            || error_response(404, "no such object"),
            |object| json_response(200, object),
        )
    }

    fn list(&self, prefix: &str) -> ObjectList {
        let objects = self.objects.borrow();
        let matching = objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix));
        ObjectList {
            revision: self.revision.get(),
            objects: matching.map(|(_, object)| object.clone()).collect(),
            ..ObjectList::default()
        }
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> WatchReply {
        let deadline_unix_ms = now_unix_ms() + wait_ms;
        loop {
            let changed = self.changed.listen();
            if self.faults.borrow().down {
                return WatchReply {
                    revision: after,
                    ..WatchReply::default()
                };
            }
            let reply = self.changes_after(prefix, after);
            let is_empty = reply.objects.is_empty() && reply.deleted.is_empty() && !reply.too_old;
            if !is_empty {
                return self.apply_watch_faults(reply);
            }
            if before_deadline(deadline_unix_ms, changed).await.is_none() {
                return reply;
            }
        }
    }

    fn apply_watch_faults(&self, mut reply: WatchReply) -> WatchReply {
        let faults = self.faults.borrow();
        if rand::random_range(0..100) < faults.missed_watches_percent {
            reply.objects.clear();
            reply.deleted.clear();
        }
        if rand::random_range(0..100) < faults.stale_watches_percent {
            let previous = self.previous.borrow();
            for object in &mut reply.objects {
                if let Some(old) = previous.get(&object.key) {
                    object.clone_from(old);
                }
            }
        }
        reply
    }

    fn changes_after(&self, prefix: &str, after: u64) -> WatchReply {
        let history = self.history.borrow();
        let oldest = history.front().map_or(0, |(revision, _)| *revision);
        let too_old = oldest > after + 1 && history.len() == HISTORY_MAX;
        let mut reply = WatchReply {
            revision: self.revision.get(),
            too_old,
            ..WatchReply::default()
        };
        let objects = self.objects.borrow();
        let mut reported = HashSet::default();
        let recent = history
            .iter()
            .rev()
            .take_while(|(revision, _)| *revision > after);
        for (_, key) in recent.filter(|(_, key)| key.starts_with(prefix)) {
            if reported.insert(key) {
                match objects.get(key) {
                    Some(object) => reply.objects.push(object.clone()),
                    None => reply.deleted.push(key.clone()),
                }
            }
        }
        reply
    }

    fn put(&self, key: &str, if_version: u64, body: &[u8]) -> HttpResponse {
        let value = match ValueText::from_bytes(body) {
            Ok(value) => value,
            Err(error) => return error_response(400, &error.to_string()),
        };
        let version = self
            .objects
            .borrow()
            .get(key)
            .map_or(0, |object| object.version);
        if version != if_version {
            return json_response(412, &WriteReply { version });
        }
        let version = self.advance_revision(key);
        let object = Object {
            key: key.to_owned(),
            version,
            value,
            ..Object::default()
        };
        if let Some(replaced) = self.objects.borrow_mut().insert(key.to_owned(), object) {
            self.previous.borrow_mut().insert(key.to_owned(), replaced);
        }
        self.changed.notify(usize::MAX);
        json_response(200, &WriteReply { version })
    }

    fn delete(&self, key: &str, if_version: u64) -> HttpResponse {
        let version = self
            .objects
            .borrow()
            .get(key)
            .map_or(0, |object| object.version);
        if version == 0 {
            return error_response(404, "no such object");
        }
        if version != if_version {
            return json_response(412, &WriteReply { version });
        }
        self.objects.borrow_mut().remove(key);
        let version = self.advance_revision(key);
        self.changed.notify(usize::MAX);
        json_response(200, &WriteReply { version })
    }

    fn advance_revision(&self, key: &str) -> u64 {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let mut history = self.history.borrow_mut();
        if history.len() == HISTORY_MAX {
            history.pop_front();
        }
        history.push_back((revision, key.to_owned()));
        revision
    }
}
