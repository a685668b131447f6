//! When an upstream counts as gone. Answers an outage of the store in which entries expire though
//! their upstreams live: all of them vanish from the list at once, and are back within seconds of
//! the store's return. Answers the loss of all power, too: every upstream starts again at its old
//! address, and its old entry stays in the list for seconds.

use std::net::SocketAddr;

use celerystair_core::prelude::*;

use crate::fleet::UpstreamEntry;

/// An entry that expired in an outage is back within this time of the store's return if its
/// upstream lives; the platform's own figure.
pub const REAPPEARANCE_GRACE_MS: u64 = 2000;
/// A store that could not be reached for less than this has let nothing expire.
const OUTAGE_MIN_MS: u64 = 1000;

/// Upstreams that are missing from the list and may come back.
#[derive(Clone, Debug, Default)]
pub struct MissingUpstreams {
    missing_until_unix_ms: HashMap<UpstreamId, u64>,
    grace_until_unix_ms: u64,
}

impl MissingUpstreams {
    /// Notes that the store answers again after an outage that began at `since_unix_ms`.
    pub fn record_store_recovery(&mut self, since_unix_ms: u64, now_unix_ms: u64) {
        if now_unix_ms.saturating_sub(since_unix_ms) >= OUTAGE_MIN_MS {
            self.grace_until_unix_ms = now_unix_ms + REAPPEARANCE_GRACE_MS;
        }
    }

    /// Notes that `upstream` is missing; whether it is still used for now.
    pub fn is_in_grace_period(&mut self, upstream: &UpstreamId, now_unix_ms: u64) -> bool {
        let grace_until_unix_ms = self.grace_until_unix_ms;
        let until = self
            .missing_until_unix_ms
            .entry(upstream.clone())
            .or_insert(grace_until_unix_ms);
        now_unix_ms < *until
    }

    /// Notes that `upstream` is in the list.
    pub fn record_listed(&mut self, upstream: &UpstreamId) {
        self.missing_until_unix_ms.remove(upstream);
    }

    /// The next time at which a missing upstream counts as gone.
    pub fn next_expiry_unix_ms(&self, now_unix_ms: u64) -> Option<u64> {
        let times = self.missing_until_unix_ms.values().copied();
        times.filter(|time| *time > now_unix_ms).min()
    }
}

/// The entries whose address another one has by now: of those at one address, all but the one that
/// started last. An upstream that has crashed leaves its entry behind until it expires, and whoever
/// sends there reaches the next one.
pub fn replaced_entries<'a>(
    entries: impl IntoIterator<Item = &'a UpstreamEntry>,
) -> HashSet<UpstreamId> {
    let mut latest: HashMap<SocketAddr, &UpstreamEntry> = HashMap::default();
    let mut replaced = HashSet::default();
    for entry in entries {
        let earlier = match latest.get(&entry.address) {
            Some(known) if known.started_unix_ms >= entry.started_unix_ms => Some(entry),
            _ => latest.insert(entry.address, entry),
        };
        replaced.extend(earlier.map(|entry| entry.id.clone()));
    }
    replaced
}
