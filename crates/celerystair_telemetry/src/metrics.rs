//! Counters and histograms by opentelemetry, served in the text form that scrapers read.
//! Each is described in `docs/METRICS.md`.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Upper bounds of the buckets for times, in seconds.
const SECONDS_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.49, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Upper bounds of the buckets for times between tokens, in seconds.
const TOKEN_SECONDS_BUCKETS: [f64; 10] =
    [0.005, 0.01, 0.015, 0.02, 0.03, 0.039, 0.05, 0.1, 0.25, 1.0];

/// The metrics of one process. Labels take their values from bounded sets: outcomes, kinds of
/// events, the process's own upstream; never models, adapters or callers.
pub struct Metrics {
    registry: Registry,
    // Held so that the instruments go on being collected.
    _provider: SdkMeterProvider,
    /// Requests that ended, by `outcome`.
    pub requests: Counter<u64>,
    /// Time from arrival to the first byte of the answer, or to its refusal.
    pub first_byte_seconds: Histogram<f64>,
    /// Time between the parts of a streamed answer.
    pub between_tokens_seconds: Histogram<f64>,
    /// Time from the order of a load to a replica that is loaded.
    pub cold_start_seconds: Histogram<f64>,
    /// Time from an attempt's arrival at the agent to its start.
    pub wait_seconds: Histogram<f64>,
    /// Seconds for which loaded replicas had no work, by `upstream`.
    pub idle_accelerator_seconds: Counter<f64>,
    /// Loads, by `outcome`.
    pub loads: Counter<u64>,
    /// Attempts at upstreams, by `service` and `outcome`.
    pub attempts: Counter<u64>,
    /// Retries that the budget has decided on, by `service` and `outcome`.
    pub retries: Counter<u64>,
    /// Readings of the process's state, taken when the metrics are served.
    pub gauges: Gauges,
}

/// Readings of a process's state.
pub struct Gauges {
    /// Revision of the configuration in force.
    pub config_revision: Gauge<u64>,
    /// How far it is behind the highest revision that a peer has reported.
    pub config_revisions_behind: Gauge<u64>,
    /// Calls to the store since the start.
    pub store_calls: Gauge<u64>,
    /// Events of the time line that were dropped since the start.
    pub events_dropped: Gauge<u64>,
    /// Whether the process is being stopped.
    pub draining: Gauge<u64>,
    /// Attempts that wait for their turn.
    pub waiting: Gauge<u64>,
    /// Attempts that run.
    pub running: Gauge<u64>,
    /// Accelerator memory that nothing holds.
    pub free_memory_bytes: Gauge<u64>,
    /// Replicas that hold accelerator memory.
    pub replicas: Gauge<u64>,
    /// Routers among which the fleet's bounds are divided.
    pub routers: Gauge<u64>,
    /// Retries that this router may make in a window, by `service`.
    pub retries_allowed: Gauge<f64>,
}

impl Gauges {
    fn new(meter: &Meter) -> Self {
        let gauge = |name| meter.u64_gauge(name).build();
        let bytes = |name| meter.u64_gauge(name).with_unit("By").build();
        Self {
            config_revision: gauge("celerystair_config_revision"),
            config_revisions_behind: gauge("celerystair_config_revisions_behind"),
            store_calls: gauge("celerystair_store_calls"),
            events_dropped: gauge("celerystair_events_dropped"),
            draining: gauge("celerystair_draining"),
            waiting: gauge("celerystair_waiting"),
            running: gauge("celerystair_running"),
            free_memory_bytes: bytes("celerystair_free_memory"),
            replicas: gauge("celerystair_replicas"),
            routers: gauge("celerystair_routers"),
            retries_allowed: meter.f64_gauge("celerystair_retries_allowed").build(),
        }
    }
}

impl Metrics {
    /// The metrics of a process of `role`.
    pub fn new(role: &'static str) -> Self {
        let registry = Registry::new();
        let provider = match opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
        {
            Ok(exporter) => SdkMeterProvider::builder().with_reader(exporter).build(),
            Err(_) => SdkMeterProvider::default(),
        };
        let meter = provider.meter(role);
        Self {
            requests: meter.u64_counter("celerystair_requests").build(),
            first_byte_seconds: seconds(&meter, "celerystair_first_byte", &SECONDS_BUCKETS),
            between_tokens_seconds: seconds(
                &meter,
                "celerystair_between_tokens",
                &TOKEN_SECONDS_BUCKETS,
            ),
            cold_start_seconds: seconds(&meter, "celerystair_cold_start", &SECONDS_BUCKETS),
            wait_seconds: seconds(&meter, "celerystair_wait", &SECONDS_BUCKETS),
            idle_accelerator_seconds: meter
                .f64_counter("celerystair_idle_accelerator")
                .with_unit("s")
                .build(),
            loads: meter.u64_counter("celerystair_loads").build(),
            attempts: meter.u64_counter("celerystair_attempts").build(),
            retries: meter.u64_counter("celerystair_retries").build(),
            gauges: Gauges::new(&meter),
            registry,
            _provider: provider,
        }
    }

    /// All metrics in the text form.
    pub fn scrape(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .ok();
        text
    }
}

fn seconds(meter: &Meter, name: &'static str, buckets: &[f64]) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(buckets.to_vec())
        .build()
}

/// A label; its value must come from a bounded set.
pub fn label(name: &'static str, value: &str) -> KeyValue {
    KeyValue::new(name, value.to_owned())
}
