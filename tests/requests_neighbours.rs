//! What a slow caller, an organisation that floods, or lost instances do to the requests of others.

#[path = "support/requests.rs"]
mod requests;
mod support;

use std::{
    cell::RefCell,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
};

use celerystair::{
    agent::prelude::*,
    core::prelude::*,
    journal::suspects::{SUSPECT_KEY_PREFIX, SuspectObject},
    net::{json::json_response, prelude::*},
    platform::prelude::*,
    protocol::engine_api::EngineState,
    trial::{
        caller::CallTarget,
        fleet::{FleetUpstream, agent_settings},
        prelude::*,
    },
};
use compio::{io::AsyncWriteExt, net::TcpStream};
use futures_util::future::join_all;
use hyper::body::Bytes;
use requests::{requests_trial, start, store_of};
use support::block_on;

/// A call that may be repeated.
fn get(fleet: &FaultFleet, router: usize, organisation: &str, path: &str, timeout_ms: u64) -> Call {
    Call {
        router: fleet.router_address(router),
        organisation: organisation.into(),
        kind: "status".into(),
        target: CallTarget::Service {
            method: http::Method::GET,
            path: path.to_owned(),
            key: String::new(),
        },
        timeout_ms,
    }
}

#[test]
fn a_organisation_that_floods_does_not_take_the_turns_of_another() {
    const FLOOD: usize = 150;
    const TIMEOUT_MS: u64 = 10_000;
    block_on(async {
        let mut settings = requests_trial();
        // Twelve turns of a second: the flood alone would wait past its deadline.
        settings.pools[1].service.work_ms = 1000;
        let (mut fleet, caller) = start(&settings).await;
        let stop = Stop::new();
        let flood = (0..FLOOD).map(|number| {
            let call = get(
                &fleet,
                number % 2,
                "hangang",
                "/services/ledger/",
                TIMEOUT_MS,
            );
            let (caller, stop) = (caller.clone(), stop.clone());
            compio::runtime::spawn(async move {
                let mut answered = 0;
                while !stop.is_draining() {
                    let outcome = caller.call(&call).await.outcome;
                    answered += u32::from(outcome == Outcome::Answered);
                    sleep_ms(200).await;
                }
                answered
            })
        });
        let flood: Vec<_> = flood.collect();
        // Until the flood has filled the queues.
        while fleet_waits(&fleet, &caller).await {}
        for number in 0..6 {
            let call = get(
                &fleet,
                number % 2,
                "office",
                "/services/ledger/",
                TIMEOUT_MS,
            );
            let received = caller.call(&call).await;
            assert_eq!(received.outcome, Outcome::Answered, "call {number}");
        }
        stop.drain();
        let answered: u32 = join_all(flood).await.into_iter().flatten().sum();
        assert!(answered > 0, "the flood is served too");
        fleet.end();
    });
}

/// Whether a further request of the organisation that floods would still be taken.
async fn fleet_waits(fleet: &FaultFleet, caller: &Caller) -> bool {
    let call = get(fleet, 0, "hangang", "/services/ledger/", 2_000);
    caller.call(&call).await.outcome == Outcome::Answered
}

/// How many attempts the routers made, by the time line.
fn attempts(timeline: &Path) -> usize {
    let text = std::fs::read_to_string(timeline).expect("the time line is there");
    text.matches("\"upstream_chosen\"").count()
}

#[test]
fn half_of_the_upstreams_vanish_and_retries_stay_within_their_budget() {
    const CALLERS: usize = 24;
    const CALLS: usize = 30;
    /// Retries that each router has saved up, and what first attempts earn, in percent.
    const SAVED: usize = 20;
    const EARNED_PERCENT: usize = 20;
    block_on(async {
        let timeline: PathBuf =
            std::env::temp_dir().join(format!("celerystair-retries-{}", std::process::id()));
        std::fs::remove_file(&timeline).ok();
        let mut settings = requests_trial();
        settings.timeline_file = Some(timeline.clone());
        settings.pools[1].upstreams = 6;
        let (mut fleet, caller) = start(&settings).await;
        let progress = Rc::new(RefCell::new(0));
        let callers = (0..CALLERS).map(|number| {
            let call = get(&fleet, number % 2, "office", "/services/ledger/", 30_000);
            let (caller, progress) = (caller.clone(), progress.clone());
            compio::runtime::spawn(async move {
                let mut outcomes = Vec::new();
                for _ in 0..CALLS {
                    outcomes.push(caller.call(&call).await.outcome);
                    *progress.borrow_mut() += 1;
                }
                outcomes
            })
        });
        let callers: Vec<_> = callers.collect();
        while *progress.borrow() < CALLERS * CALLS / 4 {
            sleep_ms(1).await;
        }
        // The engines come first among the upstreams.
        for index in [2, 4, 6] {
            fleet.kill_agent(index);
        }
        let outcomes: Vec<Outcome> = join_all(callers)
            .await
            .into_iter()
            .flatten()
            .flatten()
            .collect();
        fleet.end();
        let first = CALLERS * CALLS;
        let retries = attempts(&timeline) - first;
        std::fs::remove_file(&timeline).ok();
        println!("{retries} retries of {first} requests");
        assert!(
            retries <= 2 * SAVED + first * EARNED_PERCENT / 100,
            "{retries}"
        );
        let lost: Vec<_> = outcomes
            .iter()
            .filter(|o| **o != Outcome::Answered)
            .collect();
        assert!(lost.is_empty(), "{lost:?}");
    });
}

