//! Requests: processor time at the router and the agent, and memory of those that wait.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_trial::{
    caller::{CallTarget, Received},
    prelude::*,
};

use super::Measured;
use crate::{
    usage::{live_bytes, thread_cpu_ms},
    world::base_settings,
};

const REQUESTS_PER_SECOND: [u64; 4] = [20, 40, 80, 160];
const TOKENS: [u64; 4] = [8, 16, 32, 64];
const FEW_TOKENS: u64 = 8;
/// Requests a second while the tokens are varied.
const STEADY_PER_SECOND: u64 = 40;
const WAITING: [u64; 4] = [25, 50, 100, 200];
const LENGTH_MS: u64 = 3000;
/// Names of the threads that the trial gives to its first router and to the engine's agent.
pub const ROUTER: &str = "router-1";
/// See [`ROUTER`].
pub const AGENT: &str = "agents-0";

/// Processor time over one run, and what callers saw.
pub struct Sample {
    /// Of the router, in milliseconds a second.
    pub router_ms_per_second: f64,
    /// Of the agent, in milliseconds a second.
    pub agent_ms_per_second: f64,
    /// All answers.
    pub received: Vec<Received>,
}

/// Measures all sizes.
pub async fn measure() -> eyre::Result<Vec<Measured>> {
    let (mut router, mut agent) = (Vec::new(), Vec::new());
    for rate in REQUESTS_PER_SECOND {
        let sample = run(rate, FEW_TOKENS).await?;
        router.push((rate as f64, sample.router_ms_per_second));
        agent.push((rate as f64, sample.agent_ms_per_second));
    }
    let (mut router_tokens, mut agent_tokens) = (Vec::new(), Vec::new());
    let (mut first, mut between) = (Vec::new(), Vec::new());
    for tokens in TOKENS {
        let sample = run(STEADY_PER_SECOND, tokens).await?;
        let per_second = (STEADY_PER_SECOND * tokens) as f64;
        router_tokens.push((per_second, sample.router_ms_per_second));
        agent_tokens.push((per_second, sample.agent_ms_per_second));
        let mut tally = Tally::default();
        sample
            .received
            .iter()
            .for_each(|received| tally.add(received));
        first.push((
            per_second,
            tally.first_byte_ms.value_at_quantile(0.95) as f64,
        ));
        between.push((
            per_second,
            tally.between_tokens_us.value_at_quantile(0.95) as f64 / 1000.0,
        ));
    }
    let mut waiting = Vec::new();
    for count in WAITING {
        waiting.push((count as f64, waiting_memory(count).await?));
    }
    Ok(vec![
        Measured::new(
            "request_router_cpu",
            "requests a second, of 8 tokens",
            "processor time of the router, ms a second",
            router,
        ),
        Measured::new(
            "request_agent_cpu",
            "requests a second, of 8 tokens",
            "processor time of the agent, ms a second",
            agent,
        ),
        Measured::new(
            "token_router_cpu",
            "tokens a second, 40 requests a second",
            "processor time of the router, ms a second",
            router_tokens,
        ),
        Measured::new(
            "token_agent_cpu",
            "tokens a second, 40 requests a second",
            "processor time of the agent, ms a second",
            agent_tokens,
        ),
        Measured::new(
            "first_token",
            "tokens a second, 40 requests a second",
            "first token p95 with an engine that takes 20 ms, ms",
            first,
        ),
        Measured::new(
            "between_tokens",
            "tokens a second, 40 requests a second",
            "between tokens p95 with an engine that takes 20 ms, ms",
            between,
        ),
        Measured::new(
            "waiting_memory",
            "waiting requests",
            "memory of caller, router and agent together, bytes",
            waiting,
        ),
    ])
}

async fn run(requests_per_second: u64, tokens: u64) -> eyre::Result<Sample> {
    let settings = base_settings()?;
    let mut fleet = Fleet::start(&settings).await?;
    let caller = Caller::new()?;
    let call = |number: u64| completion(&fleet, "m-1".to_owned(), number, tokens);
    // The model is awake before the measurement begins.
    caller.call(&call(0)).await;
    let sample = sample(&caller, requests_per_second, LENGTH_MS, |number| {
        call(number + 1)
    })
    .await;
    fleet.end();
    Ok(sample)
}

/// A streamed call to the first router.
pub fn completion(fleet: &Fleet, model: String, number: u64, tokens: u64) -> Call {
    Call {
        router: fleet.router_addresses[0],
        organisation: "office".into(),
        kind: "draft".into(),
        target: CallTarget::Completion {
            model,
            tokens,
            stream: true,
            marker: format!("c{number}"),
        },
        timeout_ms: 60_000,
    }
}

/// Makes evenly spaced calls for `length_ms` and measures both processes meanwhile.
pub async fn sample(
    caller: &Caller,
    requests_per_second: u64,
    length_ms: u64,
    call: impl Fn(u64) -> Call,
) -> Sample {
    let received = Rc::new(RefCell::new(Vec::new()));
    let before = (thread_cpu_ms(ROUTER), thread_cpu_ms(AGENT));
    let start_unix_ms = now_unix_ms();
    let mut calls = Vec::new();
    for number in 0..length_ms * requests_per_second / 1000 {
        sleep_until_unix_ms(start_unix_ms + number * 1000 / requests_per_second).await;
        let (caller, call, received) = (caller.clone(), call(number), received.clone());
        calls.push(compio::runtime::spawn(async move {
            let answer = caller.call(&call).await;
            received.borrow_mut().push(answer);
        }));
    }
    for call in calls {
        call.await.ok();
    }
    let seconds = length_ms as f64 / 1000.0;
    Sample {
        router_ms_per_second: (thread_cpu_ms(ROUTER) - before.0) / seconds,
        agent_ms_per_second: (thread_cpu_ms(AGENT) - before.1) / seconds,
        received: received.take(),
    }
}

/// Memory that `count` requests take while all but one of them wait for their turn.
async fn waiting_memory(count: u64) -> eyre::Result<f64> {
    const SETTLE_MS: u64 = 1500;
    let settings = base_settings()?;
    let mut fleet = Fleet::start(&settings).await?;
    let caller = Caller::new()?;
    let before = live_bytes();
    let ended = Rc::new(Cell::new(0));
    let mut calls = Vec::new();
    for number in 0..count {
        let call = Call {
            router: fleet.router_addresses[0],
            organisation: "office".into(),
            kind: "draft".into(),
            target: CallTarget::Service {
                method: http::Method::GET,
                path: format!("/services/ledger/status/{number}"),
                key: String::new(),
            },
            timeout_ms: 600_000,
        };
        let caller = caller.clone();
        calls.push(compio::runtime::spawn(
            async move { caller.call(&call).await },
        ));
    }
    sleep_ms(SETTLE_MS).await;
    let memory_bytes = live_bytes() - before;
    eyre::ensure!(
        ended.get() == 0,
        "{} of {count} requests did not wait",
        ended.get()
    );
    drop(calls);
    fleet.end();
    Ok(memory_bytes)
}
