//! Changes of the fleet's configuration: their cost to a process, and when they are in force.

use celerystair_config::prelude::*;
use celerystair_core::{prelude::*, time::now_unix_us};
use celerystair_platform::{
    objects::CONFIG_HEAD_KEY,
    prelude::{CallPriority, Expected},
};

use super::Measured;
use crate::{
    relay::Relay,
    usage::thread_cpu_ms,
    world::{
        Platform, ROUTER_THREAD, RouterRole, WATCH_TIMEOUT_MS, WATCHING_DOMAIN, base_settings,
        start_router,
    },
};

const CHANGES_PER_SECOND: [u64; 4] = [4, 8, 16, 32];
const EXCEPTIONS: [usize; 4] = [50, 100, 200, 400];
/// Exceptions while the rate is varied.
const FEW_EXCEPTIONS: usize = 50;
/// Changes a second while the number of exceptions is varied.
const SLOW_CHANGES_PER_SECOND: u64 = 8;
const LENGTH_MS: u64 = 3000;
const ROUTERS: u32 = 4;

/// What changes cost one process, and the slowest to come into force anywhere.
struct Sample {
    cpu_ms_per_second: f64,
    bytes_per_change: f64,
    reads_per_change: f64,
    slowest_ms: f64,
}

/// Measures all sizes.
pub async fn measure() -> eyre::Result<Vec<Measured>> {
    let mut by_rate = Vec::new();
    for rate in CHANGES_PER_SECOND {
        by_rate.push((rate as f64, sample(rate, FEW_EXCEPTIONS).await?));
    }
    let mut by_size = Vec::new();
    for count in EXCEPTIONS {
        by_size.push((count as f64, sample(SLOW_CHANGES_PER_SECOND, count).await?));
    }
    let line = |id, size, quantity, samples: &[(f64, Sample)], value: fn(&Sample) -> f64| {
        let points = samples.iter().map(|(size, s)| (*size, value(s))).collect();
        Measured::new(id, size, quantity, points)
    };
    Ok(vec![
        line(
            "change_cpu",
            "changes a second",
            "processor time of a process, ms a second",
            &by_rate,
            |s| s.cpu_ms_per_second,
        ),
        line(
            "change_reads",
            "changes a second",
            "calls of a process to the store for a change",
            &by_rate,
            |s| s.reads_per_change,
        ),
        line(
            "change_in_force",
            "changes a second",
            "slowest until in force, ms",
            &by_rate,
            |s| s.slowest_ms,
        ),
        line(
            "change_bytes",
            "exceptions",
            "bytes to a process for a change",
            &by_size,
            |s| s.bytes_per_change,
        ),
    ])
}

async fn sample(changes_per_second: u64, exceptions: usize) -> eyre::Result<Sample> {
    let settings = base_settings()?;
    let platform = Platform::start(&settings).await?;
    let relay = Relay::start(platform.address)?;
    let url = format!("http://{}", relay.address);
    let mut routers = Vec::new();
    for number in 1..=ROUTERS {
        routers
            .push(start_router(&settings, number, &url, WATCH_TIMEOUT_MS, WATCHING_DOMAIN).await?);
    }
    let mut version = platform
        .store
        .get(CONFIG_HEAD_KEY)
        .await?
        .map_or(0, |object| object.version);
    let (cpu, bytes) = (thread_cpu_ms(ROUTER_THREAD), relay.bytes());
    let reads = platform.counts().await?.reads;
    let start_unix_ms = now_unix_ms();
    let mut written = Vec::new();
    let changes = LENGTH_MS * changes_per_second / 1000;
    for number in 0..changes {
        sleep_until_unix_ms(start_unix_ms + number * 1000 / changes_per_second).await;
        let document = document(&settings.config, number + 2, exceptions);
        written.push((document.revision, now_unix_us()));
        version = platform
            .store
            .put(
                CONFIG_HEAD_KEY,
                &document,
                Expected::Version(version),
                CallPriority::Normal,
            )
            .await?;
    }
    let last = changes + 1;
    let mut slowest_ms = 0.0_f64;
    for router in &routers {
        slowest_ms = slowest_ms.max(wait_in_force(router, last, &written).await?);
    }
    let seconds = (now_unix_ms() - start_unix_ms) as f64 / 1000.0;
    let share = |value: f64| value / f64::from(ROUTERS);
    let changes = changes as f64;
    Ok(Sample {
        cpu_ms_per_second: share(thread_cpu_ms(ROUTER_THREAD) - cpu) / seconds,
        bytes_per_change: share(relay.bytes() - bytes) / changes,
        reads_per_change: share((platform.counts().await?.reads - reads) as f64) / changes,
        slowest_ms,
    })
}

fn document(base: &FleetDocument, revision: u64, exceptions: usize) -> FleetDocument {
    let exceptions = (0..exceptions).map(|number| {
        let text = format!(
            r#"{{ "scope": {{ "kind": "model", "name": "model-{number:04}" }}, "field": "keep_alive_min_ms",
            "value": {revision}, "reason": "the press deadline of the evening edition", "author": "operator-7" }}"#
        );
        serde_json::from_str(&text)
    });
    FleetDocument {
        revision,
        exceptions: exceptions.flatten().collect(),
        ..base.clone()
    }
}

/// Waits until `router` has `last` in force; gives its slowest change, in milliseconds. A
/// change that a later one overtook was in force when that one was.
async fn wait_in_force(
    router: &RouterRole,
    last: u64,
    written: &[(u64, u64)],
) -> eyre::Result<f64> {
    let mut slowest_us = 0;
    let mut waiting = written.iter().peekable();
    loop {
        let (revision, at_us) = router.in_force.recv().await?;
        while let Some((_, written_us)) = waiting.next_if(|(number, _)| *number <= revision) {
            slowest_us = slowest_us.max(at_us.saturating_sub(*written_us));
        }
        if revision >= last {
            return Ok(slowest_us as f64 / 1000.0);
        }
    }
}