/// An upstream whose answers are as long as their reader likes.
struct Endless {
    address: SocketAddr,
    /// Bytes handed out to each reader.
    sent_bytes: Rc<RefCell<Vec<usize>>>,
}

const CHUNK_BYTES: usize = 64 << 10;

fn start_endless(stop: &Stop) -> Endless {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let sent_bytes = Rc::new(RefCell::new(Vec::new()));
    let (serving, counted) = (stop.clone(), sent_bytes.clone());
    compio::runtime::spawn(async move {
        let handle = move |request: HttpRequest| {
            let counted = counted.clone();
            async move {
                if request.uri().path() != "/endless" {
                    return json_response(200, &serde_json::json!({ "key": "" }));
                }
                let reader = counted.borrow().len();
                counted.borrow_mut().push(0);
                let chunks = futures_util::stream::repeat_with(move || {
                    counted.borrow_mut()[reader] += CHUNK_BYTES;
                    Ok(Bytes::from(vec![b'x'; CHUNK_BYTES]))
                });
                http::Response::new(HttpBody::chunks(chunks))
            }
        };
        serve_http(listener, serving, handle).await.ok();
    })
    .detach();
    Endless {
        address,
        sent_bytes,
    }
}

/// An agent beside `upstream` that serves `/services/endless/`.
async fn serve_endless(
    fleet: &FaultFleet,
    settings: &TrialSettings,
    endless: &Endless,
    running_max: u32,
    stop: &Stop,
) {
    let mut upstream: FleetUpstream = fleet.upstreams[4].clone();
    upstream.name = "endless-1".into();
    upstream.instance = InstanceId::random("endless-1");
    upstream.address = endless.address;
    "endless".clone_into(&mut upstream.pool.name);
    upstream.pool.running_max = running_max;
    let settings = agent_settings(settings, &upstream, &fleet.platform_url);
    let running = run_agent(settings, stop).await.expect("the agent starts");
    running.served.detach();
    let service = ServiceObject {
        pool: "endless".to_owned(),
        idempotent_methods: vec!["GET".to_owned()],
    };
    store_of(fleet)
        .put(
            "services/endless",
            &service,
            Expected::Absent,
            CallPriority::Urgent,
        )
        .await
        .expect("the service is written");
}

/// A caller that asks for an endless answer and reads nothing of it.
async fn ask_and_read_nothing(router: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(router).await.expect("a connection");
    let request = "GET /services/endless/endless HTTP/1.1\r\nhost: router\r\n\
                   celerystair-organisation: office\r\nrequest-timeout-ms: 300000\r\n\r\n";
    stream.write_all(request).await.0.expect("it is sent");
    stream
}

#[test]
fn callers_that_read_nothing_hold_up_no_other_and_take_bounded_memory() {
    const SLOW: usize = 12;
    /// All buffers of one answer: those of the sockets between upstream, agent, router and
    /// caller, which are the system's, and the windows and chunks of our own.
    const HELD_MAX_BYTES: usize = 32 << 20;
    block_on(async {
        let settings = requests_trial();
        let (mut fleet, caller) = start(&settings).await;
        let stop = Stop::new();
        let endless = start_endless(&stop);
        serve_endless(&fleet, &settings, &endless, 100, &stop).await;
        let small = get(&fleet, 0, "office", "/services/endless/small", 30_000);
        while caller.call(&small).await.outcome != Outcome::Answered {
            sleep_ms(5).await;
        }
        let mut slow = Vec::new();
        for _ in 0..SLOW {
            slow.push(ask_and_read_nothing(fleet.router_address(0)).await);
        }
        // Until nothing more is taken off the upstream.
        let sent = || endless.sent_bytes.borrow().iter().sum::<usize>();
        let mut before = (0, 0);
        while before.0 < SLOW || before.1 < sent() {
            before = (endless.sent_bytes.borrow().len(), sent());
            sleep_ms(500).await;
        }
        println!("held for each slow caller: {} bytes", sent() / SLOW);
        for held_bytes in endless.sent_bytes.borrow().iter() {
            assert!(*held_bytes <= HELD_MAX_BYTES, "{held_bytes}");
        }
        for _ in 0..10 {
            let received = caller.call(&small).await;
            assert_eq!(received.outcome, Outcome::Answered);
        }
        drop(slow);
        stop.drain();
        stop.end();
        fleet.end();
    });
}

