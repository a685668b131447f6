//! How many loads from the weight store run at once. Answers a store that serves one load at full
//! speed, or four: each load beyond takes proportionally longer, and can't be given up. Where idle
//! models are fetched all at once, a model that everybody asks for waits for all of them.
//!
//! No deployment says how many run at full speed, so agents find out: each notes beside how many
//! others its own loads were on time or late, and tells it. See `docs/COLD_STARTS.md`.

/// By how many more loads at once are tried where callers wait and two at once were on time. Where
/// only one was, one more is tried: at a store that serves one, it is done as soon as if it had
/// waited for the other.
const STEP: usize = 2;
/// A load that takes this many times as long as one alone is late. Reports are read every 50 ms, and
/// loads take seconds.
const LATE_RATIO: f64 = 1.1;
/// A late load tells nothing of the store after this long: it may be as fast as ever again.
const LATE_MEMORY_MS: u64 = 60_000;

/// What one agent has seen of its own loads.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ColdLoadObservations {
    /// The most loads at once, its own among them, of which its own was on time; 0 if none was.
    pub on_time_concurrency: u32,
    /// Loads that the store serves at full speed, by the latest load that was late; 0 if none was.
    pub full_speed_concurrency: u32,
    /// When that is forgotten; 0 if there is nothing to forget.
    pub forget_unix_ms: u64,
}

/// A load from the weight store as its agent sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdLoadRun {
    /// Loads that ran when it began, itself among them.
    pub concurrency: u32,
    /// How long it has run.
    pub elapsed_ms: u64,
    /// How long one alone takes.
    pub uncontended_ms: u64,
    /// Whether it is done.
    pub is_done: bool,
}

impl ColdLoadObservations {
    /// Notes a load; may be called again and again while it runs.
    pub fn record_load(&mut self, run: &ColdLoadRun, now_unix_ms: u64) {
        self.expire(now_unix_ms);
        let ratio = run.elapsed_ms as f64 / run.uncontended_ms.max(1) as f64;
        if ratio > LATE_RATIO {
            self.full_speed_concurrency = ((f64::from(run.concurrency) / ratio) as u32).max(1);
            self.on_time_concurrency = self.on_time_concurrency.min(self.full_speed_concurrency);
            self.forget_unix_ms = now_unix_ms + LATE_MEMORY_MS;
        } else if run.is_done {
            self.on_time_concurrency = self.on_time_concurrency.max(run.concurrency);
        }
    }

    /// Forgets what may no longer hold.
    pub fn expire(&mut self, now_unix_ms: u64) {
        if now_unix_ms >= self.forget_unix_ms {
            self.full_speed_concurrency = 0;
            self.forget_unix_ms = 0;
        }
    }
}

/// How many loads from the weight store may run at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdLoadLimit {
    /// As many are known to run at full speed; one before anything was seen.
    pub known: usize,
    /// As many may run where callers wait.
    pub max: usize,
}

/// The limit by what all agents have seen.
pub fn cold_load_limit(seen: impl IntoIterator<Item = ColdLoadObservations>) -> ColdLoadLimit {
    let (mut on_time, mut served) = (Vec::new(), usize::MAX);
    for agent in seen {
        on_time.push(agent.on_time_concurrency);
        if agent.full_speed_concurrency > 0 {
            served = served.min(agent.full_speed_concurrency as usize);
        }
    }
    let confirmed = confirmed(on_time);
    let max = match confirmed {
        0 | 1 => confirmed + 1,
        _ => confirmed + STEP,
    };
    ColdLoadLimit {
        known: confirmed.max(1).min(served),
        max: max.min(served),
    }
}

/// The most loads at once of which as many agents had one on time. Two that begin at the same
/// moment both count two, though the store may serve one and let the other wait: what one agent
/// alone has seen of several at once proves nothing.
fn confirmed(mut on_time: Vec<u32>) -> usize {
    on_time.sort_unstable_by(|a, b| b.cmp(a));
    let proves = |(index, at_once): &(usize, &u32)| **at_once as usize > *index;
    on_time.iter().enumerate().take_while(proves).count()
}
