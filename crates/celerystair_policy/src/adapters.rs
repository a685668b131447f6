//! Which adapter an engine loads next, and which one makes room for it. Answers more adapters being
//! asked for at one engine than it has places: one that has just made room must not take its place
//! back from the one that it made room for.

use celerystair_core::prelude::*;

/// An adapter that was wanted within this time makes no room for another: requests for it are on
/// their way.
const KEEP_MS: u64 = 300;
/// An adapter that was not wanted for so long is not loaded any more: who asked for it has left.
const FORGET_MS: u64 = 1500;

/// An adapter of a model that the engine serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdapterUse {
    /// The model.
    pub model: ModelName,
    /// The adapter's name.
    pub adapter: String,
    /// When it was last wanted; 0 if it never was.
    pub last_requested_unix_ms: u64,
    /// Whether it is loaded.
    pub is_loaded: bool,
}

/// What the engine is to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdapterOrder<'a> {
    /// Load this one.
    Load(&'a AdapterUse),
    /// Unload this one.
    Unload(&'a AdapterUse),
}

/// The next order for an engine with places for `adapter_slots` adapters; `None` if every adapter
/// that is wanted is loaded, or none may make room.
pub fn next_adapter_order(
    adapter_slots: usize,
    uses: &[AdapterUse],
    now_unix_ms: u64,
) -> Option<AdapterOrder<'_>> {
    let is_wanted =
        |u: &&AdapterUse| !u.is_loaded && now_unix_ms < u.last_requested_unix_ms + FORGET_MS;
    let latest = |u: &&AdapterUse| (u.last_requested_unix_ms, u.model.clone(), u.adapter.clone());
    let missing = uses.iter().filter(is_wanted).max_by_key(latest)?;
    let loaded = || uses.iter().filter(|u| u.is_loaded);
    if loaded().count() < adapter_slots {
        return Some(AdapterOrder::Load(missing));
    }
    let oldest = loaded().min_by_key(latest)?;
    let is_idle = now_unix_ms >= oldest.last_requested_unix_ms + KEEP_MS;
    // Only for one that was wanted later: else the two would take turns.
    let may_go = is_idle && oldest.last_requested_unix_ms < missing.last_requested_unix_ms;
    may_go.then_some(AdapterOrder::Unload(oldest))
}
