//! The engine's orders: load, load an adapter, unload, prefetch.

use std::rc::Rc;

use celerystair_core::prelude::*;
use celerystair_net::{json::json_response, prelude::HttpResponse};
use celerystair_protocol::engine_api::{
    AdapterOrder, LoadOrder, STATUS_FENCED, STATUS_NO_MEMORY, STATUS_ORDER_EXPIRED, UnloadOrder,
};
use event_listener::Event;
use serde::de::DeserializeOwned;

use super::{Engine, Replica, cut_answer};
use crate::weights::FetchRequest;

/// Why an order is refused, as a status.
type Refused = u16;

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    serde_json::from_slice(body).map_err(|_| 400)
}

fn answer(result: Result<(), Refused>) -> HttpResponse {
    match result {
        Ok(()) => json_response(200, &true),
        Err(0) => cut_answer(),
        Err(status) => json_response(status, &false),
    }
}

/// The answer is cut off: the engine crashed while the order was carried out, or the answer is
/// lost.
const CRASHED: Refused = 0;

impl Engine {
    pub(super) async fn order_load(self: &Rc<Self>, body: &[u8]) -> HttpResponse {
        let result = async {
            let order: LoadOrder = parse(body)?;
            self.check_order(order.fence, order.deadline_unix_ms)?;
            let changed = self.take_memory(&order)?;
            if let Some(fresh) = changed.fresh {
                // The load goes on when the one who ordered it is gone.
                let engine = self.clone();
                let boot = self.boot.get();
                let order = order.clone();
                compio::runtime::spawn(async move {
                    engine.load(&order, boot).await;
                    fresh.notify(usize::MAX);
                })
                .detach();
                // The load above counts itself when its task first runs.
                if self.loads.get() + 1 == self.settings.lose_load_answer {
                    return Err(CRASHED);
                }
            }
            self.wait_until(&order.model, |replica| replica.loaded_unix_ms.is_some())
                .await
        };
        answer(result.await)
    }

    pub(super) async fn order_adapter(&self, body: &[u8]) -> HttpResponse {
        let result = async {
            let order: AdapterOrder = parse(body)?;
            self.check_order(order.fence, order.deadline_unix_ms)?;
            let boot = self.boot.get();
            self.fetch(0).await;
            let mut replicas = self.replicas.borrow_mut();
            let replica = replicas.get_mut(&order.model).ok_or(404_u16)?;
            if boot != self.boot.get() {
                return Err(CRASHED);
            }
            replica.adapters.insert(order.adapter);
            Ok(())
        };
        answer(result.await)
    }

    pub(super) async fn order_unload(&self, body: &[u8]) -> HttpResponse {
        let result = async {
            let order: UnloadOrder = parse(body)?;
            self.check_order(order.fence, order.deadline_unix_ms)?;
            match self.replicas.borrow_mut().get_mut(&order.model) {
                Some(replica) => replica.unloading = true,
                None => return Ok(()),
            }
            let boot = self.boot.get();
            sleep_ms(self.settings.unload_ms).await;
            if boot != self.boot.get() {
                return Err(CRASHED);
            }
            if let Some(replica) = self.replicas.borrow_mut().remove(&order.model) {
                self.note_time(&replica);
                self.witness.replica_freed(&order.model, self.address);
                replica.changed.notify(usize::MAX);
            }
            Ok(())
        };
        answer(result.await)
    }

    pub(super) async fn order_prefetch(&self, body: &[u8]) -> HttpResponse {
        let result = async {
            let order: LoadOrder = parse(body)?;
            if !self
                .in_memory
                .borrow()
                .iter()
                .any(|(model, _)| *model == order.model)
            {
                self.fetch_to_host(&order).await;
            }
            Ok(())
        };
        answer(result.await)
    }

    fn check_order(&self, fence: u64, deadline_unix_ms: u64) -> Result<(), Refused> {
        if self.settings.checks_orders && fence < self.fence.get() {
            return Err(STATUS_FENCED);
        }
        if now_unix_ms() > deadline_unix_ms {
            return Err(STATUS_ORDER_EXPIRED);
        }
        if fence < self.fence.get() {
            self.witness.stale_order();
        }
        self.fence.set(self.fence.get().max(fence));
        Ok(())
    }

