//! What a process keeps of the store's objects: memory, time and bytes to read them at the
//! start, and what it costs to keep them current while nothing happens, for a process that
//! follows the platform itself.

use std::net::SocketAddr;

use celerystair_core::prelude::*;

use super::Measured;
use crate::{
    relay::Relay,
    usage::{live_bytes, thread_cpu_ms},
    world::{
        Platform, ROUTER_THREAD, WATCH_TIMEOUT_MS, WATCHING_DOMAIN, base_settings, start_router,
    },
};

const MODELS: [u32; 4] = [100, 200, 400, 800];
/// Adapters of each of 100 models.
const ADAPTERS_EACH: [u32; 4] = [107, 215, 430, 860];
const ADAPTER_MODELS: u32 = 100;
/// Agents, with as many instances in the list.
pub const AGENTS: [u32; 4] = [168, 335, 670, 1340];
/// Times after which all watches are renewed.
const RENEWED_EVERY_MS: [u64; 4] = [4000, 2000, 1000, 500];
/// Agents while the watches are renewed.
const RENEWAL_AGENTS: u32 = 100;
/// Routers started at each size, so that what one keeps stands out from the rest.
const ROUTERS: u32 = 4;
const IDLE_MS: u64 = 8000;

/// Where nothing listens: what is measured here follows the platform itself.
fn nobody() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

/// What one router keeps and spends at one size.
struct Sample {
    memory_bytes: f64,
    start_cpu_ms: f64,
    start_bytes: f64,
    idle_cpu_ms_per_second: f64,
    idle_bytes_per_second: f64,
    idle_reads_per_second: f64,
}

/// Measures all sizes.
pub async fn measure() -> eyre::Result<Vec<Measured>> {
    let mut models = Vec::new();
    for count in MODELS {
        let platform = Platform::start(&base_settings()?).await?;
        platform.seed_models(count, 0).await?;
        models.push((
            f64::from(count),
            sample(&platform, 0, WATCH_TIMEOUT_MS).await?,
        ));
    }
    let mut adapters = Vec::new();
    for each in ADAPTERS_EACH {
        let platform = Platform::start(&base_settings()?).await?;
        platform.seed_models(ADAPTER_MODELS, each).await?;
        adapters.push((
            f64::from(each * ADAPTER_MODELS),
            sample(&platform, 0, WATCH_TIMEOUT_MS).await?,
        ));
    }
    let mut agents = Vec::new();
    for count in AGENTS {
        let platform = Platform::start(&base_settings()?).await?;
        platform.seed_agents(count, nobody()).await?;
        agents.push((
            f64::from(count),
            sample(&platform, IDLE_MS, WATCH_TIMEOUT_MS).await?,
        ));
    }
    let mut renewals = Vec::new();
    for watch_timeout_ms in RENEWED_EVERY_MS {
        let platform = Platform::start(&base_settings()?).await?;
        platform.seed_agents(RENEWAL_AGENTS, nobody()).await?;
        let sample = sample(&platform, IDLE_MS, watch_timeout_ms).await?;
        renewals.push((1000.0 / watch_timeout_ms as f64, sample));
    }
    let line = |id, size, quantity, samples: &[(f64, Sample)], value: fn(&Sample) -> f64| {
        let points = samples.iter().map(|(size, s)| (*size, value(s))).collect();
        Measured::new(id, size, quantity, points)
    };
    Ok(vec![
        line(
            "model_memory",
            "models",
            "memory of a process, bytes",
            &models,
            |s| s.memory_bytes,
        ),
        line(
            "model_start_cpu",
            "models",
            "processor time of a start, ms",
            &models,
            |s| s.start_cpu_ms,
        ),
        line(
            "model_start_bytes",
            "models",
            "bytes read at a start",
            &models,
            |s| s.start_bytes,
        ),
        line(
            "adapter_memory",
            "adapters",
            "memory of a process, bytes",
            &adapters,
            |s| s.memory_bytes,
        ),
        line(
            "adapter_start_cpu",
            "adapters",
            "processor time of a start, ms",
            &adapters,
            |s| s.start_cpu_ms,
        ),
        line(
            "adapter_start_bytes",
            "adapters",
            "bytes read at a start",
            &adapters,
            |s| s.start_bytes,
        ),
        line(
            "agent_memory",
            "agents and instances",
            "memory of a process, bytes",
            &agents,
            |s| s.memory_bytes,
        ),
        line(
            "agent_start_bytes",
            "agents and instances",
            "bytes read at a start",
            &agents,
            |s| s.start_bytes,
        ),
        line(
            "idle_cpu",
            "agents and instances",
            "processor time while nothing happens, ms a second",
            &agents,
            |s| s.idle_cpu_ms_per_second,
        ),
        line(
            "idle_bytes",
            "agents and instances",
            "bytes a second from the store while nothing happens",
            &agents,
            |s| s.idle_bytes_per_second,
        ),
        line(
            "idle_reads",
            "agents and instances",
            "calls a second to the store while nothing happens",
            &agents,
            |s| s.idle_reads_per_second,
        ),
        line(
            "watch_reads",
            "renewals of all watches a second",
            "calls a second to the store",
            &renewals,
            |s| s.idle_reads_per_second,
        ),
        line(
            "watch_cpu",
            "renewals of all watches a second",
            "processor time, ms a second",
            &renewals,
            |s| s.idle_cpu_ms_per_second,
        ),
    ])
}

async fn sample(platform: &Platform, idle_ms: u64, watch_timeout_ms: u64) -> eyre::Result<Sample> {
    let settings = base_settings()?;
    let relay = Relay::start(platform.address)?;
    let url = format!("http://{}", relay.address);
    // The first one also allocates what all routers of this process share.
    let first = start_router(
        &settings,
        1,
        &platform.url(),
        WATCH_TIMEOUT_MS,
        WATCHING_DOMAIN,
    )
    .await?;
    let memory_before = live_bytes();
    let cpu_before = thread_cpu_ms(ROUTER_THREAD);
    let mut routers = Vec::new();
    for number in 0..ROUTERS {
        routers.push(
            start_router(
                &settings,
                2 + number,
                &url,
                watch_timeout_ms,
                WATCHING_DOMAIN,
            )
            .await?,
        );
    }
    let share = |value: f64| value / f64::from(ROUTERS);
    let start_cpu_ms = share(thread_cpu_ms(ROUTER_THREAD) - cpu_before);
    let memory_bytes = share(live_bytes() - memory_before);
    let start_bytes = share(relay.bytes());
    drop(first);
    let idle = idle(platform, &relay, idle_ms).await?;
    Ok(Sample {
        memory_bytes,
        start_cpu_ms,
        start_bytes,
        idle_cpu_ms_per_second: share(idle.0),
        idle_bytes_per_second: share(idle.1),
        idle_reads_per_second: share(idle.2),
    })
}

/// Processor time, bytes and reads a second of all routers while nothing happens.
async fn idle(platform: &Platform, relay: &Relay, idle_ms: u64) -> eyre::Result<(f64, f64, f64)> {
    if idle_ms == 0 {
        return Ok((0.0, 0.0, 0.0));
    }
    let seconds = idle_ms as f64 / 1000.0;
    let (cpu, bytes) = (thread_cpu_ms(ROUTER_THREAD), relay.bytes());
    let reads = platform.counts().await?.reads as f64;
    sleep_ms(idle_ms).await;
    Ok((
        (thread_cpu_ms(ROUTER_THREAD) - cpu) / seconds,
        (relay.bytes() - bytes) / seconds,
        (platform.counts().await?.reads as f64 - reads) / seconds,
    ))
}
