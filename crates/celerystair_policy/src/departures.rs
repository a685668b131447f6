//! When an upstream counts as gone.
//!
//! During an outage of the store, entries expire although their upstreams are alive: all of them
//! vanish from the list at once, and reappear within seconds of the store's recovery. After a loss
//! of all power, every upstream starts again at its old address, and its old entry stays in the
//! list for seconds.
//!
//! A store that comes back from a copy lists upstreams again that have left since. What is known of a
//! run outlives its entry.

use std::{collections::VecDeque, net::SocketAddr};

use celerystair_core::prelude::*;

use crate::{
    fleet::{UpstreamEntry, UpstreamState},
    suspects::UpstreamIncarnation,
};

/// An entry that expired in an outage reappears within this time of the store's recovery if its
/// upstream is alive, as the platform specifies.
pub const REAPPEARANCE_GRACE_MS: u64 = 2000;
/// No entry expires in an outage that is shorter than this.
const OUTAGE_MIN_MS: u64 = 1000;

/// Returns whether an upstream takes new requests, by its entry in the list and by whether it has said
/// itself that it leaves. What it says holds until its process ends, also while the list can't be read.
pub fn upstream_state(listed: UpstreamState, has_announced_departure: bool) -> UpstreamState {
    if has_announced_departure {
        UpstreamState::Draining
    } else {
        listed
    }
}

/// Returns the state of a run that had the state `before` and is now listed otherwise. One that drains
/// takes no requests again, though a store that comes back from a copy lists it as it was.
pub fn state_of_run(before: UpstreamState, listed: UpstreamState) -> UpstreamState {
    match before {
        UpstreamState::Draining => UpstreamState::Draining,
        UpstreamState::Ready => listed,
    }
}

/// Returns whether an entry tells of a run that may be used, when a run of its upstream that started at
/// `known_started_unix_ms` has been seen to leave the list, or to be replaced, before.
///
/// A list that the store brings back from a copy may hold what was removed since, and a start that a
/// later one has replaced. Both are only believed once their upstream has written them again, or after
/// the time in which they would have been removed otherwise. `copy_read_unix_ms` is when the first list
/// after such a return was read, if the entry stood in it as it does now.
pub fn is_entry_believed(
    started_unix_ms: u64,
    known_started_unix_ms: Option<u64>,
    copy_read_unix_ms: Option<u64>,
    entry_life_ms: u64,
    now_unix_ms: u64,
) -> bool {
    let is_new = known_started_unix_ms.is_none_or(|known| started_unix_ms > known);
    let is_written_since = copy_read_unix_ms.is_none_or(|read_unix_ms| {
        let removed_unix_ms = read_unix_ms.saturating_add(entry_life_ms + REAPPEARANCE_GRACE_MS);
        now_unix_ms >= removed_unix_ms
    });
    is_new || is_written_since
}

/// How long after a run has left the list it is remembered what is known of it. A copy of the store is some
/// seconds old, and an upstream that leaves may serve on for many.
const UNLISTED_RETENTION_MS: u64 = 600_000;
/// The most runs that are remembered: those of the largest planned fleet that is replaced as a whole.
const UNLISTED_MAX: usize = 1024;

/// What is known of the runs of upstreams that have left the list. It belongs to a run, which may go on
/// without its entry and may be listed again, and not to the entry.
#[derive(Clone, Debug)]
pub struct UnlistedRuns<T> {
    /// Those first that have left first.
    runs: VecDeque<UnlistedRun<T>>,
}

#[derive(Clone, Debug)]
struct UnlistedRun<T> {
    incarnation: UpstreamIncarnation,
    known: T,
    end_unix_ms: u64,
}

impl<T> Default for UnlistedRuns<T> {
    fn default() -> Self {
        Self {
            runs: VecDeque::new(),
        }
    }
}

impl<T> UnlistedRuns<T> {
    /// Remembers what is known of a run that has left the list.
    pub fn insert(&mut self, incarnation: UpstreamIncarnation, known: T, now_unix_ms: u64) {
        let is_past = |run: &UnlistedRun<T>| now_unix_ms >= run.end_unix_ms;
        while self.runs.len() >= UNLISTED_MAX || self.runs.front().is_some_and(is_past) {
            self.runs.pop_front();
        }
        self.runs.push_back(UnlistedRun {
            incarnation,
            known,
            end_unix_ms: now_unix_ms.saturating_add(UNLISTED_RETENTION_MS),
        });
    }

