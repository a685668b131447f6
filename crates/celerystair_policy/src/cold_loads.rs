//! Limits how many loads from the weight store run concurrently. A store may serve one load at full
//! speed, or four: beyond that, all loads slow down in proportion, and a load can't be cancelled.
//! If idle models were fetched all at once, a model in high demand would wait for all of them.
//!
//! The store's concurrency is not configured, so agents probe it: each records at which concurrency
//! its own loads were on time or late, and gossips that. See `docs/COLD_STARTS.md`.

/// How far beyond the confirmed concurrency loads may go while callers wait, once two concurrent
/// loads were on time. Before that only one more is tried: at a store that serves one at a time, it
/// is done as soon as if it had waited for the other.
const PROBE_STEP: usize = 2;
/// A load is late if it takes this many times as long as it would alone. Engines are polled every
/// 50 ms, and loads take seconds.
const LATE_RATIO: f64 = 1.1;
/// How long a late load limits the concurrency; the store may have recovered by then.
const LATE_EXPIRY_MS: u64 = 60_000;

/// What one agent has observed of its own loads from the weight store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ColdLoadObservations {
    /// The highest concurrency, counting its own load, at which that load was on time; 0 if none
    /// was.
    pub on_time_concurrency: u32,
    /// The number of loads that the store serves at full speed, estimated from the latest late
    /// load; 0 if there is none.
    pub full_speed_concurrency: u32,
    /// When `full_speed_concurrency` expires; 0 if it isn't set.
    pub forget_unix_ms: u64,
}

/// The progress of a load from the weight store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdLoadRun {
    /// Loads that ran when it began, including itself.
    pub concurrency: u32,
    /// Time since it began.
    pub elapsed_ms: u64,
    /// How long it would take alone.
    pub uncontended_ms: u64,
    /// Whether it is done.
    pub is_done: bool,
}

impl ColdLoadObservations {
    /// Records the progress of a load; may be called repeatedly while it runs.
    pub fn record_load(&mut self, run: &ColdLoadRun, now_unix_ms: u64) {
        self.expire(now_unix_ms);
        let ratio = run.elapsed_ms as f64 / run.uncontended_ms.max(1) as f64;
        if ratio > LATE_RATIO {
            self.full_speed_concurrency = ((f64::from(run.concurrency) / ratio) as u32).max(1);
            self.on_time_concurrency = self.on_time_concurrency.min(self.full_speed_concurrency);
            self.forget_unix_ms = now_unix_ms + LATE_EXPIRY_MS;
        } else if run.is_done {
            self.on_time_concurrency = self.on_time_concurrency.max(run.concurrency);
        }
    }

    /// Drops the estimate from a late load once it has expired.
    pub fn expire(&mut self, now_unix_ms: u64) {
        if now_unix_ms >= self.forget_unix_ms {
            self.full_speed_concurrency = 0;
            self.forget_unix_ms = 0;
        }
    }
}

/// How many loads from the weight store may run concurrently.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdLoadLimit {
    /// The concurrency that is known to run at full speed; 1 before any observation.
    pub confirmed: usize,
    /// The limit for models that callers wait for; it may exceed `confirmed` to probe the store.
    pub max: usize,
}

/// Computes the limit from the observations of all agents.
pub fn cold_load_limit(
    observations: impl IntoIterator<Item = ColdLoadObservations>,
) -> ColdLoadLimit {
    let (mut on_time, mut full_speed) = (Vec::new(), usize::MAX);
    for agent in observations {
        on_time.push(agent.on_time_concurrency);
        if agent.full_speed_concurrency > 0 {
            full_speed = full_speed.min(agent.full_speed_concurrency as usize);
        }
    }
    let confirmed = confirmed_concurrency(on_time);
    let max = match confirmed {
        0 | 1 => confirmed + 1,
        _ => confirmed + PROBE_STEP,
    };
    ColdLoadLimit {
        confirmed: confirmed.max(1).min(full_speed),
        max: max.min(full_speed),
    }
}

/// Returns the highest concurrency `n` at which at least `n` agents had a load on time. Two loads
/// that begin at the same moment both count a concurrency of two, though the store may serve one
/// and queue the other; so a single agent's observation of several concurrent loads proves nothing.
fn confirmed_concurrency(mut on_time: Vec<u32>) -> usize {
    on_time.sort_unstable_by(|a, b| b.cmp(a));
    let is_confirmed = |(index, concurrency): &(usize, &u32)| **concurrency as usize > *index;
    on_time.iter().enumerate().take_while(is_confirmed).count()
}
