//! Counters and histograms by opentelemetry, served in the text form that scrapers read.
//! Each is described in `docs/METRICS.md`.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Upper bounds of the buckets for times, in seconds.
const SECONDS_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.49, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0,
];

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    // Held so that the instruments go on being collected.
    _provider: SdkMeterProvider,
    /// Requests that ended, by `outcome` and `kind`.
    pub requests: Counter<u64>,
    /// Time from arrival to the first byte of the answer.
    pub first_byte_seconds: Histogram<f64>,
    /// Time a request waited for a replica to be loaded.
    pub cold_start_seconds: Histogram<f64>,
    /// Seconds during which a replica was loaded and had no work, by `upstream`.
    pub idle_accelerator_seconds: Counter<f64>,
    /// Orders to load, by `outcome`.
    pub loads: Counter<u64>,
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
            first_byte_seconds: seconds(&meter, "celerystair_first_byte"),
            cold_start_seconds: seconds(&meter, "celerystair_cold_start"),
            idle_accelerator_seconds: meter
                .f64_counter("celerystair_idle_accelerator")
                .with_unit("s")
                .build(),
            loads: meter.u64_counter("celerystair_loads").build(),
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

fn seconds(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_boundaries(SECONDS_BUCKETS.to_vec())
        .build()
}

/// A label; its value must come from a bounded set.
pub fn label(name: &'static str, value: &str) -> KeyValue {
    KeyValue::new(name, value.to_owned())
}
