//! Which requests are refused because they crash upstreams. Answers a request that takes down
//! each upstream that runs it, and that its caller sends again and again.
//!
//! An upstream crashes once in its life: answers that are lost at one life, to callers that send alike,
//! are one crash at most, and a link that breaks under all of them is none.

use celerystair_core::prelude::*;

/// Crashes after which a request is refused.
pub const CRASHES_MAX: u32 = 3;
/// A request is forgotten when it has crashed nothing for so long.
const MEMORY_MS: u64 = 120_000;
/// The most requests that are remembered; the oldest go first.
const REMEMBERED_MAX: usize = 256;

/// One life of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamIncarnation {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When it was born; it may start again under the same name.
    pub started_unix_ms: u64,
}

/// Requests that were running when their upstream went, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_fingerprint: HashMap<u64, Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// The lives that ended, or lost an answer, while it ran; at most [`CRASHES_MAX`].
    lives: Vec<UpstreamIncarnation>,
    forget_unix_ms: u64,
}

impl Suspects {
    /// Notes a life that may have ended while the request ran; gives how many those are by now.
    pub fn record_crash(
        &mut self,
        fingerprint: u64,
        life: UpstreamIncarnation,
        now_unix_ms: u64,
    ) -> u32 {
        self.by_fingerprint
            .retain(|_, suspect| suspect.forget_unix_ms > now_unix_ms);
        if self.by_fingerprint.len() >= REMEMBERED_MAX {
            let suspects = self.by_fingerprint.iter();
            let oldest = suspects.min_by_key(|(_, suspect)| suspect.forget_unix_ms);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.by_fingerprint.remove(&oldest);
            }
        }
        let suspect = self.by_fingerprint.entry(fingerprint).or_insert(Suspect {
            lives: Vec::new(),
            forget_unix_ms: 0,
        });
        suspect.forget_unix_ms = now_unix_ms + MEMORY_MS;
        if suspect.lives.len() < CRASHES_MAX as usize && !suspect.lives.contains(&life) {
            suspect.lives.push(life);
        }
        suspect.lives.len() as u32
    }

    /// Notes that such a request was answered whole: it crashes nothing.
    pub fn clear(&mut self, fingerprint: u64) {
        self.by_fingerprint.remove(&fingerprint);
    }

    /// Whether the request is refused.
    pub fn is_refused(&self, fingerprint: u64, now_unix_ms: u64) -> bool {
        self.by_fingerprint
            .get(&fingerprint)
            .is_some_and(|suspect| {
                let has_crashed = suspect.lives.len() >= CRASHES_MAX as usize;
                has_crashed && suspect.forget_unix_ms > now_unix_ms
            })
    }
}
