//! Whether an upstream was silent, or this process did not run.
//!
//! A process that is stopped, or gets no processor for a second, finds all its timers at their end
//! while what its peers sent meanwhile lies unread. So silence is counted in time in which this
//! process ran, and a process that has just stood still reads before it judges.

/// How often a process notes that it runs.
pub const TICK_INTERVAL_MS: u64 = 50;
/// A tick that is later than this shows that the process stood still.
const LATE_TICK_MS: u64 = 100;
/// After a standstill, how long a process reads what has arrived before it calls a peer silent.
const READ_FIRST_MS: u64 = 100;

/// The time in which a process ran, by ticks that come while it runs.
#[derive(Clone, Copy, Debug)]
pub struct RunningClock {
    /// The time in which the process had run at the last tick.
    running_ms: u64,
    last_tick_unix_ms: u64,
    last_standstill: Option<Standstill>,
}

/// A time in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Standstill {
    ended_unix_ms: u64,
}

/// A wait for a peer, by a [`RunningClock`].
#[derive(Clone, Copy, Debug)]
pub struct SilenceWait {
    began_unix_ms: u64,
    began_running_ms: u64,
}

impl RunningClock {
    /// Starts the clock of a process that runs now.
    pub fn start(now_unix_ms: u64) -> Self {
        Self {
            running_ms: 0,
            last_tick_unix_ms: now_unix_ms,
            last_standstill: None,
        }
    }

    /// Notes that the process runs. Returns how long it stood still, if it did since the last tick.
    pub fn tick(&mut self, now_unix_ms: u64) -> Option<u64> {
        let standstill_ms = self.standstill_ms(now_unix_ms);
        if standstill_ms > 0 {
            self.last_standstill = Some(Standstill {
                ended_unix_ms: now_unix_ms,
            });
        }
        self.running_ms = self.running_ms(now_unix_ms);
        self.last_tick_unix_ms = now_unix_ms;
        (standstill_ms > 0).then_some(standstill_ms)
    }

    /// Begins a wait for a peer.
    pub fn begin_wait(&self, now_unix_ms: u64) -> SilenceWait {
        SilenceWait {
            began_unix_ms: now_unix_ms,
            began_running_ms: self.running_ms(now_unix_ms),
        }
    }

    /// Returns how long the process has to run on until its peer has been silent for `silence_ms`; 0 if
    /// it has been.
    pub fn silence_left_ms(&self, wait: SilenceWait, silence_ms: u64, now_unix_ms: u64) -> u64 {
        let waited_ms = self
            .running_ms(now_unix_ms)
            .saturating_sub(wait.began_running_ms);
        let left_ms = silence_ms.saturating_sub(waited_ms);
        left_ms.max(self.read_first_ms(wait, now_unix_ms))
    }

    /// The same for a wait that is also bounded for others' sake: a standstill counts, but what has
    /// arrived is read before the wait ends.
    pub fn bounded_wait_left_ms(&self, wait: SilenceWait, wait_ms: u64, now_unix_ms: u64) -> u64 {
        let left_ms = (wait.began_unix_ms + wait_ms).saturating_sub(now_unix_ms);
        left_ms.max(self.read_first_ms(wait, now_unix_ms))
    }

    /// How long the process still reads what arrived in a standstill during the wait.
    fn read_first_ms(&self, wait: SilenceWait, now_unix_ms: u64) -> u64 {
        if self.standstill_ms(now_unix_ms) > 0 {
            return READ_FIRST_MS;
        }
        let ended = self.last_standstill.map(|last| last.ended_unix_ms);
        let ended_in_wait = ended.filter(|ended| *ended >= wait.began_unix_ms);
        ended_in_wait.map_or(0, |ended| {
            (ended + READ_FIRST_MS).saturating_sub(now_unix_ms)
        })
    }

    /// Returns the time in which the process ran.
    fn running_ms(&self, now_unix_ms: u64) -> u64 {
        let since_tick_ms = now_unix_ms.saturating_sub(self.last_tick_unix_ms);
        self.running_ms + since_tick_ms - self.standstill_ms(now_unix_ms)
    }

    /// Returns the standstill since the last tick, which the next one records.
    fn standstill_ms(&self, now_unix_ms: u64) -> u64 {
        let since_tick_ms = now_unix_ms.saturating_sub(self.last_tick_unix_ms);
        if since_tick_ms <= TICK_INTERVAL_MS + LATE_TICK_MS {
            return 0;
        }
        since_tick_ms
    }
}
