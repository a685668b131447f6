//! Orders that the engine carries out: load, load an adapter, unload and prefetch.

use std::rc::Rc;

use celerystair_core::prelude::*;
use celerystair_net::{json::json_response, prelude::HttpResponse};
use celerystair_protocol::engine_api::{
    AdapterOrder, LoadOrder, STATUS_FENCED, STATUS_NO_MEMORY, STATUS_ORDER_EXPIRED, UnloadOrder,
};
use event_listener::Event;
use serde::de::DeserializeOwned;

use super::{Engine, Replica, aborted_response};
use crate::weights::FetchRequest;

/// HTTP status of a refused order, or [`NO_RESPONSE`].
type RefusalStatus = u16;

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, RefusalStatus> {
    serde_json::from_slice(body).map_err(|_| 400)
}

fn to_response(result: Result<(), RefusalStatus>) -> HttpResponse {
    match result {
        Ok(()) => json_response(200, &true),
        Err(0) => aborted_response(),
        Err(status) => json_response(status, &false),
    }
}

/// Stands for an aborted response, because the engine crashed while it carried out the order or
/// because a fault loses the response.
const NO_RESPONSE: RefusalStatus = 0;

impl Engine {
    pub(super) async fn handle_load_order(self: &Rc<Self>, body: &[u8]) -> HttpResponse {
        let result = async {
            let order: LoadOrder = parse(body)?;
            self.check_order(order.fence, order.deadline_unix_ms)?;
            let reservation = self.reserve_memory(&order)?;
            if let Some(new_load) = reservation.new_load {
                // The load runs in its own task, so that it continues when its caller disconnects.
                let engine = self.clone();
                let boot = self.boot.get();
                let order = order.clone();
                compio::runtime::spawn(async move {
                    engine.load(&order, boot).await;
                    new_load.notify(usize::MAX);
                })
                .detach();
                // The spawned task counts the load only when it first runs, hence the + 1.
                if self.loads.get() + 1 == self.settings.lose_load_answer {
                    return Err(NO_RESPONSE);
                }
            }
            self.wait_until(&order.model, |replica| replica.loaded_unix_ms.is_some())
                .await
        };
        to_response(result.await)
    }

    pub(super) async fn handle_adapter_order(&self, body: &[u8]) -> HttpResponse {
        let result = async {
            let order: AdapterOrder = parse(body)?;
            self.check_order(order.fence, order.deadline_unix_ms)?;
            let boot = self.boot.get();
            self.fetch_from_store(0).await;
            let mut replicas = self.replicas.borrow_mut();
            let replica = replicas.get_mut(&order.model).ok_or(404_u16)?;
            if boot != self.boot.get() {
                return Err(NO_RESPONSE);
            }
            replica.adapters.insert(order.adapter);
            Ok(())
        };
        to_response(result.await)
    }

    pub(super) async fn handle_unload_order(&self, body: &[u8]) -> HttpResponse {
        let result = async {
            let order: UnloadOrder = parse(body)?;
            self.check_order(order.fence, order.deadline_unix_ms)?;
            match self.replicas.borrow_mut().get_mut(&order.model) {
                Some(replica) => replica.is_unloading = true,
                None => return Ok(()),
            }
            let boot = self.boot.get();
            sleep_ms(self.settings.unload_ms).await;
            if boot != self.boot.get() {
                return Err(NO_RESPONSE);
            }
            if let Some(replica) = self.replicas.borrow_mut().remove(&order.model) {
                self.record_loaded_time(&replica);
                self.witness
                    .record_replica_freed(&order.model, self.address);
                replica.changed.notify(usize::MAX);
            }
            Ok(())
        };
        to_response(result.await)
    }

    pub(super) async fn handle_prefetch_order(&self, body: &[u8]) -> HttpResponse {
        let result = async {
            let order: LoadOrder = parse(body)?;
            if !self
                .in_memory
                .borrow()
                .iter()
                .any(|(model, _)| *model == order.model)
            {
                self.fetch_to_host_memory(&order).await;
            }
            Ok(())
        };
        to_response(result.await)
    }

    fn check_order(&self, fence: u64, deadline_unix_ms: u64) -> Result<(), RefusalStatus> {
        if self.settings.checks_orders && fence < self.fence.get() {
            return Err(STATUS_FENCED);
        }
        if now_unix_ms() > deadline_unix_ms {
            return Err(STATUS_ORDER_EXPIRED);
        }
        if fence < self.fence.get() {
            self.witness.record_stale_order();
        }
        self.fence.set(self.fence.get().max(fence));
        Ok(())
    }

    /// Reserves accelerator memory for the load, unless the model already has a replica.
    fn reserve_memory(&self, order: &LoadOrder) -> Result<Reservation, RefusalStatus> {
        let mut replicas = self.replicas.borrow_mut();
        if replicas.contains_key(&order.model) {
            return Ok(Reservation { new_load: None });
        }
        let used: u64 = replicas.values().map(|replica| replica.memory_bytes).sum();
        if used + order.memory_bytes > self.settings.memory_bytes {
            self.overcommit_faults.set(self.overcommit_faults.get() + 1);
            self.witness.record_overcommit();
            return Err(STATUS_NO_MEMORY);
        }
        let changed = Rc::new(Event::new());
        replicas.insert(
            order.model.clone(),
            Replica {
                version: order.version.clone(),
                memory_bytes: order.memory_bytes,
                loaded_unix_ms: None,
                is_unloading: false,
                adapters: HashSet::default(),
                running: 0,
                idle_since_unix_ms: now_unix_ms(),
                idle_ms: 0,
                changed: changed.clone(),
            },
        );
        self.witness
            .record_replica_allocated(&order.model, self.address);
        Ok(Reservation {
            new_load: Some(changed),
        })
    }

    async fn load(&self, order: &LoadOrder, boot: u64) {
        self.loads.set(self.loads.get() + 1);
        let is_crashing = self.loads.get() == self.settings.crash_in_load;
        if is_crashing {
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
            self.fetch_to_host_memory(order).await;
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

    async fn fetch_to_host_memory(&self, order: &LoadOrder) {
        if self.on_disk.borrow().contains(&order.model) || self.settings.weights_url.is_none() {
            sleep_ms(order.checkpoint_bytes * 1000 / self.settings.disk_bytes_per_second).await;
        } else {
            self.fetch_from_store(order.checkpoint_bytes).await;
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
    async fn fetch_from_store(&self, checkpoint_bytes: u64) {
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

    /// Waits until the model's replica meets `condition`; fails if the replica goes away.
    async fn wait_until(
        &self,
        model: &ModelName,
        condition: impl Fn(&Replica) -> bool,
    ) -> Result<(), RefusalStatus> {
        loop {
            let listener = match self.replicas.borrow().get(model) {
                None => return Err(NO_RESPONSE),
                Some(replica) if condition(replica) => return Ok(()),
                Some(replica) => replica.changed.listen(),
            };
            listener.await;
        }
    }
}

/// Memory that a load may use. `new_load` is set if the replica is new and its load must still be
/// started; it is to be notified when that load ends.
struct Reservation {
    new_load: Option<Rc<Event>>,
}
