//! Orders to the engine, and the load under way step by step.

use celerystair_core::prelude::*;
use celerystair_platform::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::{metrics::label, prelude::*};

use crate::{
    agent::EngineAgent,
    dialect::{EngineOrder, OrderKind, OrderResponse},
    fence::claim_fence,
    plan::{Plan, PlanStep, load_ms},
};

impl EngineAgent {
    pub(crate) async fn carry_out(&self, store: &Store, config: &EngineConfig, plan: Plan) {
        let now = now_unix_ms();
        let step = plan.step(config, &self.state.borrow(), now);
        let mut seen = self.cold_loads_seen.get();
        plan.note_run(&mut seen, config, step == PlanStep::Done, now);
        self.cold_loads_seen.set(seen);
        match step {
            PlanStep::Wait => {}
            PlanStep::Done => {
                info!(self.log, "model_loaded"; "model" => %plan.order.load,
                    "late_ms" => now.saturating_sub(plan.ready_unix_ms),
                    "cold_at_once" => plan.order.cold_concurrency,
                    "on_time_at_once" => seen.on_time_concurrency, "served_at_once" => seen.full_speed_concurrency);
                self.count_load("loaded");
                let mut loaded = self.loaded_unix_ms.borrow_mut();
                loaded.insert(plan.order.load.clone(), now);
                *self.plan.borrow_mut() = None;
            }
            PlanStep::GiveUp => {
                warn!(self.log, "load_given_up"; "model" => %plan.order.load);
                self.count_load("given_up");
                *self.plan.borrow_mut() = None;
            }
            PlanStep::Unload(model) => {
                self.order(store, OrderKind::Unload, &model, None).await;
            }
            PlanStep::Load => {
                let model = plan.order.load.clone();
                let answer = self.order(store, OrderKind::Load, &model, None).await;
                if answer == Some(OrderResponse::Accepted) {
                    let load_ms = load_ms(&model, config, &self.state.borrow());
                    if let Some(plan) = &mut *self.plan.borrow_mut() {
                        plan.note_ordered(load_ms, now);
                    }
                }
            }
        }
    }

    /// Gives an order by what was last reported; `None` if it is not known whether it holds.
    pub(crate) async fn order(
        &self,
        store: &Store,
        kind: OrderKind,
        model: &ModelName,
        adapter: Option<&str>,
    ) -> Option<OrderResponse> {
        let engine = self.upstream.borrow().clone()?;
        let order = EngineOrder {
            kind,
            model,
            adapter,
            expected_sequence: self.state.borrow().order_sequence,
            holder: &self.settings.agent_name,
            fence: self.fence.get()?,
        };
        let answer = self.client.order(&self.settings, &engine, &order).await;
        info!(self.log, "ordered"; "kind" => ?kind, "model" => %model, "adapter" => adapter,
            "expected" => order.expected_sequence, "answer" => ?answer);
        let answer = answer.ok()?;
        match answer {
            OrderResponse::Fenced => {
                let fence = claim_fence(&self.settings, store, &self.log).await;
                self.fence.set(Some(fence));
            }
            OrderResponse::Misdirected => *self.upstream.borrow_mut() = None,
            OrderResponse::Accepted => self.state.borrow_mut().order_sequence += 1,
            OrderResponse::Conflict | OrderResponse::Holds | OrderResponse::Refused => {}
        }
        Some(answer)
    }

    fn count_load(&self, outcome: &str) {
        self.metrics.loads.add(1, &[label("outcome", outcome)]);
    }
}
