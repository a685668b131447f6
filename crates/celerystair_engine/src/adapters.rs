//! Adapters of loaded models: loaded when requests wait for them, dropped when others need the place.

use celerystair_core::prelude::*;
use celerystair_platform::prelude::*;
use celerystair_policy::{prelude::*, replicas::adapter_to_drop};

use crate::{agent::EngineAgent, dialect::OrderKind};

/// An adapter that was wanted within this time makes no room for another.
const ADAPTER_KEEP_MS: u64 = 300;
/// An adapter that was not wanted for so long is not loaded any more.
const FORGET_ADAPTER_MS: u64 = 1500;

impl EngineAgent {
    /// Loads the adapters that requests wait for, and drops what was wanted least lately.
    pub(crate) async fn order_adapters(&self, store: &Store, config: &EngineConfig) {
        let now = now_unix_ms();
        let loaded = self.state.borrow().loaded.clone();
        let has = |model: &ModelName, adapter: &String| {
            let model = loaded.iter().find(|loaded| loaded.model == *model);
            model.map(|model| model.adapters.contains(adapter))
        };
        let wanted = self.wanted_unix_ms.borrow().clone();
        let missing = wanted.iter().find(|((model, adapter), unix_ms)| {
            now < **unix_ms + FORGET_ADAPTER_MS && has(model, adapter) == Some(false)
        });
        let Some(((model, adapter), _)) = missing else {
            return;
        };
        let adapters: Vec<(ModelName, String)> = loaded
            .iter()
            .flat_map(|l| {
                l.adapters
                    .iter()
                    .map(|adapter| (l.model.clone(), adapter.clone()))
            })
            .collect();
        let used = adapters.iter().map(|adapter| {
            let wanted = wanted.get(adapter).copied();
            (adapter, wanted.unwrap_or_default())
        });
        if let Some((old_model, old)) = adapter_to_drop(config, used) {
            let key = (old_model.clone(), old.clone());
            let used_unix_ms = wanted.get(&key).copied().unwrap_or_default();
            if now < used_unix_ms + ADAPTER_KEEP_MS {
                return;
            }
            self.order(store, OrderKind::Unload, old_model, Some(old))
                .await;
        } else {
            self.order(store, OrderKind::Load, model, Some(adapter))
                .await;
        }
        self.wake();
    }
}
