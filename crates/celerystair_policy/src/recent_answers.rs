//! What got proven answers lately: requests, or parts of prompts. Those that upstreams answered before
//! need more evidence until they are taken for the cause of a crash.

use std::hash::Hash;

use celerystair_core::prelude::*;

/// The most keys in each of the two generations.
const GENERATION_MAX: usize = 32 * 1024;

/// Keys that got proven answers, and when the latest of these answers began. Of two generations, the
/// older is dropped as a whole when the younger is full.
#[derive(Clone, Debug)]
pub struct RecentAnswers<K> {
    young: HashMap<K, u64>,
    old: HashMap<K, u64>,
}

impl<K> Default for RecentAnswers<K> {
    fn default() -> Self {
        Self {
            young: HashMap::default(),
            old: HashMap::default(),
        }
    }
}

impl<K: Copy + Eq + Hash> RecentAnswers<K> {
    /// Records an answer that began at `began_unix_ms`.
    pub fn insert(&mut self, key: K, began_unix_ms: u64) {
        let known = self.young.entry(key).or_default();
        *known = began_unix_ms.max(*known);
        if self.young.len() >= GENERATION_MAX {
            self.old = std::mem::take(&mut self.young);
        }
    }

    /// Returns when the latest known answer began.
    pub fn get(&self, key: K) -> Option<u64> {
        let times = [self.young.get(&key), self.old.get(&key)];
        times.into_iter().flatten().max().copied()
    }
}
