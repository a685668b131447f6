//! A router and the agents of all engines end, while engines of two software versions serve. Callers
//! take the router's streams up at the routers that stand.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    caller::{StreamPart, call_stream, left_ms, stream_request},
    engine::{Content, Engine},
    fleet::{Fleet, Process, has_trouble, record_path},
    record::Record,
    server::unix_ms,
    store::Store,
    wire,
};

const EVENTS: u64 = 110;
const GAP_MS: u64 = 100;
const STREAMS: usize = 45;
/// How long the streams have been running.
const RUNNING: Duration = Duration::from_millis(800);
/// When the callers close their connections where no process ends: about when they break off otherwise.
const CLOSE_AFTER: Duration = Duration::from_millis(6000);
/// The time between two planned stops, and the most that one may take.
const STOPS_GAP: Duration = Duration::from_millis(1200);
const GRACE: Duration = Duration::from_millis(8000);
/// How long the platform takes to start a process again.
const RESTART: Duration = Duration::from_millis(300);
/// Callers take a stream up within this time, up to three times.
const PAUSE: Duration = Duration::from_millis(300);
const TRIES: usize = 3;

/// The events of a stream over its caller's attempts, and the number of those in which it was asked to
/// go on.
struct Story {
    first: StreamPart,
    later: Vec<StreamPart>,
}

impl Story {
    fn goes_on(&self) -> bool {
        self.later.iter().any(|part| !part.events.is_empty())
    }

    fn events(&self) -> Vec<&str> {
        let parts = std::iter::once(&self.first).chain(&self.later);
        parts
            .flat_map(|part| &part.events)
            .map(String::as_str)
            .collect()
    }
}

fn version(event: &str) -> &str {
    event.trim_end().rsplit(' ').next().unwrap_or_default()
}

/// Calls a stream at `first` and takes it up at `others` once its connection has ended, or once the
/// caller itself has closed it.
fn call_and_take_up(
    first: SocketAddr,
    others: &[SocketAddr],
    number: usize,
    closes: Arc<AtomicUsize>,
) -> Story {
    let began = Instant::now();
    let session = format!("{:08x}", 0x5100_0000 + number);
    let begun_by = format!("{:016x}", 0x9c41_0000_0000 + number);
    let request = stream_request("/draft/a", &begun_by, &session, left_ms(began), "");
    let part = call_stream(first, &request, |_| closes.load(Ordering::Relaxed) == 0);
    let mut story = Story {
        first: part,
        later: Vec::new(),
    };
    for attempt in 0..TRIES {
        let events = story.events();
        let Some(last) = events.last() else {
            break;
        };
        let last_id = last
            .lines()
            .next()
            .and_then(|line| line.strip_prefix("id: "))
            .unwrap_or_default();
        if last_id == EVENTS.to_string() {
            break;
        }
        sleep(PAUSE);
        if left_ms(began) == 0 {
            break;
        }
        let resumes = wire::text("resumes");
        let more = format!("Last-Event-Id: {last_id}\r\n{resumes}: {begun_by}\r\n");
        let id = format!("{:016x}", 0x9c42_0000_0000 + number * 16 + attempt);
        let request = stream_request("/draft/a", &id, &session, left_ms(began), &more);
        let router = others[(number + attempt) % others.len()];
        story.later.push(call_stream(router, &request, |_| true));
    }
    story
}

/// Which processes end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// The first router and then each agent gets SIGTERM in turn, and starts again.
    Stops,
    /// The first router and all agents are killed at the same moment.
    Kills,
}

fn host(engine: &Engine) -> u8 {
    match engine.address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3],
        std::net::IpAddr::V6(_) => 0,
    }
}

