//! A router that is stopping gets SIGTERM once more, while it still has requests.

use std::{
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    caller::{call_whole, plain_request},
    engine::{Content, Engine},
    fleet::{Fleet, has_trouble, record_path},
    record::Record,
    server::unix_ms,
    store::Store,
    wire,
};

const PARTS: u64 = 30;
/// An answer takes three seconds, of the eight that a planned stop may take.
const GAP_MS: u64 = 100;
const REQUESTS: usize = 8;
const FIRST_AFTER: Duration = Duration::from_millis(500);
const SECOND_AFTER: Duration = Duration::from_millis(1000);

pub fn run(folder: &str) -> i32 {
    let record = Record::create(&record_path(folder));
    let fleet = Fleet::new(record.clone());
    let store = Store::start(fleet.store_address(), fleet.second_store_address());
    let route = |name: &str, path: &str, kind: &str| {
        let values = [
            ("name", name),
            ("path", path),
            ("service", "asked"),
            ("kind", kind),
        ];
        wire::template("route", &values)
    };
    let config = json!({"Version": 3, "Limits": wire::template("limits", &[]),
        "Routes": [route("write", "/write/", "non_idempotent"), route("read", "/read/", "idempotent")],
        "Services": [wire::template("service", &[("name", "asked")])]});
    store.write("config", "main", &config);
    let runs = fleet.log_path("runs");
    let mut servers = Vec::new();
    for host in [10, 11] {
        let engine = Engine {
            address: fleet.server_address(host),
            id: format!("server-{host}"),
            service: "asked".to_owned(),
            version: "v1".to_owned(),
            born_unix_ms: unix_ms(),
            unframed_one_in: 0,
            is_loaded: true,
            answers: Arc::default(),
            has_copy: true,
            state: Arc::default(),
            content: Content::Text,
            events: PARTS,
            gap_ms: GAP_MS,
        };
        let arguments = engine.arguments(&runs.to_string_lossy());
        servers.push(fleet.start_standin(&engine.id, &arguments));
        store.write("servers", &engine.id, &engine.entry("ready"));
    }
    let mut router = fleet.start_router(2);
    sleep(Duration::from_millis(4000));

    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (address, record) = (router.callers, record.clone());
            std::thread::spawn(move || {
                let id = format!("{:016x}", 0x9c41_d07b_0000 + number);
                let request = match number % 2 {
                    0 => plain_request("POST", "/write/a", &id, 10_000),
                    _ => plain_request("GET", "/read/a", &id, 10_000),
                };
                record.write(format!(
                    "{id} sent: {}",
                    request.lines().next().unwrap_or_default()
                ));
                let began = Instant::now();
                let answer = call_whole(address, &request);
                (id, answer, began.elapsed())
            })
        })
        .collect();
    sleep(FIRST_AFTER);
    router.process.signal("TERM");
    record.write("front-2 gets SIGTERM");
    sleep(SECOND_AFTER);
    if has_trouble() {
        router.process.signal("TERM");
        record.write("front-2 gets SIGTERM once more");
    }
    let (mut broken, mut whole) = (0, 0);
    for caller in callers {
        let (id, answer, took) = caller.join().expect("the caller ends");
        let after_ms = took.as_millis();
        match answer {
            Some((answer, _)) if answer.is_complete => {
                record.write(format!(
                    "{id} got {} whole, {} bytes, after {after_ms} ms",
                    answer.status(),
                    answer.body.len()
                ));
                whole += 1;
            }
            Some((answer, _)) => {
                record.write(format!(
                    "{id} got {} broken off after {after_ms} ms",
                    answer.status()
                ));
                broken += 1;
            }
            None => {
                record.write(format!(
                    "{id}: its connection ended without an answer after {after_ms} ms"
                ));
                broken += 1;
            }
        }
    }
    let began = Instant::now();
    while !router.process.has_ended() && began.elapsed() < Duration::from_secs(8) {
        sleep(Duration::from_millis(20));
    }
    record.write(format!(
        "front-2 has ended: {:?}",
        router.process.child.try_wait()
    ));
    let text = std::fs::read_to_string(&runs).unwrap_or_default();
    for line in text.lines() {
        record.write(format!("at the servers: {line}"));
    }
    record.write(format!("{whole} requests answered, {broken} lost"));
    record.write(if broken > 0 { "LOST: broken" } else { "held" });
    i32::from(broken > 0)
}