    /// Takes memory for the order unless the replica has it already.
    fn take_memory(&self, order: &LoadOrder) -> Result<Taken, Refused> {
        let mut replicas = self.replicas.borrow_mut();
        if replicas.contains_key(&order.model) {
            return Ok(Taken { fresh: None });
        }
        let used: u64 = replicas.values().map(|replica| replica.memory_bytes).sum();
        if used + order.memory_bytes > self.settings.memory_bytes {
            self.overcommit_faults.set(self.overcommit_faults.get() + 1);
            self.witness.overcommit();
            return Err(STATUS_NO_MEMORY);
        }
        let changed = Rc::new(Event::new());
        replicas.insert(
            order.model.clone(),
            Replica {
                version: order.version.clone(),
                memory_bytes: order.memory_bytes,
                loaded_unix_ms: None,
                unloading: false,
                adapters: HashSet::default(),
                running: 0,
                idle_since_unix_ms: now_unix_ms(),
                idle_ms: 0,
                changed: changed.clone(),
            },
        );
        self.witness.replica_taken(&order.model, self.address);
        Ok(Taken {
            fresh: Some(changed),
        })
    }

    async fn load(&self, order: &LoadOrder, boot: u64) {
        self.loads.set(self.loads.get() + 1);
        let crashes = self.loads.get() == self.settings.crash_in_load;
        if crashes {
            sleep_ms(self.transfer_ms(order.checkpoint_bytes) / 2).await;
            if boot == self.boot.get() {
                self.crash();
            }
            return;
        }
        if !self
            .in_memory
            .borrow()
            .iter()
            .any(|(model, _)| *model == order.model)
        {
            self.fetch_to_host(order).await;
        }
        sleep_ms(self.transfer_ms(order.checkpoint_bytes)).await;
        if boot != self.boot.get() {
            return;
        }
        if let Some(replica) = self.replicas.borrow_mut().get_mut(&order.model) {
            replica.loaded_unix_ms = Some(now_unix_ms());
            replica.idle_since_unix_ms = now_unix_ms();
        }
    }

    fn transfer_ms(&self, bytes: u64) -> u64 {
        bytes * 1000 / self.settings.memory_bytes_per_second
    }

    async fn fetch_to_host(&self, order: &LoadOrder) {
        if self.on_disk.borrow().contains(&order.model) || self.settings.weights_url.is_none() {
            sleep_ms(order.checkpoint_bytes * 1000 / self.settings.disk_bytes_per_second).await;
        } else {
            self.fetch(order.checkpoint_bytes).await;
            self.on_disk.borrow_mut().insert(order.model.clone());
        }
        let mut in_memory = self.in_memory.borrow_mut();
        in_memory.retain(|(model, _)| *model != order.model);
        in_memory.push((order.model.clone(), order.checkpoint_bytes));
        let mut total: u64 = in_memory.iter().map(|(_, bytes)| bytes).sum();
        while total > self.settings.host_memory_bytes {
            total -= in_memory.remove(0).1;
        }
    }

    /// Fetches a checkpoint, or an adapter if `checkpoint_bytes` is 0, from the weight store.
    async fn fetch(&self, checkpoint_bytes: u64) {
        let Some(url) = &self.settings.weights_url else {
            return;
        };
        let body = serde_json::to_vec(&FetchRequest { checkpoint_bytes }).unwrap_or_default();
        if let Ok(request) = self.client.post(format!("{url}/fetch"))
            && let Ok(response) = request.body(body).send().await
        {
            response.bytes().await.ok();
        }
    }

    async fn wait_until(
        &self,
        model: &ModelName,
        holds: impl Fn(&Replica) -> bool,
    ) -> Result<(), Refused> {
        loop {
            let listener = match self.replicas.borrow().get(model) {
                None => return Err(CRASHED),
                Some(replica) if holds(replica) => return Ok(()),
                Some(replica) => replica.changed.listen(),
            };
            listener.await;
        }
    }
}

/// Memory was taken; `fresh` is the event of a load that is still to be begun.
struct Taken {
    fresh: Option<Rc<Event>>,
}
