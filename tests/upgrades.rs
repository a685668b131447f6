//! Every process is stopped as planned and started again, one after another, under load.

#[path = "support/domains.rs"]
mod domains;
mod support;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
};

use celerystair::{
    core::{hybrid::unix_ms_of, prelude::*},
    platform::{
        objects::AGENT_KEY_PREFIX,
        prelude::{AgentObject, CallPriority, Expected, ServiceObject, Store},
    },
    telemetry::{prelude::Event, story::MergedTimeline},
    trial::{
        caller::CallTarget,
        fleet::{set_instance_state, store_settings},
        prelude::*,
    },
};
use domains::{
    answers_all_models, assert_held, domains_trial, is_answered, outcomes, placed_on_live,
    start_loaded, wait_until,
};
use serde_json::json;
use support::{block_on, processes::Process};

/// By when a leaving upstream gets nothing new any more.
const LEAVING_MS: u64 = 2000;
/// How often the balancer looks at a router, and how many bad answers it waits for.
const BALANCER_INTERVAL_MS: u64 = 200;
const BALANCER_TRIES: u32 = 2;

fn timeline_file() -> PathBuf {
    let name = format!("celerystair-upgrade-{:016x}", rand::random::<u64>());
    std::env::temp_dir().join(name)
}

/// Sends a router's calls to it as long as it says that it is ready, as a balancer does.
async fn balance(load: Rc<SteadyLoad>, router: usize, addresses: Rc<RefCell<Vec<SocketAddr>>>) {
    let client = cyper::Client::new().expect("a client");
    let mut failures = 0;
    loop {
        let address = addresses.borrow()[router];
        let url = format!("http://{address}/readyz");
        let answer = client.get(url).expect("a URL").send().await;
        if answer.is_ok_and(|answer| answer.status() == 200) {
            failures = 0;
            load.set_router_address(router, Some(address));
        } else {
            failures += 1;
            if failures == BALANCER_TRIES {
                load.set_router_address(router, None);
            }
        }
        sleep_ms(BALANCER_INTERVAL_MS).await;
    }
}

/// How long after the start of its stop each agent's upstream was last chosen for a request,
/// up to the agent's next life.
fn last_chosen_ms(events: &[Event], stops: &[(UpstreamId, u64, u64)]) -> Vec<u64> {
    let mut last_ms = Vec::new();
    for (upstream, stop_unix_ms, started_unix_ms) in stops {
        let chosen = events
            .iter()
            .filter(|event| event.kind == "upstream_chosen" && event.upstream == upstream.as_str())
            .map(|event| unix_ms_of(event.hybrid_time))
            .filter(|unix_ms| (*stop_unix_ms..*started_unix_ms).contains(unix_ms));
        last_ms.push(chosen.max().map_or(0, |unix_ms| unix_ms - stop_unix_ms));
    }
    last_ms
}

/// Waits until the next life of an agent has claimed its upstream, as `celerystair admin status`
/// shows an operator.
async fn claimed(fleet: &FaultFleet, index: usize) {
    let store = Store::new(store_settings(&fleet.platform_url)).expect("a client");
    let key = format!("{AGENT_KEY_PREFIX}{}", fleet.upstreams[index].name);
    wait_until("the next life has claimed", async || {
        let found = store.get(&key).await.ok().flatten();
        let agent = found.and_then(|object| object.read::<AgentObject>().ok());
        agent.is_some_and(|agent| !agent.leaving)
    })
    .await;
    placed_on_live(fleet).await;
}

const CALL_INTERVAL_MS: u64 = 20;
const WORK_MS: u64 = 1000;
const ROUNDS: usize = 4;

/// Two plain services behind agents, a router and a platform, as processes.
struct ServiceProcesses {
    platform_url: String,
    router: Process,
    agents: Vec<Process>,
    service_urls: Vec<String>,
    timeline_file: PathBuf,
    _standins: Vec<Process>,
}

