//! Adapters of a loaded replica. All requests for an adapter share one load.

use std::{cell::Cell, rc::Rc};

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_protocol::engine_api::AdapterOrder;
use event_listener::Event as Signal;

use crate::{
    agent::Agent,
    claim::order_fence,
    engine::{EngineClient, OrderError},
    permits::acquire_adapter_permit,
    replicas::Replica,
};

/// The load of one adapter, in progress or ended.
#[derive(Default)]
pub struct AdapterLoad {
    is_loaded: Cell<bool>,
    has_ended: Cell<bool>,
    changed: Signal,
}

impl AdapterLoad {
    /// Creates the load of an adapter that the engine reports as loaded.
    pub fn already_loaded() -> Rc<Self> {
        let load = Self::default();
        load.finish(true);
        Rc::new(load)
    }

    fn finish(&self, is_loaded: bool) {
        self.is_loaded.set(is_loaded);
        self.has_ended.set(true);
        self.changed.notify(usize::MAX);
    }
}

/// Waits until the adapter is loaded on the replica. Starts a load if there is none.
///
/// # Errors
/// A refusal: nothing of the request has run.
pub async fn ensure_adapter_loaded(
    agent: &Agent,
    engine: &EngineClient,
    replica: &Replica,
    adapter: &str,
    deadline_unix_ms: u64,
) -> Result<(), Refusal> {
    let existing = replica.adapters.borrow().get(adapter).cloned();
    let load = match existing {
        Some(load) => load,
        None => begin_load(agent, engine, replica, adapter, deadline_unix_ms)?,
    };
    let work = async {
        while !load.has_ended.get() {
            let changed = load.changed.listen();
            if !load.has_ended.get() {
                changed.await;
            }
        }
    };
    let in_time = before_deadline(deadline_unix_ms, work).await.is_some();
    if load.is_loaded.get() {
        return Ok(());
    }
    let detail = format!(
        "adapter {adapter} of model {} was not loaded",
        replica.model
    );
    let reason = if in_time {
        RefusalReason::LoadFailed
    } else {
        RefusalReason::DeadlineExceeded
    };
    Err(Refusal::not_run(reason, detail))
}

fn begin_load(
    agent: &Agent,
    engine: &EngineClient,
    replica: &Replica,
    adapter: &str,
    deadline_unix_ms: u64,
) -> Result<Rc<AdapterLoad>, Refusal> {
    if order_fence(agent).is_none() {
        let detail = "the agent has no active claim on its upstream and can't order loads";
        return Err(Refusal::not_run(RefusalReason::StoreUnavailable, detail));
    }
    let load = Rc::new(AdapterLoad::default());
    replica
        .adapters
        .borrow_mut()
        .insert(adapter.to_owned(), load.clone());
    let (agent, engine, running_load) = (agent.clone(), engine.clone(), load.clone());
    let (model, adapter) = (replica.model.clone(), adapter.to_owned());
    compio::runtime::spawn(async move {
        let outcome = load_under_permit(&agent, &engine, &model, &adapter, deadline_unix_ms).await;
        if outcome.is_err()
            && let Some(replica) = agent.replicas.get(&model)
        {
            replica.adapters.borrow_mut().remove(&adapter);
        }
        running_load.finish(outcome.is_ok());
    })
    .detach();
    Ok(load)
}

/// Waits for a permit, with the deadline of the request that started the load, then orders the
/// load.
async fn load_under_permit(
    agent: &Agent,
    engine: &EngineClient,
    model: &ModelName,
    adapter: &str,
    deadline_unix_ms: u64,
) -> Result<(), OrderError> {
    let _permit = acquire_adapter_permit(agent, deadline_unix_ms).await;
    let order = AdapterOrder {
        model: model.clone(),
        adapter: adapter.to_owned(),
        fence: order_fence(agent).ok_or(OrderError::NoClaim)?,
        deadline_unix_ms: now_unix_ms() + agent.settings.order_life_ms,
    };
    engine.load_adapter(&order).await
}
