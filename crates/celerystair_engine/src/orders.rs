//! Sending orders to the engine, and advancing a load step by step.

use celerystair_core::prelude::*;
use celerystair_platform::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::{metrics::label, prelude::*};

use crate::{
    agent::EngineAgent,
    dialect::{EngineOrder, OrderKind, OrderResponse},
    fence::claim_fence,
    plan::{LoadPlan, LoadStep, estimated_load_ms},
};

impl EngineAgent {
    /// Takes the next step of the load in progress, by the engine's last report.
    pub(crate) async fn advance_plan(&self, store: &Store, config: &EngineConfig, plan: LoadPlan) {
        let now = now_unix_ms();
        let step = plan.next_step(config, &self.engine_state.borrow(), now);
        let mut observations = self.cold_load_observations.get();
        plan.record_cold_load(&mut observations, config, step == LoadStep::Done, now);
        self.cold_load_observations.set(observations);
        match step {
            LoadStep::Wait => {}
            LoadStep::Done => {
                info!(self.log, "model_loaded"; "model" => %plan.order.load,
                    "late_ms" => now.saturating_sub(plan.ready_unix_ms),
                    "cold_at_once" => plan.order.cold_concurrency,
                    "on_time_at_once" => observations.on_time_concurrency,
                    "served_at_once" => observations.full_speed_concurrency);
                self.count_load_outcome("loaded");
                let mut loaded_unix_ms = self.model_loaded_unix_ms.borrow_mut();
                loaded_unix_ms.insert(plan.order.load.clone(), now);
                *self.plan.borrow_mut() = None;
            }
            LoadStep::GiveUp => {
                warn!(self.log, "load_given_up"; "model" => %plan.order.load);
                self.count_load_outcome("given_up");
                *self.plan.borrow_mut() = None;
            }
            LoadStep::Unload(model) => {
                self.send_order(store, OrderKind::Unload, &model, None)
                    .await;
            }
            LoadStep::Load => {
                let model = plan.order.load.clone();
                let response = self.send_order(store, OrderKind::Load, &model, None).await;
                if response == Some(OrderResponse::Accepted) {
                    let load_ms = estimated_load_ms(&model, config, &self.engine_state.borrow());
                    if let Some(plan) = &mut *self.plan.borrow_mut() {
                        plan.record_accepted(load_ms, now);
                    }
                }
            }
        }
    }

    /// Sends an order that is based on the engine's last report. Returns `None` if the agent can't
    /// send it, or doesn't learn whether the engine accepted it.
    pub(crate) async fn send_order(
        &self,
        store: &Store,
        kind: OrderKind,
        model: &ModelName,
        adapter: Option<&str>,
    ) -> Option<OrderResponse> {
        let upstream = self.upstream_id.borrow().clone()?;
        let order = EngineOrder {
            kind,
            model,
            adapter,
            expected_sequence: self.engine_state.borrow().order_sequence,
            holder: &self.settings.agent_name,
            fence: self.fence.get()?,
        };
        let response = self
            .engine_client
            .send_order(&self.settings, &upstream, &order)
            .await;
        info!(self.log, "ordered"; "kind" => ?kind, "model" => %model, "adapter" => adapter,
            "expected" => order.expected_sequence, "answer" => ?response);
        let response = response.ok()?;
        match response {
            OrderResponse::Fenced => {
                let held = self.highest_fence.get();
                let claimed = claim_fence(&self.settings, store, held, &self.log).await;
                self.hold_fence(claimed);
            }
            OrderResponse::Misdirected => *self.upstream_id.borrow_mut() = None,
            OrderResponse::Accepted => {
                let mut state = self.engine_state.borrow_mut();
                state.order_sequence = state.order_sequence.saturating_add(1);
            }
            OrderResponse::Conflict | OrderResponse::Holds | OrderResponse::Refused => {}
        }
        Some(response)
    }

    fn count_load_outcome(&self, outcome: &str) {
        self.metrics.loads.add(1, &[label("outcome", outcome)]);
    }
}
