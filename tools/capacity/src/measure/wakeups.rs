//! Wake-ups of models and adapters a second: each call is the first to its model or adapter.

use celerystair_platform::prelude::Store;
use celerystair_standin::platform::PlatformCounts;
use celerystair_trial::{fleet::store_settings, prelude::*};

use super::{
    Measured,
    requests::{completion, sample},
};
use crate::world::base_settings;

const WAKEUPS_PER_SECOND: [u64; 4] = [5, 10, 20, 40];
const LENGTH_MS: u64 = 3000;
const TOKENS: u64 = 1;

/// Measures all sizes.
pub async fn measure() -> eyre::Result<Vec<Measured>> {
    let (mut models, mut router, mut writes) = (Vec::new(), Vec::new(), Vec::new());
    for rate in WAKEUPS_PER_SECOND {
        let count = (rate * LENGTH_MS / 1000) as u32;
        let run = run(rate, count, 0).await?;
        models.push((rate as f64, run.agent_ms_per_second));
        router.push((rate as f64, run.router_ms_per_second));
        writes.push((rate as f64, run.store_writes));
    }
    let mut adapters = Vec::new();
    for rate in WAKEUPS_PER_SECOND {
        let count = (rate * LENGTH_MS / 1000) as u32;
        let run = run(rate, 1, count).await?;
        adapters.push((rate as f64, run.agent_ms_per_second));
    }
    Ok(vec![
        Measured::new(
            "wake_model_agent_cpu",
            "wake-ups of models a second",
            "processor time of the agent, ms a second",
            models,
        ),
        Measured::new(
            "wake_model_router_cpu",
            "wake-ups of models a second",
            "processor time of the router, ms a second",
            router,
        ),
        Measured::new(
            "wake_model_writes",
            "wake-ups of models a second",
            "writes to the store meanwhile",
            writes,
        ),
        Measured::new(
            "wake_adapter_agent_cpu",
            "wake-ups of adapters a second",
            "processor time of the agent, ms a second",
            adapters,
        ),
    ])
}

struct Run {
    agent_ms_per_second: f64,
    router_ms_per_second: f64,
    store_writes: f64,
}

async fn run(rate: u64, models: u32, adapters: u32) -> eyre::Result<Run> {
    let mut settings = base_settings()?;
    settings.models[0].count = models;
    settings.models[0].adapters = adapters;
    let mut fleet = Fleet::start(&settings).await?;
    let caller = Caller::new()?;
    let name = |number: u64| match adapters {
        0 => format!("m-{}", number + 1),
        _ => format!("m-1:a{}", number + 1),
    };
    let writes = counts(&fleet).await?.writes;
    let sample = sample(&caller, rate, LENGTH_MS, |number| {
        completion(&fleet, name(number), number, TOKENS)
    })
    .await;
    let store_writes = (counts(&fleet).await?.writes - writes) as f64;
    fleet.end();
    Ok(Run {
        agent_ms_per_second: sample.agent_ms_per_second,
        router_ms_per_second: sample.router_ms_per_second,
        store_writes,
    })
}

async fn counts(fleet: &Fleet) -> eyre::Result<PlatformCounts> {
    let store = Store::new(store_settings(&fleet.platform_url))?;
    let url = format!("{}/counts", store.settings().url);
    Ok(cyper::Client::new()?.get(url)?.send().await?.json().await?)
}
