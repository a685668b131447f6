//! Counts of what callers received over a whole trial.

use std::fmt;

use celerystair_core::prelude::*;
use hdrhistogram::Histogram;

use crate::caller::{Outcome, Received};

/// Responses that end more than this past their deadline count as late.
pub(crate) const LATE_MARGIN_MS: u64 = 50;

/// Counts of outcomes and histograms of latencies.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Complete responses to the caller's own request.
    pub answered: u64,
    /// Refusals by reason.
    pub refused: HashMap<&'static str, u64>,
    /// Responses that ended early with an error visible to the caller.
    pub cut: u64,
    /// Responses and refusals that arrived after the deadline.
    pub late: u64,
    /// Details of responses that belonged to another request, or were incomplete without a visible
    /// error.
    pub wrong: Vec<String>,
    /// Details of calls that got no response.
    pub lost: Vec<String>,
    /// Cold start times of calls that waited for a replica to load, in milliseconds.
    pub cold_start_ms: Histogram<u64>,
    /// Time to the first byte, in milliseconds.
    pub first_byte_ms: Histogram<u64>,
    /// Time between the chunks of streamed responses, in microseconds.
    pub between_tokens_us: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            answered: 0,
            refused: HashMap::default(),
            cut: 0,
            late: 0,
            wrong: Vec::new(),
            lost: Vec::new(),
            cold_start_ms: histogram(),
            first_byte_ms: histogram(),
            between_tokens_us: histogram(),
        }
    }
}

/// Returns an empty histogram with three significant digits.
pub(crate) fn histogram() -> Histogram<u64> {
    const SIGNIFICANT_DIGITS: u8 = 3;
    let Ok(histogram) = Histogram::new(SIGNIFICANT_DIGITS) else {
        unreachable!()
    };
    histogram
}

impl Tally {
    /// Adds what one caller received.
    pub fn add(&mut self, received: &Received) {
        match &received.outcome {
            Outcome::Answered => {
                self.answered += 1;
                let first_byte_ms = received
                    .first_byte_unix_ms
                    .saturating_sub(received.called_unix_ms);
                self.first_byte_ms.record(first_byte_ms).ok();
                for interval_us in &received.between_tokens_us {
                    self.between_tokens_us.record(*interval_us).ok();
                }
                if received.cold_start_ms > 0 {
                    self.cold_start_ms.record(received.cold_start_ms).ok();
                }
            }
            Outcome::Refused { reason, .. } => {
                *self.refused.entry(reason.as_str()).or_default() += 1;
            }
            Outcome::Cut => self.cut += 1,
            Outcome::Wrong(detail) => self.wrong.push(detail.clone()),
            Outcome::Lost(detail) => self.lost.push(detail.clone()),
        }
        if received.is_late(LATE_MARGIN_MS) {
            self.late += 1;
        }
    }

    /// Returns the number of calls added so far.
    pub fn total(&self) -> u64 {
        let others = self.cut + (self.wrong.len() + self.lost.len()) as u64;
        self.answered + self.refused.values().sum::<u64>() + others
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let refused: u64 = self.refused.values().sum();
        writeln!(f, "requests answered    {}", self.answered)?;
        writeln!(f, "requests refused     {refused} {:?}", self.refused)?;
        writeln!(f, "answers cut, late    {}, {}", self.cut, self.late)?;
        writeln!(
            f,
            "wrong, lost          {}, {}",
            self.wrong.len(),
            self.lost.len()
        )?;
        let at = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile);
        for (name, histogram) in [
            ("cold start ms", &self.cold_start_ms),
            ("first byte ms", &self.first_byte_ms),
        ] {
            writeln!(
                f,
                "{name:<20} p50 {}  p95 {}  p99 {}  ({} seen)",
                at(histogram, 0.50),
                at(histogram, 0.95),
                at(histogram, 0.99),
                histogram.len()
            )?;
        }
        Ok(())
    }
}
