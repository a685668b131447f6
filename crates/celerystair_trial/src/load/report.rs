//! The report of a load: what callers received, by kind, and what resources the fleet used.

use std::{
    collections::BTreeMap,
    fmt::{self, Write},
};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::settings::LoadSettings;
use crate::{
    caller::{Outcome, Received},
    tally::{LATE_MARGIN_MS, histogram},
};

/// Quantiles in the JSON report.
const QUANTILES: [f64; 5] = [0.50, 0.90, 0.95, 0.99, 1.0];

/// A histogram of latencies, in microseconds.
#[derive(Clone, Debug)]
pub struct Times(pub Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        Self(histogram())
    }
}

impl Times {
    fn record_ms(&mut self, interval_ms: u64) {
        self.0.record(interval_ms * 1000).ok();
    }

    /// Returns the latency at `quantile`, in milliseconds.
    pub fn at_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }
}

impl Serialize for Times {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = BTreeMap::from([("count".to_owned(), self.0.len() as f64)]);
        for quantile in QUANTILES {
            let name = format!("p{}_ms", (quantile * 100.0).round());
            fields.insert(name, self.at_ms(quantile));
        }
        fields.serialize(serializer)
    }
}

/// Counts and latencies of the calls of one kind.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindReport {
    /// Weight of an answer in time, in goodput.
    pub worth: u32,
    /// Calls made.
    pub called: u64,
    /// Complete responses to the caller's own request, in time.
    pub answered: u64,
    /// Responses and refusals after the deadline.
    pub late: u64,
    /// Refusals, by reason and whether the request has run.
    pub refused: BTreeMap<String, u64>,
    /// Responses that ended early with an error visible to the caller.
    pub cut: u64,
    /// Responses that belonged to another request, or were incomplete without a visible error.
    pub wrong: u64,
    /// Calls without a response.
    pub lost: u64,
    /// Time from when the call was due to the first byte of its response.
    pub first_byte: Times,
    /// Time from when the call was due to the end of its response.
    pub whole_answer: Times,
    /// Time between the chunks of streamed responses.
    pub between_tokens: Times,
    /// Time that requests waited for a replica to be loaded.
    pub cold_start: Times,
}

impl KindReport {
    fn add(&mut self, due_unix_ms: u64, received: &Received) {
        self.called += 1;
        let is_late = received.is_late(LATE_MARGIN_MS);
        self.late += u64::from(is_late);
        match &received.outcome {
            Outcome::Answered => {
                self.answered += u64::from(!is_late);
                self.first_byte
                    .record_ms(received.first_byte_unix_ms.saturating_sub(due_unix_ms));
                self.whole_answer
                    .record_ms(received.ended_unix_ms.saturating_sub(due_unix_ms));
                for interval_us in &received.between_tokens_us {
                    self.between_tokens.0.record(*interval_us).ok();
                }
                if received.cold_start_ms > 0 {
                    self.cold_start.record_ms(received.cold_start_ms);
                }
            }
            Outcome::Refused { reason, run } => {
                let label = format!("{} ({})", reason.as_str(), run.as_str());
                *self.refused.entry(label).or_default() += 1;
            }
            Outcome::Cut => self.cut += 1,
            Outcome::Wrong(_) => self.wrong += 1,
            Outcome::Lost(_) => self.lost += 1,
        }
    }
}

/// What a load showed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Name of the load.
    pub name: String,
    /// Reports by kind.
    pub kinds: BTreeMap<String, KindReport>,
    /// Time from when calls were due until they were made; included in all other latencies.
    pub caller_lag: Times,
    /// Model loads started.
    pub loads: u64,
    /// Accelerator hours during which replicas were loaded.
    pub loaded_hours: f64,
    /// Accelerator hours during which loaded replicas had nothing to run.
    pub idle_hours: f64,
    /// Reads of the platform's store.
    pub store_reads: u64,
    /// Writes to the platform's store.
    pub store_writes: u64,
    /// Violated invariants.
    pub violations: Vec<String>,
}

