//! The platform's store comes back from a copy some seconds old, and a configuration and a departure
//! follow some seconds later.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    fleet::{Fleet, has_trouble, record_path},
    http::call,
    record::Record,
    server::Server,
    store::Store,
    wire,
};

/// The bounds of the settings file, in milliseconds.
const APPLY: Duration = Duration::from_millis(2000);
const DRAIN: Duration = Duration::from_millis(2000);
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// How old the copy is when the store leaves, and how long it is away.
const COPY_AGE: Duration = Duration::from_millis(4000);
const AWAY: Duration = Duration::from_millis(1000);
/// Well over the 3 s after which machines are in touch again.
const CALM: Duration = Duration::from_millis(8000);
/// How long requests are sent after the last change.
const WATCHED: Duration = Duration::from_millis(20_000);
/// How long a server is slow after its start, which it tells in its entry.
const COLD_MS: u64 = 7000;

/// The version, and where its routes lead.
fn config(version: u64, routes: &[(&str, &str)]) -> Value {
    let routes: Vec<Value> = routes
        .iter()
        .map(|(name, service)| {
            let path = format!("/{name}/");
            let values = [
                ("name", *name),
                ("path", &path),
                ("service", *service),
                ("kind", "idempotent"),
            ];
            wire::template("route", &values)
        })
        .collect();
    let services =
        ["before", "after", "steady"].map(|name| wire::template("service", &[("name", name)]));
    json!({"Version": version, "Routes": routes, "Services": services, "Limits": wire::template("limits", &[])})
}

/// A request as its caller saw it.
struct Sent {
    at: Instant,
    id: String,
    router: usize,
    path: &'static str,
    status: u16,
    body: String,
}

/// Sends requests to every router until it is told to stop.
fn keep_calling(routers: Vec<SocketAddr>, stop: Arc<AtomicBool>, sent: Arc<Mutex<Vec<Sent>>>) {
    let paths = ["/moved/a", "/dropped/a", "/added/a", "/steady/a"];
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        for (router, address) in routers.iter().enumerate() {
            for path in paths {
                number += 1;
                let id = format!("{number:016x}");
                let (id_name, deadline) = (wire::header("Request-Id"), wire::header("Deadline-Ms"));
                let request = format!(
                    "GET {path} HTTP/1.1\r\nHost: desk.example\r\n{id_name}: {id}\r\n{deadline}: 3000\r\n\r\n"
                );
                let at = Instant::now();
                let answer = call(*address, request.as_bytes(), Duration::from_secs(4));
                let status = answer.as_ref().map_or(0, |answer| answer.status());
                let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
                sent.lock().expect("not poisoned").push(Sent {
                    at,
                    id,
                    router,
                    path,
                    status,
                    body: body.unwrap_or_default(),
                });
            }
        }
        sleep(Duration::from_millis(50));
    }
}

/// Writes a server's entry again and again, as long as it is not leaving.
fn beat(store: Store, server: Server, is_leaving: Arc<AtomicBool>, stop: Arc<AtomicBool>) {
    let started = Instant::now();
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) && !is_leaving.load(Ordering::Relaxed) {
        count += 1;
        let age_ms = started.elapsed().as_millis() as u64;
        let entry = server.entry("ready", COLD_MS.saturating_sub(age_ms), count);
        // While the store is away, the entry is written as soon as it is back.
        while store.write("servers", &server.id, &entry).is_none() {
            sleep(Duration::from_millis(20));
        }
        sleep(HEARTBEAT);
    }
}

