//! How long an accepted edit takes until it is in force in every process, and what it costs
//! the platform's store: `cargo run --release --example config_spread`.
//!
//! Processes are nodes on a few threads, each with its own store client, peer service and
//! connections over loopback. Figures and their meaning: `docs/CONFIGURATION.md`.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use celerystair::{
    config::prelude::*,
    core::prelude::*,
    net::prelude::{bind, serve_grpc},
    node::prelude::*,
    platform::{objects::AGENT_KEY_PREFIX, prelude::*},
    protocol::peer_server::PeerServer,
    standin::{platform::PlatformCounts, prelude::*},
    trial::threads::RoleThread,
};
use serde_json::json;

const THREADS: usize = 4;
const DOMAINS: usize = 4;
const EDITS: [usize; 2] = [1, 340];
const IDLE_MS: u64 = 20_000;
const REPEATS: usize = 5;

/// A revision came into force in a process.
#[derive(Clone, Copy)]
struct Report {
    process: usize,
    revision: u64,
    at_unix_ms: u64,
}

type Seen = Arc<Mutex<Vec<Report>>>;

fn main() -> eyre::Result<()> {
    let sizes: Vec<usize> = std::env::args().skip(1).flat_map(|a| a.parse()).collect();
    let sizes = if sizes.is_empty() {
        vec![16, 64, 256]
    } else {
        sizes
    };
    println!("processes  edits  store        p50 ms  p95 ms  max ms  reads  writes  refused");
    for processes in sizes {
        compio::runtime::Runtime::new()?.block_on(measure(processes))?;
    }
    Ok(())
}

async fn measure(count: usize) -> eyre::Result<()> {
    let (mut platform, url) = RoleThread::spawn("platform", &Stop::new(), |stop| async move {
        let address = run_platform(PlatformSettings::default(), &stop)?;
        Ok::<_, std::io::Error>(format!("http://{address}"))
    })?;
    let started_unix_ms = now_unix_ms();
    let seen = Seen::default();
    let mut threads = Vec::new();
    for thread in 0..THREADS {
        let (url, seen) = (url.clone(), seen.clone());
        let names: Vec<usize> = (0..count).filter(|n| n % THREADS == thread).collect();
        let (role, ()) = RoleThread::spawn(
            &format!("nodes-{thread}"),
            &Stop::new(),
            move |stop| async move {
                for number in names {
                    start_node(number, &url, &seen, &stop)?;
                }
                Ok::<_, eyre::Report>(())
            },
        )?;
        threads.push(role);
    }
    let stop = Stop::new();
    let node = Node::start("router", "writer", &settings(&url, 0), &stop)?;
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    node.known_peers.set_own_address(listener.local_addr()?);
    let service = PeerServer::new(PeerService::new(&node));
    compio::runtime::spawn(serve_grpc(listener, stop.clone(), service)).detach();
    let writer = ConfigWriter::start(&node.store, &node.config, &stop);
    let agents = (0..count).filter(|number| !is_router(*number)).count();
    while node.agents.all().len() < agents {
        sleep_ms(20).await;
    }
    node.config.wait_until_known().await;
    let start = counts(&url).await?;
    println!(
        "{count:>9}  started in {} ms: {} reads, {} writes, {} refused for their rate",
        now_unix_ms() - started_unix_ms,
        start.reads,
        start.writes,
        start.limited
    );
    sleep_ms(5000).await;
    let before = counts(&url).await?;
    sleep_ms(IDLE_MS).await;
    let after = counts(&url).await?;
    println!(
        "{count:>9}  idle: {:.2} reads a second",
        (after.reads - before.reads) as f64 * 1000.0 / IDLE_MS as f64
    );
    for edits in EDITS {
        for down in [false, true] {
            let run = Run {
                count,
                edits,
                down,
                url: &url,
            };
            run.report(&node, &writer, &seen).await?;
        }
    }
    stop.drain();
    stop.end();
    for thread in &threads {
        thread.stop.drain();
    }
    threads.iter_mut().for_each(RoleThread::end);
    platform.stop.drain();
    platform.end();
    Ok(())
}

struct Run<'a> {
    count: usize,
    edits: usize,
    down: bool,
    url: &'a str,
}

impl Run<'_> {
    async fn report(&self, node: &Node, writer: &ConfigWriter, seen: &Seen) -> eyre::Result<()> {
        let mut delays = Vec::new();
        let before = counts(self.url).await?;
        for repeat in 0..REPEATS {
            delays.extend(self.once(node, writer, seen, repeat).await?);
            sleep_ms(1500).await;
        }
        let after = counts(self.url).await?;
        delays.sort_unstable();
        let at = |share: f64| delays[((delays.len() - 1) as f64 * share) as usize];
        println!(
            "{:>9}  {:>5}  {:<11}  {:>6}  {:>6}  {:>6}  {:>5}  {:>6}  {:>7}",
            self.count,
            self.edits,
            if self.down { "down after" } else { "up" },
            at(0.5),
            at(0.95),
            at(1.0),
            (after.reads - before.reads) / REPEATS as u64,
            (after.writes - before.writes) / REPEATS as u64,
            after.limited - before.limited,
        );
        Ok(())
    }

    /// Asks for all edits at once; gives the time from the first acceptance of each edit to
    /// its being in force, for each process.
    async fn once(
        &self,
        node: &Node,
        writer: &ConfigWriter,
        seen: &Seen,
        repeat: usize,
    ) -> eyre::Result<Vec<u64>> {
        let based_on = node.config.revision();
        seen.lock().expect("no panic").clear();
        let edits = (0..self.edits).map(|number| async move {
            let change = change(self, repeat, number, based_on);
            let accepted = writer.write(change, now_unix_ms() + 30_000).await?;
            Ok::<_, eyre::Report>((accepted.revision, now_unix_ms()))
        });
        let accepted = futures_util::future::join_all(edits).await;
        let accepted: Vec<(u64, u64)> = accepted.into_iter().collect::<Result<_, _>>()?;
        if self.down {
            set_down(self.url, true).await?;
        }
        let last = accepted.iter().map(|(r, _)| *r).max().unwrap_or_default();
        let deadline_unix_ms = now_unix_ms() + 30_000;
        loop {
            let there = {
                let seen = seen.lock().expect("no panic");
                let there = seen.iter().filter(|report| report.revision >= last);
                let there: HashSet<usize> = there.map(|report| report.process).collect();
                there.len()
            };
            if there >= self.count {
                break;
            }
            eyre::ensure!(now_unix_ms() < deadline_unix_ms, "only {there} have {last}");
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        if self.down {
            set_down(self.url, false).await?;
        }
        let seen = seen.lock().expect("no panic").clone();
        Ok(delays(&accepted, &seen, self.count))
    }
}