#[test]
fn callers_that_read_nothing_give_their_turns_back() {
    const TURNS: u32 = 2;
    block_on(async {
        let settings = requests_trial();
        let (mut fleet, caller) = start(&settings).await;
        let stop = Stop::new();
        let endless = start_endless(&stop);
        serve_endless(&fleet, &settings, &endless, TURNS, &stop).await;
        let mut small = get(&fleet, 0, "office", "/services/endless/small", 30_000);
        while caller.call(&small).await.outcome != Outcome::Answered {
            sleep_ms(5).await;
        }
        let mut slow = Vec::new();
        for _ in 0..TURNS {
            slow.push(ask_and_read_nothing(fleet.router_address(0)).await);
        }
        while endless.sent_bytes.borrow().len() < TURNS as usize {
            sleep_ms(5).await;
        }
        // Their own deadline is five minutes away.
        small.timeout_ms = 120_000;
        assert_eq!(caller.call(&small).await.outcome, Outcome::Answered);
        drop(slow);
        stop.drain();
        stop.end();
        fleet.end();
    });
}

/// The number of requests that an engine runs.
async fn running(fleet: &FaultFleet, index: usize) -> u32 {
    let client = cyper::Client::new().expect("a client");
    let url = format!("http://{}/state", fleet.upstreams[index].address);
    let request = client.get(url).expect("a request");
    let response = request.send().await.expect("the engine answers");
    let state: EngineState = response.json().await.expect("a state");
    state.running
}

/// The engine that runs a request, once one does.
async fn engine_that_runs(fleet: &FaultFleet, among: &[usize]) -> usize {
    loop {
        for index in among {
            if running(fleet, *index).await > 0 {
                return *index;
            }
        }
        sleep_ms(5).await;
    }
}

/// Ends an instance: its agent without notice, and its engine for a long time.
async fn lose_instance(fleet: &mut FaultFleet, index: usize) {
    fleet.kill_agent(index);
    let client = cyper::Client::new().expect("a client");
    let url = format!("http://{}/faults/crash", fleet.upstreams[index].address);
    let request = client.post(url).expect("a request").body("600000");
    request.send().await.expect("the engine answers");
}

async fn suspects(fleet: &FaultFleet) -> Vec<SuspectObject> {
    let listed = store_of(fleet)
        .list(SUSPECT_KEY_PREFIX)
        .await
        .expect("the store answers");
    let read = listed.objects.iter().map(Object::read);
    read.collect::<Result<_, _>>()
        .expect("suspects can be read")
}

#[test]
fn a_request_that_takes_whole_instances_down_is_charged_by_its_router() {
    block_on(async {
        let (mut fleet, caller) = start(&requests_trial()).await;
        let mut call = get(&fleet, 0, "office", "", 120_000);
        call.target = CallTarget::Completion {
            model: "m-1".to_owned(),
            tokens: 40_000,
            stream: false,
            marker: "heavy".to_owned(),
        };
        let calling = caller.clone();
        let heavy = compio::runtime::spawn({
            let call = call.clone();
            async move {
                loop {
                    let outcome = calling.call(&call).await.outcome;
                    let Outcome::Refused {
                        run: RunState::NotRun,
                        ..
                    } = outcome
                    else {
                        return outcome;
                    };
                    sleep_ms(50).await;
                }
            }
        });
        let first = engine_that_runs(&fleet, &[0, 1]).await;
        lose_instance(&mut fleet, first).await;
        let second = engine_that_runs(&fleet, &[1 - first]).await;
        let object = suspects(&fleet).await;
        assert_eq!((object[0].crashes, object[0].crashes_alone), (1, 0));
        lose_instance(&mut fleet, second).await;
        let outcome = heavy.await.expect("the caller's task");
        let Outcome::Refused { run, .. } = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(run, RunState::Unknown);
        let object = suspects(&fleet).await;
        assert_eq!((object[0].crashes, object[0].crashes_alone), (2, 1));
        let expected = Outcome::Refused {
            reason: RefusalReason::Suspect,
            run: RunState::NotRun,
        };
        call.router = fleet.router_address(1);
        // The other router's watch sees the suspect a moment after the store has it.
        while caller.call(&call).await.outcome != expected {}
        fleet.end();
    });
}