pub fn run(folder: &str, trouble: Trouble) -> i32 {
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
    let config = json!({"Version": 3, "Routes": [route], "Services": [service],
        "Limits": wire::template("limits", &[])});
    store.write("config", "main", &config);
    let runs = fleet.log_path("runs");
    let mut engines = Vec::new();
    let mut agents = Vec::new();
    for (host, version) in [(10, "v1"), (11, "v1"), (12, "v2"), (13, "v2")] {
        let engine = Engine {
            address: fleet.server_address(host),
            id: format!("engine-{host}"),
            service: "engines".to_owned(),
            version: version.to_owned(),
            born_unix_ms: unix_ms(),
            unframed_one_in: 0,
            is_loaded: true,
            answers: Arc::default(),
            has_copy: true,
            state: Arc::default(),
            content: Content::Events,
            events: EVENTS,
            gap_ms: GAP_MS,
        };
        let arguments = engine.arguments(&runs.to_string_lossy());
        let process = fleet.start_standin(&engine.id, &arguments);
        store.write("servers", &engine.id, &engine.entry("ready"));
        agents.push(fleet.start_agent(host, engine.address, "engines"));
        engines.push((engine, process));
    }
    let mut routers: Vec<_> = (2..=6).map(|host| fleet.start_router(host)).collect();
    sleep(Duration::from_millis(4000));
    let others: Vec<SocketAddr> = routers[1..].iter().map(|router| router.callers).collect();

    let closes: Arc<AtomicUsize> = Arc::default();
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (first, others, closes) = (routers[0].callers, others.clone(), closes.clone());
            std::thread::spawn(move || call_and_take_up(first, &others, number, closes))
        })
        .collect();
    let began = Instant::now();
    sleep(RUNNING);
    match (has_trouble(), trouble) {
        (false, _) => {
            sleep(CLOSE_AFTER);
            closes.store(1, Ordering::Relaxed);
            record.write("no process ends; the callers close their connections");
        }
        (true, Trouble::Stops) => {
            let router = routers.remove(0);
            router.process.signal("TERM");
            record.write(format!("{} gets SIGTERM", router.process.name));
            for (engine, _) in &engines {
                sleep(STOPS_GAP);
                let mut agent = agents.remove(0);
                agent.signal("TERM");
                agent.child.wait().expect("the agent ends");
                record.write(format!("{} got SIGTERM and has ended", agent.name));
                sleep(RESTART);
                agents.push(fleet.start_agent(host(engine), engine.address, "engines"));
            }
            let mut process = router.process;
            let until = Instant::now() + GRACE;
            while !process.has_ended() && Instant::now() < until {
                sleep(Duration::from_millis(10));
            }
            record.write(format!(
                "{} has ended: {:?}",
                process.name,
                process.child.try_wait()
            ));
            drop(process);
            routers.push(fleet.start_router(2));
        }
        (true, Trouble::Kills) => {
            let mut killed = vec![routers.remove(0).process];
            killed.append(&mut agents);
            // All first get the signal, and are then waited for.
            let mut kill = |process: &mut Process| process.child.kill().expect("kill works");
            killed.iter_mut().for_each(&mut kill);
            let names: Vec<String> = killed.iter().map(|process| process.name.clone()).collect();
            record.write(format!("killed at the same moment: {}", names.join(", ")));
            drop(killed);
            sleep(RESTART);
            for (engine, _) in &engines {
                agents.push(fleet.start_agent(host(engine), engine.address, "engines"));
            }
            routers.push(fleet.start_router(2));
        }
    }
    record.write(format!(
        "all processes run, {} ms after the streams were sent",
        began.elapsed().as_millis()
    ));
    // New streams at the same routers, for comparison.
    let fresh: Vec<_> = (0..STREAMS)
        .map(|number| {
            let router = others[number % others.len()];
            std::thread::spawn(move || {
                let id = format!("{:016x}", 0x9c43_0000_0000 + number);
                let session = format!("{:08x}", 0x5200_0000 + number);
                let request = stream_request("/draft/a", &id, &session, 12_000, "");
                call_stream(router, &request, |events| events < 3)
            })
        })
        .collect();
    let fresh: Vec<StreamPart> = fresh
        .into_iter()
        .map(|call| call.join().expect("ends"))
        .collect();
    let begun = fresh.iter().filter(|part| !part.events.is_empty()).count();
    let mut stories = Vec::new();
    for caller in callers {
        stories.push(caller.join().expect("the caller ends"));
    }
    let taken: Vec<&Story> = stories
        .iter()
        .filter(|story| !story.later.is_empty())
        .collect();
    let gone_on = taken.iter().filter(|story| story.goes_on()).count();
    for (number, story) in stories.iter().enumerate() {
        let events = story.events();
        let later: Vec<String> = story
            .later
            .iter()
            .map(|part| {
                let detail: String = part.body.chars().take(160).collect();
                format!("{} with {} events {detail}", part.status, part.events.len())
            })
            .collect();
        record.write(format!(
            "stream {number} of {}: {} with {} events, then taken up: {}",
            events.first().map_or("?", |event| version(event)),
            story.first.status,
            story.first.events.len(),
            later.join("; ")
        ));
    }
    let mixed = stories.iter().filter(|story| {
        let events = story.events();
        let versions: Vec<&str> = events.iter().map(|event| version(event)).collect();
        versions.windows(2).any(|pair| pair[0] != pair[1])
    });
    record.write(format!(
        "{} streams hold events of two versions",
        mixed.count()
    ));
    record.write(format!(
        "new streams at the same routers: {begun} of {} began",
        fresh.len()
    ));
    record.write(format!(
        "streams taken up: {gone_on} of {} went on",
        taken.len()
    ));
    for router in &mut routers {
        if router.process.has_ended() {
            record.write(format!("{} has ended by itself", router.process.name));
            return 2;
        }
    }
    if taken.len() < 12 || begun < 12 {
        return 2;
    }
    // Under half of the share of new streams that begin.
    let is_broken = gone_on * fresh.len() * 2 < begun * taken.len();
    record.write(if is_broken { "LOST: broken" } else { "held" });
    i32::from(is_broken)
}
