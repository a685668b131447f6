//! How long an idle replica is worth keeping, from its model's own arrivals.
//!
//! Keeping it for a time `T` costs `cold_start_weight` for each second of a cold start that a
//! gap longer than `T` brings, and `idle_weight` for each second of idle accelerator. The
//! histogram of the model's gaps gives both for any `T`; the cheapest is taken. The ways that
//! were weighed: `docs/COLD_STARTS.md`.

/// Gaps are counted in bins whose bounds grow by a factor of the square root of two.
const BINS: usize = 48;
const FIRST_BIN_MS: f64 = 250.0;
/// What one more gap leaves of the weight of those before it.
const DECAY: f64 = 0.97;
/// Weight of what is taken for granted of a model of which nothing is known: its gaps are
/// spread evenly over the bins.
const PRIOR_WEIGHT: f64 = 1.0;

/// The gaps between a model's calls.
#[derive(Clone, Debug)]
pub struct ArrivalHistogram {
    last_unix_ms: Option<u64>,
    counts: [f64; BINS],
}

impl Default for ArrivalHistogram {
    fn default() -> Self {
        Self {
            last_unix_ms: None,
            counts: [PRIOR_WEIGHT / BINS as f64; BINS],
        }
    }
}

/// What waiting and idling cost, and the bounds of keep-alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeepAliveCosts {
    /// How long a cold start is expected to take.
    pub cold_start_ms: u64,
    /// What a second of a cold start costs.
    pub cold_start_weight: f64,
    /// What a second of an idle accelerator costs.
    pub idle_weight: f64,
    /// The shortest keep-alive.
    pub keep_alive_min_ms: u64,
    /// The longest keep-alive.
    pub keep_alive_max_ms: u64,
}

fn upper_bound_ms(bin: usize) -> f64 {
    FIRST_BIN_MS * 2f64.powf(bin as f64 / 2.0)
}

fn lower_bound_ms(bin: usize) -> f64 {
    if bin == 0 {
        0.0
    } else {
        upper_bound_ms(bin - 1)
    }
}

fn bin_of(gap_ms: u64) -> usize {
    (0..BINS - 1)
        .find(|bin| gap_ms as f64 <= upper_bound_ms(*bin))
        .unwrap_or(BINS - 1)
}

impl ArrivalHistogram {
    /// Counts a call at `now_unix_ms`.
    pub fn record_call(&mut self, now_unix_ms: u64) {
        if let Some(last) = self.last_unix_ms.replace(now_unix_ms) {
            self.counts.iter_mut().for_each(|count| *count *= DECAY);
            self.counts[bin_of(now_unix_ms.saturating_sub(last))] += 1.0;
        }
    }

    /// The keep-alive that is expected to cost least after one call, within its bounds.
    pub fn keep_alive_ms(&self, costs: &KeepAliveCosts) -> u64 {
        let min_ms = costs.keep_alive_min_ms as f64;
        let max_ms = (costs.keep_alive_max_ms as f64).max(min_ms);
        let bounds = (0..BINS)
            .map(upper_bound_ms)
            .filter(|bound_ms| (min_ms..=max_ms).contains(bound_ms));
        let mut best = (self.expected_cost(min_ms, costs), min_ms);
        for bound_ms in bounds.chain([max_ms]) {
            let cost = self.expected_cost(bound_ms, costs);
            if cost < best.0 {
                best = (cost, bound_ms);
            }
        }
        best.1 as u64
    }

    /// The chance that a model without a call for `idle_ms` is called within `window_ms`.
    pub fn call_probability(&self, idle_ms: u64, window_ms: u64) -> f64 {
        let later: f64 = self.counts[bin_of(idle_ms)..].iter().sum();
        let soon: f64 = self.counts[bin_of(idle_ms)..=bin_of(idle_ms + window_ms)]
            .iter()
            .sum();
        if later > 0.0 { soon / later } else { 0.0 }
    }

    fn expected_cost(&self, keep_alive_ms: f64, costs: &KeepAliveCosts) -> f64 {
        let total: f64 = self.counts.iter().sum();
        let mut cost = 0.0;
        for (bin, count) in self.counts.iter().enumerate() {
            let share = count / total;
            let gap_ms = f64::midpoint(lower_bound_ms(bin), upper_bound_ms(bin));
            let idle_ms = gap_ms.min(keep_alive_ms);
            cost += share * costs.idle_weight * idle_ms;
            if upper_bound_ms(bin) > keep_alive_ms {
                cost += share * costs.cold_start_weight * costs.cold_start_ms as f64;
            }
        }
        cost
    }
}
