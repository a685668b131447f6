//! What the tests of configuration share: edits at random, and processes that follow one store.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use arbtest::arbitrary::{Result, Unstructured};
use celerystair::{
    config::{fleet::ScopeKind, prelude::*},
    core::prelude::*,
    net::prelude::{bind, serve_grpc},
    node::prelude::*,
    platform::{objects::AGENT_KEY_PREFIX, prelude::*},
    protocol::peer_server::PeerServer,
    standin::prelude::*,
};
use serde_json::json;

/// Runs `property` with the same seeds each time, or with the one in `CELERYSTAIR_SEED`. A
/// failure prints its seed.
pub fn for_seeds(count: u64, mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>) {
    let chosen = std::env::var("CELERYSTAIR_SEED").ok();
    let chosen =
        chosen.and_then(|seed| u64::from_str_radix(seed.trim_start_matches("0x"), 16).ok());
    let seeds = chosen.map_or_else(
        || {
            (1..=count)
                .map(|number| number << 32 | SEED_BYTES)
                .collect()
        },
        |seed| vec![seed],
    );
    for seed in seeds {
        println!("to see this run alone: CELERYSTAIR_SEED={seed:#x} and the test's name");
        arbtest::arbtest(&mut property).seed(seed);
    }
}

/// How many bytes of choices a seed gives.
const SEED_BYTES: u64 = 4096;

/// An edit of one of a few fields, so that edits often meet.
pub fn any_edit(u: &mut Unstructured<'_>) -> Result<Edit> {
    let field = u.choose(&["queue_max", "kind_weight"])?.to_string();
    let value = json!(u.int_in_range(1..=3)?);
    let scope = Scope {
        kind: *u.choose(&[ScopeKind::Model, ScopeKind::Kind])?,
        name: u.choose(&["a", "b"])?.to_string(),
    };
    Ok(match u.int_in_range(0..=4)? {
        0 | 1 => Edit::SetDefault { field, value },
        2 => Edit::RemoveException { scope, field },
        _ => Edit::SetException {
            scope,
            field,
            value,
            from_unix_ms: None,
            until_unix_ms: None,
        },
    })
}

/// A change by `author` of up to three edits.
pub fn any_change(
    u: &mut Unstructured<'_>,
    change_id: String,
    based_on: u64,
) -> Result<ChangeRequest> {
    let mut edits: Vec<Edit> = Vec::new();
    for _ in 0..u.int_in_range(1..=3)? {
        let edit = any_edit(u)?;
        if edits.iter().all(|other| other.target() != edit.target()) {
            edits.push(edit);
        }
    }
    Ok(ChangeRequest {
        change_id,
        based_on,
        author: "ada".to_owned(),
        reason: "a test".to_owned(),
        edits,
    })
}

/// Starts a platform; gives its URL.
pub fn start_platform(stop: &Stop) -> String {
    let address = run_platform(PlatformSettings::default(), stop).expect("a platform");
    format!("http://{address}")
}

/// Sets how the platform fails.
pub async fn set_faults(url: &str, faults: &PlatformFaults) {
    let client = cyper::Client::new().expect("a client");
    let body = serde_json::to_vec(faults).expect("JSON");
    let request = client.post(format!("{url}/faults")).expect("a request");
    let response = request.body(body).send().await.expect("an answer");
    assert_eq!(response.status(), 200);
}

/// One process that follows the configuration, and every revision it had in force.
pub struct Process {
    pub node: Node,
    pub writer: ConfigWriter,
    pub address: SocketAddr,
    pub revisions: Rc<RefCell<Vec<u64>>>,
    stop: Stop,
}

impl Process {
    /// Starts a process by this name.
    pub fn start(name: &str, url: &str, peers: Vec<SocketAddr>) -> Self {
        let stop = Stop::new();
        let node = Node::start("agent", name, &process_settings(url, peers), &stop)
            .expect("a process starts");
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a listener");
        let address = listener.local_addr().expect("an address");
        node.known_peers.set_own_address(address);
        let service = PeerServer::new(PeerService::new(&node));
        compio::runtime::spawn(serve_grpc(listener, stop.clone(), service)).detach();
        let revisions = Rc::new(RefCell::new(Vec::new()));
        let (config, seen) = (node.config.clone(), revisions.clone());
        compio::runtime::spawn(async move {
            loop {
                let changed = config.listen();
                let last = seen.borrow().last().copied();
                if last != Some(config.revision()) {
                    seen.borrow_mut().push(config.revision());
                }
                changed.await;
            }
        })
        .detach();
        Self {
            writer: ConfigWriter::start(&node.store, &node.config, &stop),
            node,
            address,
            revisions,
            stop,
        }
    }

    /// Puts the process on the list of agents, by which others find it.
    pub async fn announce(&self) {
        let key = format!("{AGENT_KEY_PREFIX}{}", self.node.name);
        let object = AgentObject {
            fence: 1,
            instance: self.node.name.as_str().into(),
            claim_id: self.address.to_string(),
            address: self.address,
            failure_domain: "a".into(),
            pool: "engines".to_owned(),
            memory_bytes: 0,
            leaving: false,
        };
        loop {
            let store = &self.node.store;
            let found = store.get(&key).await;
            let expected = match found {
                Ok(Some(object)) => Expected::Version(object.version),
                Ok(None) => Expected::Absent,
                Err(_) => continue,
            };
            let written = store.put(&key, &object, expected, CallPriority::Urgent);
            if written.await.is_ok() {
                return;
            }
        }
    }

    /// Ends it without any farewell.
    pub fn end(&self) {
        self.stop.drain();
        self.stop.end();
    }

    /// Returns once `revision` is in force here.
    pub async fn reaches(&self, revision: u64) {
        wait_until(
            || self.node.config.revision() >= revision,
            &format!("{} has revision {revision}", self.node.name),
        )
        .await;
    }

    /// Returns the first revision that came in force here, once it has been recorded.
    pub async fn first_revision(&self) -> u64 {
        let first = || self.revisions.borrow().iter().copied().find(|r| *r > 0);
        wait_until(
            || first().is_some(),
            &format!("{} has recorded a revision", self.node.name),
        )
        .await;
        first().expect("a revision is recorded")
    }
}

/// Waits for a condition, with a deadline that only a real fault exceeds.
pub async fn wait_until(holds: impl Fn() -> bool, what: &str) {
    let deadline_unix_ms = now_unix_ms() + 60_000;
    while !holds() {
        assert!(now_unix_ms() < deadline_unix_ms, "never: {what}");
        sleep_ms(5).await;
    }
}

/// Settings of a process in failure domain `a`.
pub fn process_settings(url: &str, peers: Vec<SocketAddr>) -> ProcessSettings {
    ProcessSettings {
        failure_domain: "a".into(),
        region: String::new(),
        platform: StoreSettings {
            url: url.to_owned(),
            call_timeout_ms: 1000,
            watch_timeout_ms: 5000,
            calls_per_second: 200,
        },
        instances_interval_ms: 1000,
        peers,
        tls: None,
        log_format: LogFormat::Off,
        timeline_file: None,
        clock_scale: 1,
        stop_timeout_ms: 1000,
        stop_notice_ms: 0,
    }
}
