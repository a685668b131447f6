//! What this router tells agents of its demand, and what it hears from them.

use std::{cell::Cell, net::IpAddr, net::SocketAddr, pin::pin, rc::Rc};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::prelude::*;
use futures_util::future::select;

use crate::{front::Front, upstream::Upstream};

/// How often agents are told when nothing is urgent: a few times in the shortest time in which
/// demand moves on.
const INTERVAL_MS: u64 = 500;
/// The shortest pause between two rounds, however much changes.
const GAP_MS: u64 = 15;
/// Both grow with the fleet, so that news cost a router the same processor time in any: for each
/// agent, this much of the interval.
const INTERVAL_MS_EACH: u64 = 25;
/// And this much of the pause.
const GAP_MS_EACH: u64 = 3;
/// Engines of which nothing was heard for so long are forgotten.
const FORGET_MS: u64 = 60_000;

/// Tells every agent of this router's demand until `stop` ends.
pub async fn tell_agents(front: Front, socket: Rc<NewsSocket>, stop: Stop) {
    let sequence = Cell::new(now_unix_ms());
    let mut round_unix_ms = 0;
    let port = front.settings.news_listen.port();
    while !stop.is_ended() {
        let changed = front.listen_demand();
        let engines = front.view.engines();
        let agents: Vec<IpAddr> = engines.iter().map(|engine| agent_of(engine)).collect();
        let models = front.demand();
        let now = now_unix_ms();
        let count = engines.len() as u64;
        let is_round = now >= round_unix_ms;
        if is_round {
            round_unix_ms = now + GAP_MS.max(GAP_MS_EACH * count);
        }
        for (engine, agent) in engines.iter().zip(&agents) {
            // Between rounds, only those hear that have something to do.
            if !engine.wants_adapter.replace(false) && !is_round {
                continue;
            }
            sequence.set(sequence.get() + 1);
            let demand = demand_for(&front, engine, &models, &agents, sequence.get());
            let news = News::Demand(demand);
            if let Err(error) = socket.send(&news, SocketAddr::new(*agent, port)).await {
                debug!(front.log, "demand_not_sent"; "agent" => %agent, "error" => %error);
            }
        }
        sleep_ms(GAP_MS).await;
        let interval_ms = INTERVAL_MS.max(INTERVAL_MS_EACH * count);
        select(changed, pin!(sleep_ms(interval_ms - GAP_MS))).await;
    }
}

/// An engine's agent runs on the engine's own instance.
fn agent_of(engine: &Upstream) -> IpAddr {
    engine.entry.borrow().address.ip()
}

fn demand_for(
    front: &Front,
    engine: &Upstream,
    models: &[(ModelName, ModelView)],
    agents: &[IpAddr],
    sequence: u64,
) -> RouterDemand {
    let as_v4 = |agent: &IpAddr| match agent {
        IpAddr::V4(agent) => Some(*agent),
        IpAddr::V6(_) => None,
    };
    RouterDemand {
        router: front.settings.router.clone(),
        sequence,
        models: models.to_vec(),
        running_here: engine.in_flight_by_model(),
        agents: agents.iter().filter_map(as_v4).collect(),
        adapters_wanted: engine.adapters_wanted(),
        heard_unix_ms: 0,
        address: front.settings.news_listen,
    }
}

/// Takes in what agents tell, until `stop` ends.
pub async fn hear_agents(front: Front, socket: Rc<NewsSocket>, stop: Stop) {
    let mut forget_unix_ms = 0;
    while !stop.is_ended() {
        let heard = pin!(socket.receive(now_unix_ms));
        let news = match select(heard, pin!(stop.ended())).await {
            futures_util::future::Either::Left((news, _)) => news,
            futures_util::future::Either::Right(_) => return,
        };
        match news {
            Ok(News::Engine(status)) => {
                front.routers.set(status.routers);
                let before = front.engines.get(&status.upstream);
                if front.engines.take(status.clone()) {
                    wake_for(&front, before.as_deref(), &status);
                }
            }
            Ok(News::Demand(_)) => {}
            Err(error) => {
                warn!(front.log, "news_not_received"; "error" => %error);
                sleep_ms(INTERVAL_MS).await;
            }
        }
        let now = now_unix_ms();
        if now >= forget_unix_ms {
            forget_unix_ms = now + FORGET_MS;
            front.engines.forget_before(now.saturating_sub(FORGET_MS));
        }
    }
}

/// Wakes the requests that wait for what has changed at an engine.
fn wake_for(front: &Front, before: Option<&EngineStatus>, status: &EngineStatus) {
    if front.waiting.is_empty() {
        return;
    }
    for loaded in &status.loaded {
        let was_same = before.and_then(|before| before.find(&loaded.model)) == Some(loaded);
        if !was_same {
            front.waiting.wake(&loaded.model);
        }
    }
}
