//! An engine crashes and starts again under its id, with another software version, while the store turns
//! one router away. Callers take their streams up.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    caller::{StreamPart, call_stream, left_ms, stream_request},
    engine::{Content, Engine},
    fleet::{Fleet, has_trouble, record_path},
    record::Record,
    server::unix_ms,
    store::Store,
    wire,
};

const EVENTS: u64 = 40;
const GAP_MS: u64 = 100;
const STREAMS: usize = 10;
/// How long the streams have been running when the store turns the first router away.
const RUNNING: Duration = Duration::from_millis(1000);
/// The time from then to the crash, and to the start after it.
const BEFORE_CRASH: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_millis(500);
/// How long the router is turned away.
const TURNED_AWAY: Duration = Duration::from_millis(9000);
/// New streams that begin meanwhile.
const FRESH: u64 = 48;
/// Attempts at a stream after the first, and the time between them.
const TRIES: usize = 3;
const PAUSE: Duration = Duration::from_millis(2200);

fn version(event: &str) -> &str {
    event.trim_end().rsplit(' ').next().unwrap_or_default()
}

/// Calls a stream and takes it up, at each router in turn.
fn call_and_take_up(routers: &[SocketAddr], number: usize, closes: &AtomicBool) -> Vec<StreamPart> {
    let began = Instant::now();
    let session = format!("{:08x}", 0x5100_0000 + number);
    let begun_by = format!("{:016x}", 0x9c41_0000_0000_u64 + number as u64);
    let request = stream_request("/draft/a", &begun_by, &session, left_ms(began), "");
    let mut parts = vec![call_stream(routers[0], &request, |_| {
        !closes.load(Ordering::Relaxed)
    })];
    for attempt in 0..TRIES {
        let Some(last) = parts.iter().flat_map(|part| &part.events).last() else {
            break;
        };
        let id = last
            .lines()
            .next()
            .and_then(|line| line.strip_prefix("id: "));
        let last_id = id.unwrap_or_default().to_owned();
        if last_id == EVENTS.to_string() {
            break;
        }
        sleep(PAUSE);
        if left_ms(began) == 0 {
            break;
        }
        let resumes = wire::text("resumes");
        let more = format!("Last-Event-Id: {last_id}\r\n{resumes}: {begun_by}\r\n");
        let id = format!(
            "{:016x}",
            0x9c42_0000_0000_u64 + (number * 16 + attempt) as u64
        );
        let request = stream_request("/draft/a", &id, &session, left_ms(began), &more);
        let router = routers[(number + attempt) % routers.len()];
        parts.push(call_stream(router, &request, |_| true));
    }
    parts
}

