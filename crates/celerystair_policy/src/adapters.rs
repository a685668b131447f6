//! Which adapter an engine loads next, and which one it evicts for that. An engine that is ordered to load
//! more than it has places or memory for crashes. When more adapters are requested at one engine than fit,
//! an evicted adapter must not evict the one that replaced it in turn.

use celerystair_core::prelude::*;

use crate::fleet::{EngineConfig, ModelConfig};

/// An adapter that was requested within this time is not evicted: requests for it are on their way.
const EVICTION_PROTECTION_MS: u64 = 300;
/// An adapter that was not requested for this long is not loaded any more: its callers have left.
const REQUEST_EXPIRY_MS: u64 = 1500;

/// An adapter of a model that the engine serves.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterUse {
    /// The model.
    pub model: ModelName,
    /// The adapter's name.
    pub adapter: String,
    /// The accelerator memory that it takes, in megabytes.
    pub memory_mb: f64,
    /// When it was last requested; 0 if it never was.
    pub last_requested_unix_ms: u64,
    /// Whether it is loaded.
    pub is_loaded: bool,
}

/// The next order for an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdapterOrder<'a> {
    /// Load this adapter.
    Load(&'a AdapterUse),
    /// Unload this adapter.
    Unload(&'a AdapterUse),
}

/// What an engine has room for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdapterRoom {
    /// The most adapters that it holds.
    pub slots: usize,
    /// Accelerator memory for adapters, in megabytes.
    pub memory_mb: f64,
}

/// Returns the room for adapters beside the models that an engine holds now, and beside those that it holds
/// once the load in progress is done. There is no memory if the size of a model isn't known.
pub fn adapter_room<'a>(
    config: &EngineConfig,
    models: impl Iterator<Item = &'a ModelName>,
    models_planned: impl Iterator<Item = &'a ModelName>,
) -> AdapterRoom {
    let size_mb = |model: &ModelName| {
        let model = config.models.get(model);
        model.map_or(f64::INFINITY, |model| model.weights_mb)
    };
    let now_mb: f64 = models.map(size_mb).sum();
    let planned_mb: f64 = models_planned.map(size_mb).sum();
    AdapterRoom {
        slots: config.adapter_slots,
        memory_mb: (config.weights_mb - now_mb.max(planned_mb)).max(0.0),
    }
}

impl AdapterRoom {
    /// Returns whether an adapter of the model fits if all others are evicted.
    pub fn fits(&self, model: &ModelConfig) -> bool {
        self.slots > 0 && model.adapter_mb <= self.memory_mb
    }
}

/// Returns whether an engine that holds no other model can hold this one, and one of its adapters if
/// `with_adapter` is set. A model that isn't configured can't be loaded.
pub fn fits_alone(config: &EngineConfig, model: &ModelName, with_adapter: bool) -> bool {
    let alone = || std::iter::once(model);
    config.models.get(model).is_some_and(|known| {
        known.weights_mb <= config.weights_mb
            && (!with_adapter || adapter_room(config, alone(), alone()).fits(known))
    })
}

/// Returns the next order for an engine with this room for adapters, or `None` if every requested adapter
/// is loaded or none may be evicted.
pub fn next_adapter_order(
    room: AdapterRoom,
    uses: &[AdapterUse],
    now_unix_ms: u64,
) -> Option<AdapterOrder<'_>> {
    let is_requested = |u: &&AdapterUse| {
        !u.is_loaded && now_unix_ms < u.last_requested_unix_ms + REQUEST_EXPIRY_MS
    };
    let latest = |u: &&AdapterUse| (u.last_requested_unix_ms, u.model.clone(), u.adapter.clone());
    let missing = uses.iter().filter(is_requested).max_by_key(latest)?;
    let loaded = || uses.iter().filter(|u| u.is_loaded);
    let (count, memory_mb) = (loaded().count(), loaded().map(|u| u.memory_mb).sum::<f64>());
    let fits = |count: usize, memory_mb: f64| {
        count < room.slots && memory_mb + missing.memory_mb <= room.memory_mb
    };
    if fits(count, memory_mb) {
        return Some(AdapterOrder::Load(missing));
    }
    // Only for an adapter that was requested later; otherwise the two would evict each other in
    // turn.
    let is_evictable = |u: &&AdapterUse| {
        let is_idle = now_unix_ms >= u.last_requested_unix_ms + EVICTION_PROTECTION_MS;
        is_idle && u.last_requested_unix_ms < missing.last_requested_unix_ms
    };
    let evictable = || loaded().filter(is_evictable);
    let evictable_mb: f64 = evictable().map(|u| u.memory_mb).sum();
    // No adapter is given up for one that doesn't fit then either.
    if !fits(
        count.saturating_sub(evictable().count()),
        memory_mb - evictable_mb,
    ) {
        return None;
    }
    evictable().min_by_key(latest).map(AdapterOrder::Unload)
}
