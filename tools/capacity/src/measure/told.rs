//! Calls to the store of processes that others tell of what changes: while nothing happens, and
//! for each change of an object. All sizes are measured at once, because what such a process
//! reads it reads seldom.

use std::{net::SocketAddr, sync::atomic::Ordering};

use celerystair_core::prelude::*;
use celerystair_platform::{
    objects::PLACEMENT_KEY_PREFIX,
    prelude::{CallPriority, Expected, PlacementObject},
};
use futures_util::future::try_join_all;

use super::{Measured, state::AGENTS};
use crate::world::{
    Platform, RouterRole, TOLD_DOMAIN, WATCH_TIMEOUT_MS, WATCHING_DOMAIN, base_settings,
    start_router,
};

/// Processes of each size that are told; they are asked for nothing else.
const TOLD: u32 = 4;
/// Processes of each size that follow the platform. Their neighbours are the seeded agents, all
/// of which are the first of these.
const WATCHING: u32 = 1;
/// What reads once a minute, or after a watch's longest wait, reads in this time.
const IDLE_MS: u64 = 90_000;
/// What was begun before others were known to follow the platform ends in this time.
const SETTLE_MS: u64 = WATCH_TIMEOUT_MS + 2000;
const CHANGES: u32 = 40;
const CHANGE_INTERVAL_MS: u64 = 250;

struct Sample {
    idle_reads_per_second: f64,
    reads_per_change: f64,
}

/// Measures all sizes.
pub async fn measure() -> eyre::Result<Vec<Measured>> {
    let samples = try_join_all(AGENTS.map(sample)).await?;
    let line = |id, quantity, value: fn(&Sample) -> f64| {
        let points = AGENTS.iter().zip(&samples);
        let points = points.map(|(size, sample)| (f64::from(*size), value(sample)));
        Measured::new(id, "agents and instances", quantity, points.collect())
    };
    Ok(vec![
        line(
            "told_reads",
            "calls a second to the store of a process that is told, while nothing happens",
            |s| s.idle_reads_per_second,
        ),
        line(
            "told_change_reads",
            "calls to the store of a process that is told, for a change of an object",
            |s| s.reads_per_change,
        ),
    ])
}

async fn sample(agents: u32) -> eyre::Result<Sample> {
    let settings = base_settings()?;
    let platform = Platform::start(&settings).await?;
    let url = platform.url();
    let start = |number, domain| start_router(&settings, number, &url, WATCH_TIMEOUT_MS, domain);
    let watching = start(WATCHING, WATCHING_DOMAIN).await?;
    let neighbour: SocketAddr = watching.peer_address;
    platform.seed_agents(agents, neighbour).await?;
    let mut told = Vec::new();
    for number in 1..=TOLD {
        told.push(start(WATCHING + number, TOLD_DOMAIN).await?);
    }
    sleep_ms(SETTLE_MS).await;
    let before = calls(&told);
    sleep_ms(IDLE_MS).await;
    let idle = calls(&told) - before;
    let before = calls(&told);
    change(&platform).await?;
    let changes = calls(&told) - before;
    drop(watching);
    Ok(Sample {
        idle_reads_per_second: idle * 1000.0 / IDLE_MS as f64,
        reads_per_change: changes / f64::from(CHANGES),
    })
}

/// Changes a placement many times.
async fn change(platform: &Platform) -> eyre::Result<()> {
    let mut expected = Expected::Absent;
    for number in 1..=CHANGES {
        let placement = PlacementObject {
            generation: u64::from(number),
            ..PlacementObject::default()
        };
        let key = format!("{PLACEMENT_KEY_PREFIX}moving");
        let version = platform
            .store
            .put(&key, &placement, expected, CallPriority::Normal)
            .await?;
        expected = Expected::Version(version);
        sleep_ms(CHANGE_INTERVAL_MS).await;
    }
    Ok(())
}

/// Calls so far, for each.
fn calls(routers: &[RouterRole]) -> f64 {
    let calls = routers.iter().map(|r| r.calls.load(Ordering::Relaxed));
    calls.sum::<u64>() as f64 / routers.len() as f64
}
