//! Which requests are refused because they crash upstreams: a request may take down each upstream
//! that runs it while its caller keeps sending it again.
//!
//! An incarnation of an upstream crashes at most once. So the answers that identical requests lose
//! at one incarnation count as one crash at most, also when a broken link loses all of them without
//! any crash. For the same reason, runs of identical requests that overlap in time at one router
//! count once: a broken link or a restarted switch cuts off several upstreams in one moment, while a
//! request that crashes upstreams is sent again only after the crash before.

use celerystair_core::prelude::*;

/// Crashes after which a request is refused.
pub const CRASHES_MAX: u32 = 3;
/// A request is forgotten when it has caused no crash for this long.
const RETENTION_MS: u64 = 120_000;
/// The most requests that are remembered; of those with the fewest crashes, the oldest is dropped
/// first.
const SUSPECTS_MAX: usize = 256;

/// One run of an upstream's process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamIncarnation {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When it started, which tells apart incarnations under the same identifier.
    pub started_unix_ms: u64,
}

/// A run of a request that ended without a complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostRun {
    /// The incarnation that ran the request.
    pub incarnation: UpstreamIncarnation,
    /// When the request was sent.
    pub sent_unix_ms: u64,
    /// When the connection was lost.
    pub ended_unix_ms: u64,
}

impl LostRun {
    fn overlaps(&self, other: &Self) -> bool {
        self.sent_unix_ms < other.ended_unix_ms && other.sent_unix_ms < self.ended_unix_ms
    }
}

/// Requests whose upstream may have crashed while it ran them, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_fingerprint: HashMap<u64, Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Runs at incarnations that ended, or lost an answer; at most [`CRASHES_MAX`].
    runs: Vec<LostRun>,
    forget_unix_ms: u64,
}

/// The number of requests that a [`Suspects`] holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SuspectCounts {
    /// Requests with at least one recorded crash.
    pub remembered: u32,
    /// Those of them that are refused.
    pub refused: u32,
}

impl Suspects {
    /// Records that an incarnation may have crashed while it ran the request, and returns the
    /// number of crashes so far.
    pub fn record_crash(&mut self, fingerprint: u64, run: LostRun, now_unix_ms: u64) -> u32 {
        self.by_fingerprint
            .retain(|_, suspect| suspect.forget_unix_ms > now_unix_ms);
        let is_new = !self.by_fingerprint.contains_key(&fingerprint);
        if is_new && self.by_fingerprint.len() >= SUSPECTS_MAX {
            let suspects = self.by_fingerprint.iter();
            // An upstream that crashes makes suspects of all the requests that it ran, so those with
            // one crash are many, and those near refusal are few.
            let dropped =
                suspects.min_by_key(|(_, suspect)| (suspect.runs.len(), suspect.forget_unix_ms));
            if let Some(dropped) = dropped.map(|(fingerprint, _)| *fingerprint) {
                self.by_fingerprint.remove(&dropped);
            }
        }
        let suspect = self.by_fingerprint.entry(fingerprint).or_insert(Suspect {
            runs: Vec::new(),
            forget_unix_ms: 0,
        });
        suspect.forget_unix_ms = now_unix_ms + RETENTION_MS;
        let is_same_event =
            |known: &LostRun| known.incarnation == run.incarnation || known.overlaps(&run);
        if suspect.runs.len() < CRASHES_MAX as usize && !suspect.runs.iter().any(is_same_event) {
            suspect.runs.push(run);
        }
        suspect.runs.len() as u32
    }

    /// Clears a request that received a complete answer and so doesn't crash upstreams. Returns the
    /// number of crashes that were recorded for it.
    pub fn clear(&mut self, fingerprint: u64) -> u32 {
        let cleared = self.by_fingerprint.remove(&fingerprint);
        cleared.map_or(0, |suspect| suspect.runs.len() as u32)
    }

    /// Returns how many requests are remembered, and how many of them are refused.
    pub fn counts(&self, now_unix_ms: u64) -> SuspectCounts {
        let suspects = self.by_fingerprint.values();
        let remembered = suspects.filter(|suspect| suspect.forget_unix_ms > now_unix_ms);
        let mut counts = SuspectCounts::default();
        for suspect in remembered {
            counts.remembered += 1;
            counts.refused += u32::from(suspect.runs.len() >= CRASHES_MAX as usize);
        }
        counts
    }

    /// Whether the request has caused enough crashes to be refused.
    pub fn is_refused(&self, fingerprint: u64, now_unix_ms: u64) -> bool {
        self.by_fingerprint
            .get(&fingerprint)
            .is_some_and(|suspect| {
                let has_crashed = suspect.runs.len() >= CRASHES_MAX as usize;
                has_crashed && suspect.forget_unix_ms > now_unix_ms
            })
    }
}
