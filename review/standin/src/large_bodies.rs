//! Callers send bodies of nearly the size that the configuration allows, and twice as many as usual come at
//! once, three times. The platform ends a process that exceeds its memory, and starts it again.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::Duration,
};

use serde_json::json;

use crate::{
    caller::call_whole,
    engine::{Content, Engine},
    fleet::{Fleet, Router, has_trouble, record_path},
    record::Record,
    server::unix_ms,
    store::Store,
    wire,
};

/// Below the limit of the configuration, 4 MiB.
const BODY_BYTES: usize = 4_000_000;
/// What the settings file grants a process.
const MEMORY_MAX_KB: u64 = 260 * 1024;
const RESTART: Duration = Duration::from_millis(500);
/// Callers that usually come at once, over both routers, and in a burst.
const USUAL_CALLERS: usize = 40;
const BURST_CALLERS: usize = 80;
const WAVES: usize = 3;
const WAVE_GAP: Duration = Duration::from_millis(4000);
/// Attempts of one caller, each at another router.
const ATTEMPTS: usize = 2;
const PAUSE: Duration = Duration::from_millis(300);
/// How often a process must end for the rule, at each of two machines.
const ENDS: u32 = 3;

fn resident_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

pub fn run(folder: &str) -> i32 {
    let callers = if has_trouble() {
        BURST_CALLERS
    } else {
        USUAL_CALLERS
    };
    let record = Record::create(&record_path(folder));
    let fleet = Arc::new(Fleet::new(record.clone()));
    let store = Store::start(fleet.store_address(), fleet.second_store_address());
    let values = [
        ("name", "upload"),
        ("path", "/upload/"),
        ("service", "desk"),
        ("kind", "idempotent"),
    ];
    let config = json!({"Version": 3, "Limits": wire::template("limits", &[]),
        "Routes": [wire::template("route", &values)],
        "Services": [wire::template("service", &[("name", "desk")])]});
    store.write("config", "main", &config);
    let runs = fleet.log_path("runs");
    let mut servers = Vec::new();
    for host in [10, 11, 12] {
        let engine = Engine {
            address: fleet.server_address(host),
            id: format!("server-{host}"),
            service: "desk".to_owned(),
            version: "v1".to_owned(),
            born_unix_ms: unix_ms(),
            content: Content::Text,
            unframed_one_in: 0,
            events: 5,
            gap_ms: 100,
            is_loaded: true,
            answers: Arc::default(),
            has_copy: true,
            state: Arc::default(),
        };
        let arguments = engine.arguments(&runs.to_string_lossy());
        servers.push(fleet.start_standin(&engine.id, &arguments));
        let mut entry = engine.entry("ready");
        entry["Slots"] = 6.into();
        store.write("servers", &engine.id, &entry);
    }
    let routers: Vec<Router> = [2, 3].map(|host| fleet.start_router(host)).into();
    let addresses: Vec<SocketAddr> = routers.iter().map(|router| router.callers).collect();
    sleep(Duration::from_millis(3000));
    let stop: Arc<AtomicBool> = Arc::default();
    let watchers: Vec<_> = routers.into_iter().enumerate().map(|(index, mut router)| {
        let (stop, fleet, record) = (stop.clone(), fleet.clone(), record.clone());
        std::thread::spawn(move || {
            let (mut peak_kb, mut kills) = (0, 0);
            while !stop.load(Ordering::Relaxed) {
                let resident = resident_kb(router.process.child.id());
                peak_kb = peak_kb.max(resident);
                if resident > MEMORY_MAX_KB {
                    router.process.kill();
                    kills += 1;
                    record.write(format!("router {index} has {} MB, over its limit, and is ended by the platform", resident / 1024));
                    sleep(RESTART);
                    router = fleet.start_router(2 + index as u8);
                }
                sleep(Duration::from_millis(10));
            }
            (peak_kb, kills)
        })
    }).collect();

    let body = "x".repeat(BODY_BYTES);
    let request = |number: usize, attempt: usize| {
        let id = format!("{:016x}", 0x9c41_0000 + number * 16 + attempt);
        let (id_name, deadline) = (wire::header("Request-Id"), wire::header("Deadline-Ms"));
        format!(
            "POST /upload/a HTTP/1.1\r\nHost: desk.example\r\n{id_name}: {id}\r\n{deadline}: 10000\r\n\
            Content-Length: {BODY_BYTES}\r\n\r\n{body}"
        )
    };
    let outcomes: Mutex<BTreeMap<(usize, usize, String), usize>> = Mutex::default();
    let call = |wave: usize, number: usize| {
        for attempt in 0..ATTEMPTS {
            let router = addresses[(number + attempt) % addresses.len()];
            let answer = call_whole(router, &request(number, attempt));
            let outcome = match &answer {
                Some((answer, _)) if answer.is_complete => answer.status().to_string(),
                Some(_) => "an answer that is broken off".to_owned(),
                None => "no answer".to_owned(),
            };
            let is_served = outcome == "200";
            let mut outcomes = outcomes.lock().expect("not poisoned");
            *outcomes.entry((wave, attempt, outcome)).or_default() += 1;
            drop(outcomes);
            if is_served {
                return;
            }
            sleep(PAUSE);
        }
    };
    for wave in 0..WAVES {
        record.write(format!("{callers} callers come at once"));
        std::thread::scope(|scope| {
            for number in 0..callers {
                let call = &call;
                scope.spawn(move || call(wave, wave * callers + number));
            }
        });
        sleep(WAVE_GAP);
    }
    stop.store(true, Ordering::Relaxed);
    for ((wave, attempt, outcome), count) in &*outcomes.lock().expect("not poisoned") {
        record.write(format!(
            "wave {wave}, attempt {attempt}: {count} got {outcome}"
        ));
    }
    let mut machines = 0;
    for (index, watcher) in watchers.into_iter().enumerate() {
        let (peak_kb, kills) = watcher.join().expect("the platform goes on");
        record.write(format!(
            "router {index}: {} MB at most, ended {kills} times",
            peak_kb / 1024
        ));
        machines += u32::from(kills >= ENDS);
    }
    let is_broken = machines >= 2;
    record.write(if is_broken { "Fault: broken" } else { "held" });
    i32::from(is_broken)
}
