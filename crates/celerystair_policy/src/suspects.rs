//! Which requests are refused because they crash upstreams. Answers a request that takes down
//! each upstream that runs it, and that its caller sends again and again.

use celerystair_core::prelude::*;

/// Crashes after which a request is refused.
pub const CRASHES_MAX: u32 = 3;
/// A request is forgotten when it has crashed nothing for so long.
const MEMORY_MS: u64 = 120_000;
/// The most requests that are remembered; the oldest go first.
const REMEMBERED_MAX: usize = 256;

/// Requests that were running when their upstream crashed, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    crashes: HashMap<u64, Suspect>,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u32,
    forget_unix_ms: u64,
}

impl Suspects {
    /// Counts a crash while the request ran; gives the count.
    pub fn note_crash(&mut self, fingerprint: u64, now_unix_ms: u64) -> u32 {
        self.crashes
            .retain(|_, suspect| suspect.forget_unix_ms > now_unix_ms);
        if self.crashes.len() >= REMEMBERED_MAX {
            let oldest = self.crashes.iter().min_by_key(|(_, s)| s.forget_unix_ms);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.crashes.remove(&oldest);
            }
        }
        let suspect = self.crashes.entry(fingerprint).or_insert(Suspect {
            crashes: 0,
            forget_unix_ms: 0,
        });
        suspect.crashes += 1;
        suspect.forget_unix_ms = now_unix_ms + MEMORY_MS;
        suspect.crashes
    }

    /// Notes that such a request was answered whole: it crashes nothing.
    pub fn clear(&mut self, fingerprint: u64) {
        self.crashes.remove(&fingerprint);
    }

    /// Whether the request is refused.
    pub fn is_refused(&self, fingerprint: u64, now_unix_ms: u64) -> bool {
        self.crashes.get(&fingerprint).is_some_and(|suspect| {
            suspect.crashes >= CRASHES_MAX && suspect.forget_unix_ms > now_unix_ms
        })
    }
}
