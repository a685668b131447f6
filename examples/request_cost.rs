//! What the router and the agent add to a call, against the stand-ins called directly, and how
//! many requests a core of each serves: `cargo run --release --example request_cost`.

use std::{cell::Cell, net::SocketAddr, time::Instant};

use celerystair::{
    config::prelude::*,
    trial::{caller::CallTarget, prelude::*, usage::thread_cpu_ms},
};
use futures_util::future::join_all;
use hdrhistogram::Histogram;

const SETTINGS: &str = include_str!("../tests/support/requests.jsonc");
const CALLS: u64 = 3000;
const WARM_UP_CALLS: u64 = 300;
/// Callers that call at once while processor time is measured.
const CALLERS: u64 = 32;
const CALLS_AT_ONCE: u64 = 20_000;
const TOKENS: u64 = 8;
/// The thread of the first router.
const ROUTER: &str = "router-1";

/// A way to call.
struct Way {
    name: &'static str,
    address: SocketAddr,
    target: fn(u64) -> CallTarget,
}

fn main() -> eyre::Result<()> {
    compio::runtime::Runtime::new()?.block_on(async {
        let mut fleet = FaultFleet::start(&settings()?).await?;
        let caller = Caller::new()?;
        let router = fleet.router_address(0);
        let engine = awake_engine(&fleet, &caller, router).await?;
        let service = fleet.upstreams.iter().find(|u| u.pool.name == "services");
        let service = service.ok_or_else(|| eyre::eyre!("no service"))?.address;
        let way = |name, address, target| Way {
            name,
            address,
            target,
        };
        let ways = [
            way("routed GET", router, routed_get as fn(u64) -> CallTarget),
            way("routed POST, journaled", router, routed_post),
            way("routed completion", router, plain),
            way("routed completion, streamed", router, streamed),
        ];
        for way in [
            way("direct GET", service, direct_get as fn(u64) -> CallTarget),
            way("direct completion", engine, plain),
            way("direct completion, streamed", engine, streamed),
        ] {
            time_one_by_one(&caller, &way).await?;
        }
        for way in &ways {
            time_one_by_one(&caller, way).await?;
        }
        for way in [&ways[0], &ways[2], &ways[3]] {
            count_at_once(&fleet, &caller, way).await?;
        }
        fleet.end();
        Ok(())
    })
}

/// Upstreams that answer at once, so that what is measured is the way to them.
fn settings() -> eyre::Result<TrialSettings> {
    let mut settings: TrialSettings = read_settings("tests/support/requests.jsonc", SETTINGS)?;
    settings.pools[0].running_max = CALLERS as u32;
    settings.pools[0].engine.batch_max = CALLERS as u32;
    settings.pools[0].engine.first_token_ms = 0;
    settings.pools[0].engine.token_interval_ms = 0;
    settings.pools[1].running_max = CALLERS as u32;
    settings.pools[1].service.work_ms = 0;
    Ok(settings)
}

fn direct_get(_: u64) -> CallTarget {
    read("/status")
}

fn routed_get(_: u64) -> CallTarget {
    read("/services/ledger/status")
}

fn read(path: &str) -> CallTarget {
    CallTarget::Service {
        method: http::Method::GET,
        path: path.to_owned(),
        key: String::new(),
    }
}

fn routed_post(number: u64) -> CallTarget {
    CallTarget::Service {
        method: http::Method::POST,
        path: "/services/ledger/entries".to_owned(),
        key: format!("k{number}"),
    }
}

fn plain(number: u64) -> CallTarget {
    completion(number, false)
}

fn streamed(number: u64) -> CallTarget {
    completion(number, true)
}

fn completion(number: u64, stream: bool) -> CallTarget {
    CallTarget::Completion {
        model: "m-1".to_owned(),
        tokens: TOKENS,
        stream,
        marker: format!("c{number}"),
    }
}

fn call(way: &Way, number: u64) -> Call {
    Call {
        router: way.address,
        organisation: "office".into(),
        kind: "status".into(),
        target: (way.target)(number),
        timeout_ms: 10_000,
    }
}

/// The engine that has loaded the model, after a request through the router has woken it.
async fn awake_engine(
    fleet: &FaultFleet,
    caller: &Caller,
    router: SocketAddr,
) -> eyre::Result<SocketAddr> {
    let by = |address| Way {
        name: "wake",
        address,
        target: plain,
    };
    caller.call(&call(&by(router), 0)).await;
    for upstream in fleet.upstreams.iter().filter(|u| u.pool.name == "engines") {
        let received = caller.call(&call(&by(upstream.address), 0)).await;
        if received.outcome == Outcome::Answered {
            return Ok(upstream.address);
        }
    }
    eyre::bail!("no engine has loaded the model")
}

/// Times whole answers, one call at a time.
async fn time_one_by_one(caller: &Caller, way: &Way) -> eyre::Result<()> {
    let mut micros = Histogram::<u64>::new(3)?;
    let mut failed = 0_u64;
    for number in 0..WARM_UP_CALLS + CALLS {
        let call = call(way, number);
        let start = Instant::now();
        let received = caller.call(&call).await;
        let taken = start.elapsed().as_micros() as u64;
        if received.outcome != Outcome::Answered {
            failed += 1;
        } else if number >= WARM_UP_CALLS {
            micros.record(taken)?;
        }
    }
    println!(
        "{}: p50 {} µs, p99 {} µs, {} calls, {failed} failed",
        way.name,
        micros.value_at_quantile(0.5),
        micros.value_at_quantile(0.99),
        micros.len()
    );
    Ok(())
}

/// Measures the processor time of a call at the router and at all agents, with many at once.
async fn count_at_once(fleet: &FaultFleet, caller: &Caller, way: &Way) -> eyre::Result<()> {
    let agents_cpu_ms = || -> f64 {
        let names = fleet.upstreams.iter().map(|upstream| &upstream.name);
        names.map(|name| thread_cpu_ms(name)).sum()
    };
    let before = (thread_cpu_ms(ROUTER), agents_cpu_ms());
    let start = Instant::now();
    let next = Cell::new(WARM_UP_CALLS + CALLS);
    let last = next.get() + CALLS_AT_ONCE;
    let answered = Cell::new(0_u64);
    join_all((0..CALLERS).map(|_| async {
        while next.get() < last {
            let call = call(way, next.replace(next.get() + 1));
            let received = caller.call(&call).await;
            answered.set(answered.get() + u64::from(received.outcome == Outcome::Answered));
        }
    }))
    .await;
    let seconds = start.elapsed().as_secs_f64();
    let calls = CALLS_AT_ONCE as f64;
    let router_cost_us = (thread_cpu_ms(ROUTER) - before.0) * 1000.0 / calls;
    let agents_cost_us = (agents_cpu_ms() - before.1) * 1000.0 / calls;
    println!(
        "{}, {CALLERS} at once: {:.0} a second; {:.0} a second for each core of routers \
         ({router_cost_us:.0} µs), {:.0} for each core of agents ({agents_cost_us:.0} µs); {} of \
         {CALLS_AT_ONCE} answered",
        way.name,
        calls / seconds,
        1e6 / router_cost_us,
        1e6 / agents_cost_us,
        answered.get()
    );
    Ok(())
}