impl ServiceProcesses {
    async fn start() -> Self {
        let listen = "127.0.0.1:0";
        let platform = json!({ "platform": { "listen": listen } });
        let mut platform = Process::start("standin", &platform);
        let platform_url = format!("http://{}", platform.standin_address());
        let mut standins = vec![platform];
        let mut service_urls = Vec::new();
        for _ in 0..2 {
            let service = json!({ "service": { "listen": listen, "work_ms": WORK_MS } });
            let mut service = Process::start("standin", &service);
            service_urls.push(format!("http://{}", service.standin_address()));
            standins.push(service);
        }
        let store = Store::new(store_settings(&platform_url)).expect("a client");
        let object = ServiceObject {
            pool: "services".to_owned(),
            idempotent_methods: vec!["GET".to_owned()],
        };
        let written = store.put(
            "services/ledger",
            &object,
            Expected::Absent,
            CallPriority::Normal,
        );
        written.await.expect("the service is written");
        let timeline_file = timeline_file();
        let router = json!({ "router": "router-1", "listen": listen, "peer_listen": listen,
            "process": process_settings(&platform_url, Some(&timeline_file)) });
        let mut system = Self {
            router: Process::start("router", &router),
            platform_url,
            agents: Vec::new(),
            service_urls,
            timeline_file,
            _standins: standins,
        };
        for index in 0..2 {
            let agent = system.start_agent(index).await;
            system.agents.push(agent);
        }
        system
    }

    async fn start_agent(&self, index: usize) -> Process {
        let (upstream, instance) = (format!("service-{index}"), format!("service-{index}.1"));
        let client = cyper::Client::new().expect("a client");
        let announced = set_instance_state(&client, &self.platform_url, &instance, "live").await;
        announced.expect("the platform answers");
        let settings = json!({ "upstream": upstream, "instance": instance,
            "upstream_kind": "service", "upstream_url": self.service_urls[index],
            "pool": "services", "listen": "127.0.0.1:0", "running_max": 1000,
            "process": process_settings(&self.platform_url, None) });
        let mut agent = Process::start("agent", &settings);
        agent.logged("fence");
        agent
    }
}

fn process_settings(platform_url: &str, timeline_file: Option<&Path>) -> serde_json::Value {
    json!({ "failure_domain": "a", "platform": { "url": platform_url }, "log_format": "json",
        "timeline_file": timeline_file })
}

fn status_call(router: SocketAddr) -> Call {
    Call {
        router,
        organisation: "office".into(),
        kind: "status".into(),
        target: CallTarget::Service {
            method: http::Method::GET,
            path: "/services/ledger/status".to_owned(),
            key: String::new(),
        },
        timeout_ms: 30_000,
    }
}

/// Calls the service every [`CALL_INTERVAL_MS`] until `is_ended`; gives what came back.
async fn call_service(router: SocketAddr, is_ended: Rc<Cell<bool>>) -> Vec<Outcome> {
    let caller = Caller::new().expect("a caller");
    let mut calls = Vec::new();
    while !is_ended.get() {
        let call = status_call(router);
        let caller = caller.clone();
        calls.push(compio::runtime::spawn(async move {
            caller.call(&call).await.outcome
        }));
        sleep_ms(CALL_INTERVAL_MS).await;
    }
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(call.await.expect("the caller's task"));
    }
    outcomes
}

