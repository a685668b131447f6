//! What the agent tells and hears.

use std::{net::IpAddr, net::SocketAddr, pin::pin};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::prelude::*;
use futures_util::future::{Either, select};

use crate::agent::EngineAgent;

/// How often the agent tells of its engine when nothing has changed.
const INTERVAL_MS: u64 = 600;
/// The interval grows with the fleet, so that news cost the same processor time in any: for each
/// process that is told, by this much.
const INTERVAL_MS_EACH: u64 = 20;

/// What was told last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    loaded: Vec<LoadedModel>,
    loading: Option<ModelName>,
    takes_orders: bool,
    at_unix_ms: u64,
}

/// Tells routers and other agents of the engine, if anything has changed or it is time.
pub async fn tell(agent: &EngineAgent) {
    let now = now_unix_ms();
    agent.demand.forget_silent(now);
    let Some(status) = status(agent, now) else {
        return;
    };
    let targets = targets(agent);
    let interval_ms = INTERVAL_MS.max(INTERVAL_MS_EACH * targets.len() as u64);
    let is_same = {
        let told = agent.told.borrow();
        told.loaded == status.loaded
            && told.loading == status.loading
            && told.takes_orders == status.takes_orders
            && now < told.at_unix_ms + interval_ms
    };
    if is_same {
        return;
    }
    *agent.told.borrow_mut() = Told {
        loaded: status.loaded.clone(),
        loading: status.loading.clone(),
        takes_orders: status.takes_orders,
        at_unix_ms: now,
    };
    let news = News::Engine(status);
    for target in targets {
        if let Err(error) = agent.socket.send(&news, target).await {
            debug!(agent.log, "news_not_sent"; "to" => %target, "error" => %error);
        }
    }
}

/// The routers that ask for its models, and the other agents.
fn targets(agent: &EngineAgent) -> Vec<SocketAddr> {
    let mut targets = agent.demand.routers();
    let own = agent.settings.news_listen;
    let agents = agent.demand.agents().into_iter().map(IpAddr::V4);
    let others = agents.filter(|address| *address != own.ip());
    targets.extend(others.map(|address| SocketAddr::new(address, own.port())));
    targets
}

/// The engine as others may use it: what is to make room is no longer loaded.
fn status(agent: &EngineAgent, now_unix_ms: u64) -> Option<EngineStatus> {
    let upstream = agent.upstream.borrow().clone()?;
    let state = agent.state.borrow();
    let plan = agent.plan.borrow();
    let leaves = |model: &ModelName| {
        let unload = plan.as_ref().map(|plan| &plan.order.unload);
        unload.is_some_and(|unload| unload.contains(model))
    };
    let loaded = state.loaded.iter().filter(|loaded| !leaves(&loaded.model));
    agent.sequence.set(agent.sequence.get() + 1);
    Some(EngineStatus {
        upstream,
        born_unix_ms: state.born_unix_ms,
        sequence: agent.sequence.get(),
        loaded: loaded.cloned().collect(),
        loading: plan.as_ref().map(|plan| plan.order.load.clone()),
        ready_unix_ms: plan
            .as_ref()
            .map_or(0, |plan| plan.expected_unix_ms(now_unix_ms)),
        cold_loads_seen: agent.cold_loads_seen(now_unix_ms),
        is_loading_cold: plan.as_ref().is_some_and(|plan| plan.order.is_cold),
        waiting: state.waiting,
        running: state.running,
        in_memory: state.in_memory.clone(),
        on_disk: state.on_disk.clone(),
        routers: agent.demand.routers().len() as u32,
        takes_orders: agent.takes_orders(),
        heard_unix_ms: now_unix_ms,
        agent: agent.settings.news_listen,
    })
}

/// Takes in what others tell, until `stop` ends.
pub async fn hear(agent: EngineAgent, stop: Stop) {
    while !stop.is_ended() {
        let heard = pin!(agent.socket.receive(now_unix_ms));
        let news = match select(heard, pin!(stop.ended())).await {
            Either::Left((news, _)) => news,
            Either::Right(_) => return,
        };
        match news {
            Ok(News::Engine(status)) => {
                agent.engines.take(status);
            }
            Ok(News::Demand(demand)) => {
                let is_urgent = !demand.adapters_wanted.is_empty()
                    || demand.models.iter().any(|(_, view)| view.waiting > 0);
                if agent.note_demand(demand) && is_urgent {
                    agent.wake();
                }
            }
            Err(error) => {
                warn!(agent.log, "news_not_received"; "error" => %error);
                sleep_ms(INTERVAL_MS).await;
            }
        }
    }
}
