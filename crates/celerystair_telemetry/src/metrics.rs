//! OpenTelemetry counters, gauges and histograms, in the Prometheus text format. `docs/METRICS.md`
//! describes each metric.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Upper bounds of the buckets of durations, in seconds.
const SECONDS_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.49, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// Upper bounds of the buckets of the time between tokens, in seconds.
const TOKEN_SECONDS_BUCKETS: [f64; 10] =
    [0.005, 0.01, 0.015, 0.02, 0.03, 0.039, 0.05, 0.1, 0.25, 1.0];

/// The metrics of one process. Label values come from bounded sets, such as outcomes, kinds of
/// events and the process's own upstream, never from models, adapters or callers.
pub struct Metrics {
    registry: Registry,
    // Dropping the provider would stop the collection of the instruments.
    _provider: SdkMeterProvider,
    /// Completed requests, by `outcome`.
    pub requests: Counter<u64>,
    /// Seconds from a request's arrival to the first byte of its response, or to its refusal.
    pub first_byte_seconds: Histogram<f64>,
    /// Seconds between the chunks of a streamed response.
    pub between_tokens_seconds: Histogram<f64>,
    /// Seconds from the order to load a model until its replica is loaded.
    pub cold_start_seconds: Histogram<f64>,
    /// Seconds from an attempt's arrival at the agent until it starts.
    pub wait_seconds: Histogram<f64>,
    /// Seconds for which loaded replicas were idle, by `upstream`.
    pub idle_accelerator_seconds: Counter<f64>,
    /// Loads of models, by `outcome`.
    pub loads: Counter<u64>,
    /// Attempts at upstreams, by `service` and `outcome`.
    pub attempts: Counter<u64>,
    /// Retries that the retry budget allowed or denied, by `service` and `outcome`.
    pub retries: Counter<u64>,
    /// Requests that were read, at least in part, and whose connection ended without a complete
    /// response, by `end`.
    pub unanswered: Counter<u64>,
    /// Requests that were sent and had no whole answer when a planned stop gave them up, by who did.
    pub given_up_in_stop: Counter<u64>,
    /// Answers without a length or chunks, by what is known of their `end`.
    pub unframed_answers: Counter<u64>,
    /// Gauges of the process's state, set when the metrics are scraped.
    pub gauges: Gauges,
}

/// Gauges of a process's state.
pub struct Gauges {
    /// Revision of the configuration in force.
    pub config_revision: Gauge<u64>,
    /// Difference between the highest revision that a peer has reported and the one in force.
    pub config_revisions_behind: Gauge<u64>,
    /// Calls to the platform's store since the start of the process.
    pub store_calls: Gauge<u64>,
    /// Versions of the configuration that were refused since the start of the process.
    pub configs_refused: Gauge<u64>,
    /// Timeline events dropped since the start of the process.
    pub events_dropped: Gauge<u64>,
    /// 1 while the process drains, else 0.
    pub draining: Gauge<u64>,
    /// Attempts or requests that wait to start.
    pub waiting: Gauge<u64>,
    /// Attempts or requests in flight at upstreams.
    pub running: Gauge<u64>,
    /// Unallocated accelerator memory, in bytes.
    pub free_memory_bytes: Gauge<u64>,
    /// Replicas that occupy accelerator memory.
    pub replicas: Gauge<u64>,
    /// Bytes that the bodies of requests hold.
    pub request_bodies_bytes: Gauge<u64>,
    /// Routers among which fleet-wide limits are divided.
    pub routers: Gauge<u64>,
    /// Retries that this router may make per window of the retry budget, by `service`.
    pub retries_allowed: Gauge<f64>,
    /// Requests that may have crashed an upstream.
    pub suspects: Gauge<u64>,
    /// Requests that are refused because they crash upstreams.
    pub suspects_refused: Gauge<u64>,
    /// Parts of prompts that may have crashed an upstream.
    pub suspect_parts: Gauge<u64>,
    /// Parts of prompts that are refused because they crash upstreams.
    pub suspect_parts_refused: Gauge<u64>,
}

impl Gauges {
    fn new(meter: &Meter) -> Self {
        let gauge = |name| meter.u64_gauge(name).build();
        let bytes = |name| meter.u64_gauge(name).with_unit("By").build();
        Self {
            config_revision: gauge("celerystair_config_revision"),
            config_revisions_behind: gauge("celerystair_config_revisions_behind"),
            configs_refused: gauge("celerystair_configs_refused"),
            store_calls: gauge("celerystair_store_calls"),
            events_dropped: gauge("celerystair_events_dropped"),
            draining: gauge("celerystair_draining"),
            waiting: gauge("celerystair_waiting"),
            running: gauge("celerystair_running"),
            free_memory_bytes: bytes("celerystair_free_memory"),
            replicas: gauge("celerystair_replicas"),
            request_bodies_bytes: bytes("celerystair_request_bodies"),
            routers: gauge("celerystair_routers"),
            suspects: gauge("celerystair_suspects"),
            suspects_refused: gauge("celerystair_suspects_refused"),
            suspect_parts: gauge("celerystair_suspect_parts"),
            suspect_parts_refused: gauge("celerystair_suspect_parts_refused"),
            retries_allowed: meter.f64_gauge("celerystair_retries_allowed").build(),
        }
    }
}

impl Metrics {
    /// Creates the metrics of a process, with `role` as the instrumentation scope.
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
            first_byte_seconds: seconds_histogram(
                &meter,
                "celerystair_first_byte",
                &SECONDS_BUCKETS,
            ),
            between_tokens_seconds: seconds_histogram(
                &meter,
                "celerystair_between_tokens",
                &TOKEN_SECONDS_BUCKETS,
            ),
            cold_start_seconds: seconds_histogram(
                &meter,
                "celerystair_cold_start",
                &SECONDS_BUCKETS,
            ),
            wait_seconds: seconds_histogram(&meter, "celerystair_wait", &SECONDS_BUCKETS),
            idle_accelerator_seconds: meter
                .f64_counter("celerystair_idle_accelerator")
                .with_unit("s")
                .build(),
            loads: meter.u64_counter("celerystair_loads").build(),
            attempts: meter.u64_counter("celerystair_attempts").build(),
            retries: meter.u64_counter("celerystair_retries").build(),
            unanswered: meter.u64_counter("celerystair_unanswered").build(),
            given_up_in_stop: meter.u64_counter("celerystair_given_up_in_stop").build(),
            unframed_answers: meter.u64_counter("celerystair_unframed_answers").build(),
            gauges: Gauges::new(&meter),
            registry,
            _provider: provider,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn scrape(&self) -> Vec<u8> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .ok();
        text
    }
}

fn seconds_histogram(meter: &Meter, name: &'static str, buckets: &[f64]) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(buckets.to_vec())
        .build()
}

/// Creates a metric label. Its value must come from a bounded set.
pub fn label(name: &'static str, value: &str) -> KeyValue {
    KeyValue::new(name, value.to_owned())
}