#[test]
fn a_terminated_agent_gets_nothing_new_and_finishes_what_it_has() {
    block_on(async {
        let mut system = ServiceProcesses::start().await;
        let router: SocketAddr = system.router.logged("callers").parse().expect("an address");
        let caller = Caller::new().expect("a caller");
        wait_until("the router has heard of the agents", async || {
            caller.call(&status_call(router)).await.outcome == Outcome::Answered
        })
        .await;
        let is_ended = Rc::new(Cell::new(false));
        let calls = compio::runtime::spawn(call_service(router, is_ended.clone()));
        let mut stops = Vec::new();
        for round in 0..ROUNDS {
            let index = round % 2;
            // Long enough for both to have work.
            sleep_ms(2 * WORK_MS).await;
            let stop_unix_ms = now_unix_ms();
            system.agents[index].terminate();
            sleep_ms(LEAVING_MS + WORK_MS).await;
            assert!(system.agents[index].wait().success());
            stops.push((
                format!("service-{index}").into(),
                stop_unix_ms,
                now_unix_ms(),
            ));
            system.agents[index] = system.start_agent(index).await;
        }
        is_ended.set(true);
        let outcomes = calls.await.expect("the callers' task");
        let unserved = outcomes
            .iter()
            .find(|outcome| **outcome != Outcome::Answered);
        assert!(unserved.is_none(), "{unserved:?}");
        system.router.terminate();
        assert!(system.router.wait().success());
        let timeline = MergedTimeline::read(&[&system.timeline_file]).expect("the time line");
        std::fs::remove_file(&system.timeline_file).ok();
        let last_ms = last_chosen_ms(&timeline.events, &stops);
        println!(
            "{} calls; last chosen after SIGTERM, in ms: {last_ms:?}",
            outcomes.len()
        );
        assert!(
            last_ms.iter().all(|last_ms| *last_ms <= LEAVING_MS),
            "{last_ms:?}"
        );
    });
}

#[test]
fn a_rolling_restart_cuts_off_no_request() {
    block_on(async {
        let mut settings = domains_trial();
        let file = timeline_file();
        settings.timeline_file = Some(file.clone());
        let (mut fleet, load) = start_loaded(&settings).await;
        placed_on_live(&fleet).await;
        answers_all_models(&load, &[0, 1, 2], settings.model_objects().len()).await;
        let begun_unix_ms = now_unix_ms();
        let load = Rc::new(load);
        let routers = 0..settings.routers as usize;
        let addresses = routers.clone().map(|index| fleet.router_address(index));
        let addresses = Rc::new(RefCell::new(addresses.collect::<Vec<_>>()));
        for router in routers.clone() {
            let work = balance(load.clone(), router, addresses.clone());
            compio::runtime::spawn(work).detach();
        }
        let mut stops = Vec::new();
        for index in 0..fleet.upstreams.len() {
            let stop_unix_ms = now_unix_ms();
            fleet.stop_agent_process(index);
            // Long enough to see whether anything comes after the bound.
            sleep_ms(LEAVING_MS + 500).await;
            fleet.wait_until_agent_stopped(index).await;
            let started_unix_ms = now_unix_ms();
            fleet.restart_agent(index).expect("the agent starts");
            let upstream = fleet.upstreams[index].name.clone();
            stops.push((upstream, stop_unix_ms, started_unix_ms));
            claimed(&fleet, index).await;
        }
        for router in routers {
            fleet.stop_router(router);
            fleet.wait_until_router_stopped(router).await;
            fleet.restart_router(router).expect("the router starts");
            fleet
                .wait_until_router_ready(router)
                .await
                .expect("the router is ready");
            addresses.borrow_mut()[router] = fleet.router_address(router);
        }
        let served = load.end().await;
        println!("{}", outcomes(&served));
        assert_held(&fleet, &served, |_| false);
        fleet.end();
        let timeline = MergedTimeline::read(&[&file]).expect("the time line");
        std::fs::remove_file(&file).ok();
        let last_ms = last_chosen_ms(&timeline.events, &stops);
        println!("last chosen after the stop began, in ms: {last_ms:?}");
        assert!(
            last_ms.iter().all(|last_ms| *last_ms <= LEAVING_MS),
            "{last_ms:?}"
        );
        // Earlier calls may have come before the routers had seen the placements.
        let unserved = served
            .iter()
            .find(|call| call.received.called_unix_ms > begun_unix_ms && !is_answered(call));
        assert!(unserved.is_none(), "{unserved:?}");
    });
}
