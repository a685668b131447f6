//! The cases of the third review that run as scripts. `review-3 CASE FOLDER` plays a case and writes
//! `record.txt` into the folder. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! couldn't run. With `TROUBLE=0` in the environment it plays the case without the disruption.

mod all_killed;
mod copies;
mod http;
mod late_end;
mod late_events;
mod late_order;
mod link;
mod lost_version;
mod odd_entries;
mod part_burst;
mod record;
mod same_body;
mod server;
mod store;
mod system;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    process::exit,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde_json::Value;

use crate::{
    http::{Call, Message},
    record::Record,
    server::{EngineLimits, Kind, Server},
    store::Store,
    system::System,
};

/// No case may take longer.
const CASE_MAX: Duration = Duration::from_secs(110);
/// How long gossip takes to reach all processes.
const SETTLE: Duration = Duration::from_secs(4);
/// The platform's bound after which a machine is in touch again.
pub const STABLE_MS: u64 = 3000;

/// What a case has shown.
pub enum Verdict {
    Broken(String),
    Held(String),
    CouldNotRun(String),
}

/// What every case stands on.
pub struct Case {
    pub has_trouble: bool,
    pub record: Record,
    pub store: Store,
    pub limits: Arc<EngineLimits>,
    pub system: System,
    requests: AtomicU64,
}

impl Case {
    fn begin(folder: &Path, config: &str) -> Self {
        let record = Record::create(&folder.join("record.txt")).expect("the record");
        let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
        record.write(format!("trouble: {has_trouble}"));
        let store = Store::start();
        let config: Value = serde_json::from_str(config).expect("the configuration");
        let limits = Arc::new(engine_limits(&config));
        store.write("config", "main", config);
        let system = System::new(&store, &record);
        Self { has_trouble, record, store, limits, system, requests: AtomicU64::new(0) }
    }

    /// Starts a server at the machine with this number.
    pub fn start_server(&self, kind: Kind, number: u8) -> Server {
        Server::start(kind, system::ip(number), &self.limits, &self.store, &self.record)
    }

    /// Waits until the routers are ready and have heard of all others.
    pub fn settle(&self) -> Result<(), Verdict> {
        if !self.system.wait_until_ready(Duration::from_secs(15)) {
            return Err(Verdict::CouldNotRun("a router isn't ready in time".to_owned()));
        }
        std::thread::sleep(SETTLE);
        Ok(())
    }

    /// Returns a new identifier of a request.
    pub fn request_id(&self) -> String {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{:08x}{number:08x}", std::process::id())
    }

    /// Sends a request and reads its response, whose status is 0 if there is none.
    pub fn ask(
        &self,
        router: SocketAddr,
        target: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> (String, Message) {
        let id = self.request_id();
        let mut all = vec![("celerystair-request-id", id.clone())];
        all.extend_from_slice(headers);
        self.record.write(format!("sent {id} {target}"));
        let answer = Call::send(router, "POST", target, &all, body);
        let answer = answer.and_then(|mut call| call.response()).unwrap_or_default();
        let text = String::from_utf8_lossy(&answer.body);
        let shown = if answer.status() == 200 { "" } else { &*text };
        self.record.write(format!("answered {id} {target} {} {shown}", answer.status()));
        (id, answer)
    }
}

fn engine_limits(config: &Value) -> EngineLimits {
    let engine = &config["Services"][0]["Engine"];
    // The names of the limits stand in the configuration alone.
    let number = |value: &Value, ending: &str| {
        let members = value.as_object().expect("an object").iter();
        let mut named = members.filter(|(name, _)| name.ends_with(ending));
        named.next().and_then(|(_, value)| value.as_f64()).expect("a number")
    };
    let models = engine["Models"].as_array().expect("models");
    let model_mb: BTreeMap<String, f64> = models
        .iter()
        .map(|model| {
            let name = model["Name"].as_str().expect("a name");
            (name.to_owned(), number(model, "tsMb"))
        })
        .collect();
    EngineLimits {
        weights_mb: number(engine, "tsMb"),
        adapter_slots: number(engine, "raSlots") as usize,
        adapter_mb: number(&models[0], "terMb"),
        model_mb,
        load_ms: (number(&models[0], "LoadS") * 1000.0) as u64,
        disk_load_ms: (number(&models[0], "DiskS") * 1000.0) as u64,
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-3 CASE FOLDER");
        exit(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(CASE_MAX);
        system::end_all();
        eprintln!("the case takes too long");
        exit(2);
    });
    let config = match name.as_str() {
        "lost-version" => include_str!("../config-versions.json"),
        _ => include_str!("../config.json"),
    };
    let play: fn(&mut Case) -> Result<Verdict, Verdict> = match name.as_str() {
        "late-order" => late_order::play,
        "all-killed" => all_killed::play,
        "copies" => copies::play,
        "late-end" => late_end::play,
        "late-events" => late_events::play,
        "lost-version" => lost_version::play,
        "odd-entries" => odd_entries::play,
        "part-burst" => part_burst::play,
        "same-body" => same_body::play,
        _ => {
            eprintln!("no such case");
            exit(2);
        }
    };
    let played = std::panic::catch_unwind(|| {
        let mut case = Case::begin(Path::new(&folder), config);
        let verdict = play(&mut case).unwrap_or_else(|verdict| verdict);
        (verdict, case.record.clone())
    });
    system::end_all();
    let code = match played {
        Ok((verdict, record)) => {
            let (text, code) = match verdict {
                Verdict::Broken(text) => (format!("BROKEN: {text}"), 1),
                Verdict::Held(text) => (format!("held: {text}"), 0),
                Verdict::CouldNotRun(text) => (format!("could not run: {text}"), 2),
            };
            record.write(&text);
            println!("{text}");
            code
        }
        Err(_) => 2,
    };
    exit(code);
}
