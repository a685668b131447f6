//! Which adapter an engine loads next, and which one it evicts for that. When more adapters are
//! requested at one engine than fit, an evicted adapter must not evict the one that replaced it in
//! turn.

use celerystair_core::prelude::*;

/// An adapter that was requested within this time is not evicted: requests for it are on their way.
const EVICTION_PROTECTION_MS: u64 = 300;
/// An adapter that was not requested for this long is not loaded any more: its callers have left.
const REQUEST_EXPIRY_MS: u64 = 1500;

/// An adapter of a model that the engine serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdapterUse {
    /// The model.
    pub model: ModelName,
    /// The adapter's name.
    pub adapter: String,
    /// When it was last requested; 0 if it never was.
    pub last_requested_unix_ms: u64,
    /// Whether it is loaded.
    pub is_loaded: bool,
}

/// The next order for an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdapterOrder<'a> {
    /// Load this adapter.
    Load(&'a AdapterUse),
    /// Unload this adapter.
    Unload(&'a AdapterUse),
}

/// Returns the next order for an engine that holds up to `adapter_slots` adapters, or `None` if
/// every requested adapter is loaded or none may be evicted.
pub fn next_adapter_order(
    adapter_slots: usize,
    uses: &[AdapterUse],
    now_unix_ms: u64,
) -> Option<AdapterOrder<'_>> {
    let is_requested = |u: &&AdapterUse| {
        !u.is_loaded && now_unix_ms < u.last_requested_unix_ms + REQUEST_EXPIRY_MS
    };
    let latest = |u: &&AdapterUse| (u.last_requested_unix_ms, u.model.clone(), u.adapter.clone());
    let missing = uses.iter().filter(is_requested).max_by_key(latest)?;
    let loaded = || uses.iter().filter(|u| u.is_loaded);
    if loaded().count() < adapter_slots {
        return Some(AdapterOrder::Load(missing));
    }
    let oldest = loaded().min_by_key(latest)?;
    let is_idle = now_unix_ms >= oldest.last_requested_unix_ms + EVICTION_PROTECTION_MS;
    // Only for an adapter that was requested later; otherwise the two would evict each other in
    // turn.
    let is_evictable = is_idle && oldest.last_requested_unix_ms < missing.last_requested_unix_ms;
    is_evictable.then_some(AdapterOrder::Unload(oldest))
}