pub fn run(folder: &str) -> i32 {
    let record = Record::create(&record_path(folder));
    let fleet = Fleet::new(record.clone());
    let store = Store::start(fleet.store_address(), fleet.second_store_address());
    let values = [
        ("name", "draft"),
        ("path", "/draft/"),
        ("service", "engines"),
        ("kind", "stream"),
    ];
    let mut route = wire::template("route", &values);
    route["CanResume"] = true.into();
    let mut service = wire::template("service", &[("name", "engines")]);
    service["Engine"] = wire::template("engine", &[]);
    store.write(
        "config",
        "main",
        &json!({"Version": 3, "Routes": [route], "Services": [service],
        "Limits": wire::template("limits", &[])}),
    );
    let runs = fleet.log_path("runs").to_string_lossy().into_owned();
    let engine = |host: u8, version: &str, is_loaded: bool| Engine {
        address: fleet.server_address(host),
        id: format!("engine-{host}"),
        service: "engines".to_owned(),
        version: version.to_owned(),
        born_unix_ms: unix_ms(),
        content: Content::Events,
        unframed_one_in: 0,
        events: EVENTS,
        gap_ms: GAP_MS,
        is_loaded,
        answers: Arc::default(),
        // Only the engine that has had the model has a copy of it.
        has_copy: host == 10,
        state: Arc::default(),
    };
    let (mut engines, mut own) = (Vec::new(), Vec::new());
    for (host, version, is_loaded) in [
        (10, "v1", true),
        (11, "v2", false),
        (12, "v2", false),
        (13, "v2", false),
    ] {
        let engine = engine(host, version, is_loaded);
        let process = fleet.start_standin(&engine.id, &engine.arguments(&runs));
        store.write("servers", &engine.id, &engine.entry("ready"));
        own.push(fleet.start_agent(host, engine.address, "engines"));
        engines.push((engine, process));
    }
    let routers = [
        fleet.start_router_at(2, fleet.second_store_address()),
        fleet.start_router(3),
    ];
    let addresses: Vec<SocketAddr> = routers.iter().map(|router| router.callers).collect();
    sleep(Duration::from_millis(3000));

    let closes: Arc<AtomicBool> = Arc::default();
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (addresses, closes) = (addresses.clone(), closes.clone());
            std::thread::spawn(move || call_and_take_up(&addresses, number, &closes))
        })
        .collect();
    sleep(RUNNING);
    if has_trouble() {
        store.close_second(true);
        record.write("the store turns front-2 away");
        sleep(BEFORE_CRASH);
        let (old, mut process) = engines.remove(0);
        process.kill();
        record.write(format!("{} ({}) has crashed", old.id, old.version));
        sleep(DOWN);
        let again = engine(10, "v2", false);
        let process = fleet.start_standin("engine-10", &again.arguments(&runs));
        let revision = store.write("servers", &again.id, &again.entry("ready"));
        record.write(format!(
            "{} starts again at {}: acknowledged at revision {revision:?}",
            again.id, again.version
        ));
        engines.push((again, process));
        // Other callers' new streams, at the router that reads the list.
        let router = addresses[1];
        for number in 0..FRESH {
            std::thread::spawn(move || {
                let id = format!("{:016x}", 0x9c43_0000_0000_u64 + number);
                let session = format!("{:08x}", 0x5200_0000 + number);
                let request = stream_request("/draft/a", &id, &session, 12_000, "");
                call_stream(router, &request, |_| true);
            });
        }
        sleep(TURNED_AWAY - BEFORE_CRASH - DOWN);
        store.close_second(false);
        record.write("the store serves front-2 again");
    } else {
        sleep(BEFORE_CRASH);
        closes.store(true, Ordering::Relaxed);
        record.write("nothing is disturbed; the callers close their connections");
    }
    let (mut mixed, mut whole) = (0, 0);
    for (number, caller) in callers.into_iter().enumerate() {
        let parts = caller.join().expect("the caller ends");
        let versions: Vec<&str> = parts
            .iter()
            .flat_map(|part| &part.events)
            .map(|e| version(e))
            .collect();
        let is_mixed = versions.windows(2).any(|pair| pair[0] != pair[1]);
        let told: Vec<String> = parts
            .iter()
            .map(|part| {
                let from = part.events.first().map_or("", |event| version(event));
                let detail: String = part.body.chars().take(130).collect();
                format!(
                    "{} with {} events {from}{detail}",
                    part.status,
                    part.events.len()
                )
            })
            .collect();
        record.write(format!(
            "stream {number}{}: {}",
            if is_mixed { ", of two versions" } else { "" },
            told.join("; ")
        ));
        mixed += u32::from(is_mixed);
        whole += u32::from(!is_mixed && versions.len() as u64 == EVENTS);
    }
    let text = std::fs::read_to_string(&runs).unwrap_or_default();
    for line in text.lines().filter(|line| line.contains("runs")).take(60) {
        record.write(format!("at the engines: {line}"));
    }
    own.extend(routers.into_iter().map(|router| router.process));
    for process in &mut own {
        if process.has_ended() {
            record.write(format!("{} has ended by itself", process.name));
            return 2;
        }
    }
    record.write(format!(
        "{mixed} streams hold events of two versions, {whole} are whole and of one"
    ));
    record.write(if mixed > 2 { "ORDER: broken" } else { "held" });
    i32::from(mixed > 2)
}