impl LoadReport {
    /// Creates an empty report of `load`.
    pub fn new(load: &LoadSettings) -> Self {
        let kinds = load.mix.iter().map(|kind| {
            let report = KindReport {
                worth: kind.worth,
                ..KindReport::default()
            };
            (kind.kind.clone(), report)
        });
        Self {
            name: load.name.clone(),
            kinds: kinds.collect(),
            ..Self::default()
        }
    }

    /// Adds what one caller received.
    pub fn add(&mut self, kind: &str, due_unix_ms: u64, received: &Received) {
        self.caller_lag
            .record_ms(received.called_unix_ms.saturating_sub(due_unix_ms));
        self.kinds
            .entry(kind.to_owned())
            .or_default()
            .add(due_unix_ms, received);
    }

    /// Returns the answers in time as a percentage of all calls, each weighted by its worth.
    pub fn goodput_percent(&self) -> f64 {
        let worth = |count: fn(&KindReport) -> u64| -> f64 {
            let kinds = self.kinds.values();
            kinds
                .map(|kind| (count(kind) * u64::from(kind.worth)) as f64)
                .sum()
        };
        worth(|kind| kind.answered) / worth(|kind| kind.called).max(1.0) * 100.0
    }

    /// Returns the figures by which loads are compared. Lower is better for all but the goodput.
    pub fn figures(&self) -> Vec<(String, f64)> {
        let mut figures = vec![
            ("goodput %".to_owned(), self.goodput_percent()),
            ("loads".to_owned(), self.loads as f64),
            ("idle accelerator hours".to_owned(), self.idle_hours),
            ("store reads".to_owned(), self.store_reads as f64),
            ("store writes".to_owned(), self.store_writes as f64),
        ];
        for (name, kind) in &self.kinds {
            for (what, times) in [
                ("first byte", &kind.first_byte),
                ("between tokens", &kind.between_tokens),
                ("cold start", &kind.cold_start),
            ] {
                for quantile in [0.50, 0.95, 0.99]
                    .into_iter()
                    .filter(|_| !times.0.is_empty())
                {
                    let figure = format!("{name} {what} p{} ms", quantile * 100.0);
                    figures.push((figure, times.at_ms(quantile)));
                }
            }
        }
        figures
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.name)?;
        writeln!(
            f,
            "  {:<12} {:>7} {:>8} {:>7} {:>5} {:>5} {:>5} {:>5}",
            "kind", "called", "answered", "refused", "late", "cut", "wrong", "lost"
        )?;
        for (name, kind) in &self.kinds {
            let refused: u64 = kind.refused.values().sum();
            writeln!(
                f,
                "  {name:<12} {:>7} {:>8} {refused:>7} {:>5} {:>5} {:>5} {:>5}",
                kind.called, kind.answered, kind.late, kind.cut, kind.wrong, kind.lost
            )?;
            for (reason, count) in &kind.refused {
                writeln!(f, "    {count} × {reason}")?;
            }
        }
        for (name, value) in self.figures() {
            writeln!(f, "  {name:<40} {value:>12.2}")?;
        }
        let lag_ms = self.caller_lag.at_ms(0.99);
        writeln!(
            f,
            "  {:<40} {lag_ms:>12.2}",
            "calls made late p99 ms (counted in)"
        )?;
        for violation in &self.violations {
            writeln!(f, "  VIOLATED: {violation}")?;
        }
        Ok(())
    }
}

/// Formats the figures of two loads side by side, with the ratio of the second to the first.
pub fn compare(first: &LoadReport, second: &LoadReport) -> String {
    let mut text = format!(
        "{:<42} {:>12} {:>12} {:>7}\n",
        "", first.name, second.name, "ratio"
    );
    let of_second: BTreeMap<String, f64> = second.figures().into_iter().collect();
    for (name, value) in first.figures() {
        let Some(other) = of_second.get(&name) else {
            continue;
        };
        let ratio = if value > 0.0 {
            format!("{:.2}", other / value)
        } else {
            "-".to_owned()
        };
        writeln!(text, "{name:<42} {value:>12.2} {other:>12.2} {ratio:>7}").ok();
    }
    text
}
