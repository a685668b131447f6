//! Loading and unloading of adapters: collects which adapters are loaded and which are requested,
//! and sends the order that `celerystair_policy` decides on.

use celerystair_core::prelude::*;
use celerystair_platform::prelude::*;
use celerystair_policy::{
    adapters::{AdapterOrder, AdapterRoom, AdapterUse, adapter_room, next_adapter_order},
    prelude::*,
};

use crate::{agent::EngineAgent, dialect::OrderKind};

impl EngineAgent {
    /// Sends the next order for an adapter, if one is due.
    pub(crate) async fn send_adapter_order(&self, store: &Store, config: &EngineConfig) {
        let (uses, room) = (self.adapter_uses(config), self.adapter_room(config));
        let now = now_unix_ms();
        let (kind, adapter) = match next_adapter_order(room, &uses, now) {
            Some(AdapterOrder::Load(adapter)) => (OrderKind::Load, adapter),
            Some(AdapterOrder::Unload(adapter)) => (OrderKind::Unload, adapter),
            None => return,
        };
        self.send_order(store, kind, &adapter.model, Some(&adapter.adapter))
            .await;
        self.wake();
    }

    fn adapter_room(&self, config: &EngineConfig) -> AdapterRoom {
        let (state, plan) = (self.engine_state.borrow(), self.plan.borrow());
        let order = plan.as_ref().map(|plan| &plan.order);
        let models = || state.loaded.iter().map(|loaded| &loaded.model);
        let is_kept = |model: &&ModelName| {
            order.is_none_or(|order| order.load != **model && !order.unload.contains(model))
        };
        let planned = models()
            .filter(is_kept)
            .chain(order.map(|order| &order.load));
        adapter_room(config, models(), planned)
    }

    /// Lists the adapters of loaded models that are loaded or requested.
    fn adapter_uses(&self, config: &EngineConfig) -> Vec<AdapterUse> {
        let (state, requested) = (
            self.engine_state.borrow(),
            self.adapter_requested_unix_ms.borrow(),
        );
        let mut uses = Vec::new();
        for loaded in &state.loaded {
            let model = config.models.get(&loaded.model);
            let memory_mb = model.map_or(0.0, |model| model.adapter_mb);
            let key = |adapter: &String| (loaded.model.clone(), adapter.clone());
            for adapter in &loaded.adapters {
                uses.push(AdapterUse {
                    model: loaded.model.clone(),
                    adapter: adapter.clone(),
                    memory_mb,
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
                memory_mb,
                last_requested_unix_ms: *unix_ms,
                is_loaded: false,
            }));
        }
        uses
    }
}
