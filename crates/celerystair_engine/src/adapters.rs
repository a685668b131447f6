//! Adapters of loaded models: it gathers which are loaded and wanted, and carries out what
//! `celerystair_policy` decides.

use celerystair_core::prelude::*;
use celerystair_platform::prelude::*;
use celerystair_policy::{
    adapters::{AdapterOrder, AdapterUse, next_adapter_order},
    prelude::*,
};

use crate::{agent::EngineAgent, dialect::OrderKind};

impl EngineAgent {
    /// Gives the next order for an adapter, if there is one to be given.
    pub(crate) async fn order_adapters(&self, store: &Store, config: &EngineConfig) {
        let uses = self.adapter_uses();
        let now = now_unix_ms();
        let (kind, adapter) = match next_adapter_order(config.adapter_slots, &uses, now) {
            Some(AdapterOrder::Load(adapter)) => (OrderKind::Load, adapter),
            Some(AdapterOrder::Unload(adapter)) => (OrderKind::Unload, adapter),
            None => return,
        };
        self.order(store, kind, &adapter.model, Some(&adapter.adapter))
            .await;
        self.wake();
    }

    /// The adapters of loaded models, loaded or wanted.
    fn adapter_uses(&self) -> Vec<AdapterUse> {
        let (state, wanted) = (self.state.borrow(), self.wanted_unix_ms.borrow());
        let mut uses = Vec::new();
        for loaded in &state.loaded {
            let key = |adapter: &String| (loaded.model.clone(), adapter.clone());
            for adapter in &loaded.adapters {
                uses.push(AdapterUse {
                    model: loaded.model.clone(),
                    adapter: adapter.clone(),
                    last_requested_unix_ms: wanted.get(&key(adapter)).copied().unwrap_or_default(),
                    is_loaded: true,
                });
            }
            let missing = wanted.iter().filter(|((model, adapter), _)| {
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
