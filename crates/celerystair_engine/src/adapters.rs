//! Loading and unloading of adapters: collects which adapters are loaded and which are requested,
//! and sends the order that `celerystair_policy` decides on.

use celerystair_core::prelude::*;
use celerystair_platform::prelude::*;
use celerystair_policy::{
    adapters::{AdapterOrder, AdapterUse, next_adapter_order},
    prelude::*,
};

use crate::{agent::EngineAgent, dialect::OrderKind};

impl EngineAgent {
    /// Sends the next order for an adapter, if one is due.
    pub(crate) async fn send_adapter_order(&self, store: &Store, config: &EngineConfig) {
        let uses = self.adapter_uses();
        let now = now_unix_ms();
        let (kind, adapter) = match next_adapter_order(config.adapter_slots, &uses, now) {
            Some(AdapterOrder::Load(adapter)) => (OrderKind::Load, adapter),
            Some(AdapterOrder::Unload(adapter)) => (OrderKind::Unload, adapter),
            None => return,
        };
        self.send_order(store, kind, &adapter.model, Some(&adapter.adapter))
            .await;
        self.wake();
    }

    /// Lists the adapters of loaded models that are loaded or requested.
    fn adapter_uses(&self) -> Vec<AdapterUse> {
        let (state, requested) = (
            self.engine_state.borrow(),
            self.adapter_requested_unix_ms.borrow(),
        );
        let mut uses = Vec::new();
        for loaded in &state.loaded {
            let key = |adapter: &String| (loaded.model.clone(), adapter.clone());
            for adapter in &loaded.adapters {
                uses.push(AdapterUse {
                    model: loaded.model.clone(),
                    adapter: adapter.clone(),
                    last_requested_unix_ms: requested
                        .get(&key(adapter))
                        .copied()
                        .unwrap_or_default(),
                    is_loaded: true,
                });
            }
            let missing = requested.iter().filter(|((model, adapter), _)| {
                *model == loaded.model && !loaded.adapters.contains(adapter)
            });
            uses.extend(missing.map(|((model, adapter), unix_ms)| AdapterUse {
                model: model.clone(),
                adapter: adapter.clone(),
                last_requested_unix_ms: *unix_ms,
                is_loaded: false,
            }));
        }
        uses
    }
}
