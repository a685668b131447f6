//! The weight store: a few loads a second, a few at once at full speed, slower beyond.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc};

use celerystair_core::{prelude::*, time::now_unix_us};
use celerystair_net::{
    json::{json_response, read_json},
    prelude::*,
};
use serde::{Deserialize, Serialize};

/// The store advances its fetches in steps of this length.
const STEP_MS: u64 = 20;
/// A load of an adapter looks at least this often how many others share the store's speed.
const ADAPTER_STEP_MAX_MS: u64 = 4;
const BODY_MAX_BYTES: usize = 1 << 16;

/// How the weight store behaves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Loads that may begin in a second.
    pub loads_per_second: f64,
    /// Loads at once at full speed; beyond, they share it.
    pub full_speed_loads: u32,
    /// Bytes a second of one load at full speed.
    pub bytes_per_second: u64,
    /// Adapter loads in flight at full speed; beyond, they share it.
    pub full_speed_adapters: u32,
    /// The shortest time of an adapter load.
    pub adapter_min_ms: u64,
    /// The longest time of an adapter load at full speed.
    pub adapter_max_ms: u64,
    /// How many times slower than set everything is.
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

/// A fetch of one checkpoint or adapter.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FetchRequest {
    /// Size of a checkpoint; 0 for an adapter.
    pub checkpoint_bytes: u64,
}

struct WeightStore {
    settings: WeightsSettings,
    next_start_unix_ms: Cell<u64>,
    loads: Cell<u32>,
    adapters: Cell<u32>,
}

/// Runs the weight store until `stop` drains; gives its address.
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
        let _in_flight = InFlight::enter(&self.loads);
        let mut left_bytes = checkpoint_bytes as f64;
        let mut last_unix_ms = now_unix_ms();
        while left_bytes > 0.0 {
            sleep_ms(STEP_MS).await;
            let now = now_unix_ms();
            let share = f64::from(self.settings.full_speed_loads) / f64::from(self.loads.get());
            let bytes_per_ms = self.settings.bytes_per_second as f64 / 1000.0;
            left_bytes -= (now - last_unix_ms) as f64 * bytes_per_ms * share.min(1.0)
                / self.settings.slowdown;
            last_unix_ms = now;
        }
    }

    async fn fetch_adapter(&self) {
        let _in_flight = InFlight::enter(&self.adapters);
        let settings = &self.settings;
        let full_speed_ms = rand::random_range(settings.adapter_min_ms..=settings.adapter_max_ms);
        let mut left_us = full_speed_ms as f64 * 1000.0 * settings.slowdown;
        let mut last_us = now_unix_us();
        while left_us > 0.0 {
            let share = f64::from(settings.full_speed_adapters) / f64::from(self.adapters.get());
            let share = share.min(1.0);
            let step_ms = (left_us / share / 1000.0).ceil() as u64;
            sleep_ms(step_ms.clamp(1, ADAPTER_STEP_MAX_MS)).await;
            let now_us = now_unix_us();
            left_us -= (now_us - last_us) as f64 * share;
            last_us = now_us;
        }
    }
}

struct InFlight<'a>(&'a Cell<u32>);

impl<'a> InFlight<'a> {
    fn enter(count: &'a Cell<u32>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