/// For each accepted edit, the delays until each process had its revision or a higher one.
fn delays(accepted: &[(u64, u64)], seen: &[Report], count: usize) -> Vec<u64> {
    let mut delays = Vec::new();
    for (revision, accepted_unix_ms) in accepted {
        let mut first = vec![u64::MAX; count];
        for report in seen.iter().filter(|report| report.revision >= *revision) {
            first[report.process] = first[report.process].min(report.at_unix_ms);
        }
        let since = first.iter().map(|at| at.saturating_sub(*accepted_unix_ms));
        delays.extend(since);
    }
    delays
}

fn change(run: &Run<'_>, repeat: usize, number: usize, based_on: u64) -> ChangeRequest {
    ChangeRequest {
        change_id: format!("{}-{}-{repeat}-{number}", run.edits, run.down),
        based_on,
        author: "bench".to_owned(),
        reason: "released after the freeze".to_owned(),
        edits: vec![Edit::SetException {
            scope: Scope {
                kind: ScopeKind::Model,
                name: format!("model-{number}"),
            },
            field: "queue_max".to_owned(),
            value: json!(100 + 10 * repeat + usize::from(run.down)),
            from_unix_ms: None,
            until_unix_ms: None,
        }],
    }
}

fn start_node(number: usize, url: &str, seen: &Seen, stop: &Stop) -> eyre::Result<()> {
    let name = format!("node-{number:04}");
    let is_agent = !is_router(number);
    let role = if is_agent { "agent" } else { "router" };
    let node = Node::start(role, &name, &settings(url, number), stop)?;
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr()?;
    node.known_peers.set_own_address(address);
    let service = PeerServer::new(PeerService::new(&node));
    compio::runtime::spawn(serve_grpc(listener, stop.clone(), service)).detach();
    let (config, seen) = (node.config.clone(), seen.clone());
    compio::runtime::spawn(async move {
        let mut last = 0;
        loop {
            let changed = config.listen();
            let revision = config.revision();
            if revision > last {
                last = revision;
                seen.lock().expect("no panic").push(Report {
                    process: number,
                    revision,
                    at_unix_ms: now_unix_ms(),
                });
            }
            changed.await;
        }
    })
    .detach();
    if is_agent {
        compio::runtime::spawn(async move { claim(&node, address, number).await }).detach();
    }
    Ok(())
}

/// A quarter of the processes are routers, which stand on no list.
fn is_router(number: usize) -> bool {
    number / THREADS % 4 == 3
}

async fn claim(node: &Node, address: SocketAddr, number: usize) {
    let key = format!("{AGENT_KEY_PREFIX}{}", node.name);
    let object = AgentObject {
        fence: 1,
        instance: node.name.as_str().into(),
        claim_id: node.name.clone(),
        address,
        failure_domain: domain(number),
        pool: "engines".to_owned(),
        memory_bytes: 0,
        leaving: false,
    };
    let mut backoff = Backoff::default();
    let put = || {
        node.store
            .put(&key, &object, Expected::Absent, CallPriority::Urgent)
    };
    while !matches!(put().await, Ok(_) | Err(StoreError::Conflict { .. })) {
        backoff.wait().await;
    }
}

fn domain(number: usize) -> FailureDomain {
    format!("domain-{}", number / (4 * THREADS) % DOMAINS).into()
}

fn settings(url: &str, number: usize) -> ProcessSettings {
    ProcessSettings {
        failure_domain: domain(number),
        region: String::new(),
        platform: StoreSettings {
            url: url.to_owned(),
            call_timeout_ms: 1000,
            watch_timeout_ms: 30_000,
            calls_per_second: 200,
        },
        instances_interval_ms: 5000,
        peers: Vec::new(),
        tls: None,
        log_format: LogFormat::Off,
        timeline_file: None,
        clock_scale: 1,
        stop_timeout_ms: 1000,
        stop_notice_ms: 0,
    }
}

async fn counts(url: &str) -> eyre::Result<PlatformCounts> {
    let client = cyper::Client::new()?;
    Ok(client
        .get(format!("{url}/counts"))?
        .send()
        .await?
        .json()
        .await?)
}

async fn set_down(url: &str, down: bool) -> eyre::Result<()> {
    let faults = PlatformFaults {
        down,
        ..PlatformFaults::default()
    };
    let client = cyper::Client::new()?;
    let request = client.post(format!("{url}/faults"))?;
    request.body(serde_json::to_vec(&faults)?).send().await?;
    Ok(())
}
