//! A server ends while it sends answers, of which a few have neither a length nor chunks. A plain
//! service's server crashes; a model server is taken away at short notice, and says so before.

use std::{
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    caller::{call_whole, plain_request, stream_request},
    engine::{Content, Engine, event},
    fleet::{Fleet, has_trouble, record_path},
    record::Record,
    server::unix_ms,
    store::Store,
    wire,
};

const PARTS: u64 = 40;
/// Well below the pause that the route allows.
const GAP_MS: u64 = 100;
/// How long the answers have been running when a model server says that it leaves.
const NOTICE_AFTER: Duration = Duration::from_millis(500);
/// The time that it then has, which it tells.
const REMAINING: Duration = Duration::from_millis(2000);
/// A plain server crashes in the middle of a gap.
const CRASH_AFTER: Duration = Duration::from_millis(1050);
const REQUESTS: usize = 200;
/// The servers' hosts; one of eight ends.
const HOSTS: std::ops::RangeInclusive<u8> = 10..=17;
/// The share of answers without a length or chunks: at one of the servers, one in twenty.
const UNFRAMED_ONE_IN: u64 = 20;

pub fn run(folder: &str, content: Content) -> i32 {
    let record = Record::create(&record_path(folder));
    let fleet = Fleet::new(record.clone());
    let store = Store::start(fleet.store_address(), fleet.second_store_address());
    let (kind, rule) = match content {
        Content::Events => ("stream", "ORDER"),
        Content::Text => ("idempotent", "MIXED"),
    };
    let values = [
        ("name", "asked"),
        ("path", "/asked/"),
        ("service", "asked"),
        ("kind", kind),
    ];
    let mut route = wire::template("route", &values);
    route["CanResume"] = (content == Content::Events).into();
    let mut service = wire::template("service", &[("name", "asked")]);
    if content == Content::Events {
        service["Engine"] = wire::template("engine", &[]);
    }
    let config = json!({"Version": 3, "Routes": [route],
        "Services": [service], "Limits": wire::template("limits", &[])});
    store.write("config", "main", &config);
    let runs = fleet.log_path("runs");
    let mut servers = Vec::new();
    let mut own = Vec::new();
    for host in HOSTS {
        let engine = Engine {
            address: fleet.server_address(host),
            id: format!("server-{host}"),
            service: "asked".to_owned(),
            version: "v1".to_owned(),
            born_unix_ms: unix_ms(),
            unframed_one_in: if host == 10 { UNFRAMED_ONE_IN } else { 0 },
            is_loaded: true,
            answers: Arc::default(),
            has_copy: true,
            state: Arc::default(),
            content,
            events: PARTS,
            gap_ms: GAP_MS,
        };
        let arguments = engine.arguments(&runs.to_string_lossy());
        let process = fleet.start_standin(&engine.id, &arguments);
        store.write("servers", &engine.id, &engine.entry("ready"));
        if content == Content::Events {
            own.push(fleet.start_agent(host, engine.address, "asked"));
        }
        servers.push((engine, process));
    }
    let router = fleet.start_router(2);
    sleep(Duration::from_millis(2000));

    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (address, record) = (router.callers, record.clone());
            std::thread::spawn(move || {
                let id = format!("{:016x}", 0x9c41_d07b_0000 + number * 7919);
                let request = match content {
                    Content::Events => stream_request("/asked/a", &id, &id, 12_000, ""),
                    Content::Text => plain_request("GET", "/asked/a", &id, 10_000),
                };
                record.write(format!("{id} sent"));
                let began = Instant::now();
                let answer = call_whole(address, &request);
                (id, answer, began.elapsed())
            })
        })
        .collect();
    let (engine, process) = &mut servers[0];
    match content {
        Content::Events => {
            sleep(NOTICE_AFTER);
            if has_trouble() {
                engine.leave();
                let mut entry = engine.entry("draining");
                entry["RemainingMs"] = (REMAINING.as_millis() as u64).into();
                let revision = store.write("servers", &engine.id, &entry);
                record.write(format!(
                    "{} is draining, with {} ms left: acknowledged at revision {revision:?}",
                    engine.id,
                    REMAINING.as_millis()
                ));
            }
            sleep(REMAINING);
        }
        Content::Text => sleep(CRASH_AFTER),
    }
    if has_trouble() {
        process.kill();
        record.write(format!("{} is gone", engine.id));
    } else {
        record.write("no server ends");
    }
    let (mut broken, mut whole) = (0, 0);
    for caller in callers {
        let (id, answer, took) = caller.join().expect("the caller ends");
        let Some((answer, has_more)) = answer else {
            record.write(format!("{id} got no answer"));
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let has_part = |number: &u64| match content {
            Content::Events => text.contains(&event(*number, "v1")),
            Content::Text => text.contains(&format!("line {number} of {PARTS}\n")),
        };
        let parts = (1..=PARTS).filter(has_part).count() as u64;
        let end = if answer.is_complete {
            "complete"
        } else {
            "broken off"
        };
        let framing = answer
            .header("content-length")
            .map(|length| format!("length {length}"));
        let framing = framing.unwrap_or_else(|| "chunks".to_owned());
        record.write(format!("{id} got {} with {parts} of {PARTS} parts after {} ms, {end} ({framing}, seal {:?}, more bytes: {has_more})",
            answer.status(), took.as_millis(), answer.header(&wire::header("Server-Seal"))));
        whole += u32::from(answer.is_complete && parts == PARTS);
        broken += u32::from(answer.status() == 200 && answer.is_complete && parts < PARTS);
    }
    let text = std::fs::read_to_string(&runs).unwrap_or_default();
    for line in text.lines() {
        record.write(format!("at the servers: {line}"));
    }
    own.push(router.process);
    for process in &mut own {
        if process.has_ended() {
            record.write(format!("{} has ended by itself", process.name));
            return 2;
        }
    }
    record.write(format!(
        "{whole} answers whole, {broken} complete although parts are missing"
    ));
    if whole == 0 {
        return 2;
    }
    record.write(if broken > 0 {
        format!("{rule}: broken")
    } else {
        "held".to_owned()
    });
    i32::from(broken > 0)
}