    /// Returns when the latest run of an upstream started that has left the list.
    pub fn latest_start_unix_ms(&self, upstream: &UpstreamId) -> Option<u64> {
        let runs = self.runs.iter().map(|run| &run.incarnation);
        let own = runs.filter(|incarnation| incarnation.upstream == *upstream);
        own.map(|incarnation| incarnation.started_unix_ms).max()
    }

    /// Returns what is known of a run.
    pub fn get(&self, incarnation: &UpstreamIncarnation) -> Option<&T> {
        let mut runs = self.runs.iter();
        let run = runs.find(|run| run.incarnation == *incarnation)?;
        Some(&run.known)
    }

    /// Takes out what is known of a run that is listed again.
    pub fn take(&mut self, incarnation: &UpstreamIncarnation) -> Option<T> {
        let mut runs = self.runs.iter();
        let index = runs.position(|run| run.incarnation == *incarnation)?;
        self.runs.remove(index).map(|run| run.known)
    }
}

/// Upstreams that are missing from the list, each with a grace period in which it may reappear.
#[derive(Clone, Debug, Default)]
pub struct MissingUpstreams {
    missing_until_unix_ms: HashMap<UpstreamId, u64>,
    grace_until_unix_ms: u64,
}

impl MissingUpstreams {
    /// Records that the store answers again after an outage that began at `since_unix_ms`; starts
    /// the grace period unless the outage was too short for entries to expire.
    pub fn record_store_recovery(&mut self, since_unix_ms: u64, now_unix_ms: u64) {
        if now_unix_ms.saturating_sub(since_unix_ms) >= OUTAGE_MIN_MS {
            self.grace_until_unix_ms = now_unix_ms + REAPPEARANCE_GRACE_MS;
        }
    }

    /// Records that the store has come back from a copy, which may lack entries; starts the grace period.
    pub fn record_restored_copy(&mut self, now_unix_ms: u64) {
        self.grace_until_unix_ms = now_unix_ms + REAPPEARANCE_GRACE_MS;
    }

    /// Records that `upstream` is missing, and returns whether it is still used for now.
    pub fn is_in_grace_period(&mut self, upstream: &UpstreamId, now_unix_ms: u64) -> bool {
        let grace_until_unix_ms = self.grace_until_unix_ms;
        let until = self
            .missing_until_unix_ms
            .entry(upstream.clone())
            .or_insert(grace_until_unix_ms);
        now_unix_ms < *until
    }

    /// Records that `upstream` is gone, or in the list.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.missing_until_unix_ms.remove(upstream);
    }

    /// Returns the next time at which the grace period of a missing upstream ends.
    pub fn next_expiry_unix_ms(&self, now_unix_ms: u64) -> Option<u64> {
        let times = self.missing_until_unix_ms.values().copied();
        times.filter(|time| *time > now_unix_ms).min()
    }
}

/// Clocks of instances differ by a few seconds. A start that is further ahead than this is none that an
/// upstream has had.
const START_AHEAD_MAX_MS: u64 = 60_000;

/// Returns whether an entry tells of an upstream that may have taken over its address from another.
/// One that takes no requests, or that belongs to no service, never shows by its answers that it isn't
/// there, so it may take no other out of use.
pub fn may_take_over(entry: &UpstreamEntry, is_service_known: bool, now_unix_ms: u64) -> bool {
    is_service_known
        && entry.state == UpstreamState::Ready
        && entry.started_unix_ms <= now_unix_ms.saturating_add(START_AHEAD_MAX_MS)
}

/// Returns the superseded entries, each with the one that supersedes it: of those at its address that
/// [may take over](may_take_over), the one that started last, if that is later. A crashed upstream
/// leaves its entry behind until it expires, and requests to that address reach its successor.
pub fn replaced_entries<'a>(
    entries: &[&'a UpstreamEntry],
    may_take_over: impl Fn(&UpstreamEntry) -> bool,
) -> HashMap<&'a UpstreamId, &'a UpstreamId> {
    let mut latest: HashMap<SocketAddr, &UpstreamEntry> = HashMap::default();
    for entry in entries.iter().filter(|entry| may_take_over(entry)) {
        let known = latest.entry(entry.address).or_insert(entry);
        if known.started_unix_ms < entry.started_unix_ms {
            *known = entry;
        }
    }
    let replaced = entries.iter().filter_map(|entry| {
        let later = latest.get(&entry.address)?;
        let is_later = later.started_unix_ms > entry.started_unix_ms;
        is_later.then_some((&entry.id, &later.id))
    });
    replaced.collect()
}
