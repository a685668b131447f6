//! The keep-alive of an idle replica, from the interarrival times of its model.
//!
//! A keep-alive of `T` costs `cold_start_weight` for each second of the cold start that follows a
//! gap longer than `T`, and `idle_weight` for each second of idle accelerator. The histogram of the
//! model's gaps gives the expected cost for any `T`, and the cheapest one is chosen. The
//! alternatives that were considered: `docs/COLD_STARTS.md`.

/// The number of bins. Their upper bounds grow by a factor of the square root of two.
const BINS: usize = 48;
/// The upper bound of the first bin.
const FIRST_BIN_MS: f64 = 250.0;
/// The factor by which each new gap reduces the weight of earlier ones.
const DECAY: f64 = 0.97;
/// The total weight of the prior for a new model, which is uniform over the bins.
const PRIOR_WEIGHT: f64 = 1.0;

/// A decaying histogram of the gaps between the calls of a model.
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

/// The costs of cold starts and of idle accelerators, and the bounds of the keep-alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeepAliveCosts {
    /// The expected duration of a cold start.
    pub cold_start_ms: u64,
    /// The cost of each second of a cold start.
    pub cold_start_weight: f64,
    /// The cost of each second of an idle accelerator.
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
    /// Records a call at `now_unix_ms`.
    pub fn record_call(&mut self, now_unix_ms: u64) {
        if let Some(last) = self.last_unix_ms.replace(now_unix_ms) {
            self.counts.iter_mut().for_each(|count| *count *= DECAY);
            self.counts[bin_of(now_unix_ms.saturating_sub(last))] += 1.0;
        }
    }

    /// Returns the keep-alive within its bounds that has the lowest expected cost after one call.
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

    /// Returns the probability that a model without a call for `idle_ms` is called within
    /// `window_ms`.
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