pub fn run(folder: &str) -> i32 {
    let record = Record::create(&record_path(folder));
    let fleet = Fleet::new(record.clone());
    let store = Store::start(fleet.store_address(), fleet.second_store_address());
    let stop: Arc<AtomicBool> = Arc::default();
    let is_leaving: Arc<AtomicBool> = Arc::default();
    let before = [
        ("moved", "before"),
        ("dropped", "before"),
        ("steady", "steady"),
    ];
    store.write("config", "main", &config(3, &before));
    let mut servers = Vec::new();
    let names = [
        ("before", 1),
        ("before", 2),
        ("after", 1),
        ("after", 2),
        ("steady", 1),
        ("steady", 2),
    ];
    for (index, (service, number)) in names.iter().enumerate() {
        let address = fleet.server_address(10 + index as u8);
        let server = Server::start(address, &format!("{service}-{number}"), service);
        let is_leaver = server.id == "steady-1";
        let leaves = if is_leaver {
            is_leaving.clone()
        } else {
            Arc::default()
        };
        let (store, beating, stop) = (store.clone(), server.clone(), stop.clone());
        std::thread::spawn(move || beat(store, beating, leaves, stop));
        servers.push(server);
        sleep(Duration::from_millis(150));
    }
    let mut routers = [fleet.start_router(2), fleet.start_router(3)];
    let addresses: Vec<SocketAddr> = routers.iter().map(|router| router.callers).collect();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let (calling_stop, calling_sent) = (stop.clone(), sent.clone());
    let calling = std::thread::spawn(move || keep_calling(addresses, calling_stop, calling_sent));
    sleep(Duration::from_millis(2000));

    record.write(format!("the store is copied at revision {}", store.copy()));
    sleep(COPY_AGE / 2);
    let routes = [&before[..], &[("second", "steady")]].concat();
    let second = config(8, &routes);
    let revision = store.write("config", "main", &second);
    record.write(format!(
        "configuration 8 acknowledged at revision {revision:?}"
    ));
    sleep(COPY_AGE / 2);
    let left_at = store.revision();
    if has_trouble() {
        store.leave();
        record.write(format!("the store leaves at revision {left_at}"));
        sleep(AWAY);
        let (revision, era) = store.come_back();
        record.write(format!(
            "the store is back at revision {revision}, era {era}"
        ));
        let revision = store.write("config", "main", &second);
        record.write(format!(
            "the operator has written configuration 8 again: revision {revision:?}"
        ));
    } else {
        record.write("no drill");
    }
    sleep(CALM);
    // The server writes no entry any more but the one that says it leaves.
    is_leaving.store(true, Ordering::Relaxed);
    sleep(HEARTBEAT);

    let after = [
        ("moved", "after"),
        ("added", "after"),
        ("steady", "steady"),
        ("second", "steady"),
    ];
    let revision = store.write("config", "main", &config(12, &after));
    let config_at = Instant::now();
    record.write(format!(
        "configuration 12 acknowledged at revision {revision:?}: /moved/ leads \
        to another service, /dropped/ is gone, /added/ is new"
    ));
    let leaver = servers
        .iter()
        .find(|server| server.id == "steady-1")
        .expect("it was started");
    leaver.set_leaving();
    let revision = store.write("servers", &leaver.id, &leaver.entry("draining", 0, 999));
    let drain_at = Instant::now();
    record.write(format!(
        "steady-1 is draining: acknowledged at revision {revision:?}"
    ));
    sleep(WATCHED);
    stop.store(true, Ordering::Relaxed);
    calling.join().expect("the callers end");

    let sent = sent.lock().expect("not poisoned");
    let late = || sent.iter().filter(|sent| sent.at > config_at + APPLY);
    let is_old = |sent: &&Sent| match sent.path {
        "/moved/a" => sent.body.contains("(before)"),
        "/dropped/a" => sent.status == 200,
        "/added/a" => sent.status == 404,
        _ => false,
    };
    let mut broken = 0;
    for path in ["/moved/a", "/dropped/a", "/added/a"] {
        for router in 0..routers.len() {
            let of = late()
                .filter(|sent| sent.path == path && sent.router == router)
                .count();
            let old: Vec<&Sent> = late()
                .filter(|sent| sent.path == path && sent.router == router)
                .filter(is_old)
                .collect();
            broken += old.len();
            record.write(format!(
                "router {router}, {path}: of {of} requests sent over {} ms after \
                configuration 12, {} were handled as only an older one allows",
                APPLY.as_millis(),
                old.len()
            ));
            if let (Some(first), Some(last)) = (old.first(), old.last()) {
                for sent in [first, last] {
                    let after_ms = (sent.at - config_at).as_millis();
                    record.write(format!(
                        "    {} sent {after_ms} ms after it: {} {}",
                        sent.id, sent.status, sent.body
                    ));
                }
            }
        }
    }
    let arrivals = leaver.arrivals();
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.at > drain_at + DRAIN);
    let late: Vec<_> = late.filter(|arrival| arrival.has_run).collect();
    record.write(format!(
        "steady-1 ran {} requests over {} ms after its departure was acknowledged",
        late.len(),
        DRAIN.as_millis()
    ));
    if let Some(last) = late.last() {
        let after_ms = (last.at - drain_at).as_millis();
        record.write(format!(
            "    the last, {} {}, {after_ms} ms after it",
            last.id, last.path
        ));
    }
    for router in &mut routers {
        if router.process.has_ended() {
            record.write(format!("{} has ended by itself", router.process.name));
            return 2;
        }
    }
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    record.write(format!("{} requests sent, {served} served", sent.len()));
    if served == 0 {
        return 2;
    }
    let is_broken = broken > 0;
    record.write(if is_broken { "CONFIG: broken" } else { "held" });
    i32::from(is_broken)
}
