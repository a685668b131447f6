//! A weight store that limits how many fetches start per second, and whose bandwidth concurrent
//! fetches share.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc};

use celerystair_core::{prelude::*, time::now_unix_us};
use celerystair_net::{
    json::{json_response, read_json},
    prelude::*,
};
use serde::{Deserialize, Serialize};

/// Interval at which a checkpoint fetch updates its progress and its share of the bandwidth.
const CHECKPOINT_STEP_MS: u64 = 20;
/// Longest interval at which an adapter fetch updates its share of the bandwidth.
const ADAPTER_STEP_MAX_MS: u64 = 4;
const BODY_MAX_BYTES: usize = 1 << 16;

/// Settings of the weight store stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsSettings {
    /// Listen address.
    pub listen: SocketAddr,
    /// Checkpoint fetches that may start per second; later ones wait.
    pub loads_per_second: f64,
    /// Concurrent checkpoint fetches that run at full speed; more of them share that bandwidth.
    pub full_speed_loads: u32,
    /// Rate of one checkpoint fetch at full speed.
    pub bytes_per_second: u64,
    /// Concurrent adapter fetches that run at full speed; more of them share that bandwidth.
    pub full_speed_adapters: u32,
    /// Shortest duration of an adapter fetch at full speed.
    pub adapter_min_ms: u64,
    /// Longest duration of an adapter fetch at full speed.
    pub adapter_max_ms: u64,
    /// Factor by which every fetch is slower than the settings above say; it does not change
    /// `loads_per_second`.
    pub slowdown: f64,
}

impl Default for WeightsSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            loads_per_second: 3.0,
            full_speed_loads: 4,
            bytes_per_second: 4 << 30,
            full_speed_adapters: 32,
            adapter_min_ms: 5,
            adapter_max_ms: 10,
            slowdown: 1.0,
        }
    }
}

/// Body of a request for one checkpoint or adapter.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FetchRequest {
    /// Size of the checkpoint; 0 for an adapter.
    pub checkpoint_bytes: u64,
}

struct WeightStore {
    settings: WeightsSettings,
    next_start_unix_ms: Cell<u64>,
    /// Checkpoint fetches in flight.
    loads: Cell<u32>,
    /// Adapter fetches in flight.
    adapters: Cell<u32>,
}

/// Runs the weight store until `stop` drains, and returns its address.
pub fn run_weights(settings: WeightsSettings, stop: &Stop) -> io::Result<SocketAddr> {
    let listener = bind(settings.listen)?;
    let address = listener.local_addr()?;
    let store = Rc::new(WeightStore {
        settings,
        next_start_unix_ms: Cell::new(0),
        loads: Cell::new(0),
        adapters: Cell::new(0),
    });
    let stop = stop.clone();
    compio::runtime::spawn(async move {
        serve_http(listener, stop, move |request| {
            let store = store.clone();
            async move {
                match read_json::<FetchRequest>(request, BODY_MAX_BYTES).await {
                    Ok(fetch) if fetch.checkpoint_bytes == 0 => store.fetch_adapter().await,
                    Ok(fetch) => store.fetch_checkpoint(fetch.checkpoint_bytes).await,
                    Err(error) => return json_response(400, &error.to_string()),
                }
                json_response(200, &true)
            }
        })
        .await
        .ok();
    })
    .detach();
    Ok(address)
}

impl WeightStore {
    async fn fetch_checkpoint(&self, checkpoint_bytes: u64) {
        let interval_ms = (1000.0 / self.settings.loads_per_second) as u64;
        let start_unix_ms = self.next_start_unix_ms.get().max(now_unix_ms());
        self.next_start_unix_ms.set(start_unix_ms + interval_ms);
        sleep_until_unix_ms(start_unix_ms).await;
        let _in_flight = InFlightGuard::new(&self.loads);
        let mut remaining_bytes = checkpoint_bytes as f64;
        let mut previous_unix_ms = now_unix_ms();
        while remaining_bytes > 0.0 {
            sleep_ms(CHECKPOINT_STEP_MS).await;
            let now = now_unix_ms();
            let share = f64::from(self.settings.full_speed_loads) / f64::from(self.loads.get());
            let bytes_per_ms = self.settings.bytes_per_second as f64 / 1000.0;
            remaining_bytes -= (now - previous_unix_ms) as f64 * bytes_per_ms * share.min(1.0)
                / self.settings.slowdown;
            previous_unix_ms = now;
        }
    }

    async fn fetch_adapter(&self) {
        let _in_flight = InFlightGuard::new(&self.adapters);
        let settings = &self.settings;
        let uncontended_ms = rand::random_range(settings.adapter_min_ms..=settings.adapter_max_ms);
        let mut remaining_us = uncontended_ms as f64 * 1000.0 * settings.slowdown;
        let mut previous_us = now_unix_us();
        while remaining_us > 0.0 {
            let share = f64::from(settings.full_speed_adapters) / f64::from(self.adapters.get());
            let share = share.min(1.0);
            let step_ms = (remaining_us / share / 1000.0).ceil() as u64;
            sleep_ms(step_ms.clamp(1, ADAPTER_STEP_MAX_MS)).await;
            let now_us = now_unix_us();
            remaining_us -= (now_us - previous_us) as f64 * share;
            previous_us = now_us;
        }
    }
}

/// Counts a fetch as in flight until it is dropped.
struct InFlightGuard<'a>(&'a Cell<u32>);

impl<'a> InFlightGuard<'a> {
    fn new(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
