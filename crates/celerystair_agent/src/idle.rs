//! Unloads replicas that nobody calls, and notices an engine that has lost what it held.

use celerystair_config::fleet;
use celerystair_core::prelude::*;
use celerystair_protocol::ReplicaState;

use crate::{
    agent::Agent,
    engine::EngineClient,
    replicas::{drop_lost, unload},
};

const INTERVAL_MS: u64 = 500;

/// Watches the replicas until the agent's stop ends.
pub async fn watch_idle(agent: Agent, engine: EngineClient) {
    let mut boot = None;
    while !agent.node.stop.is_ended() {
        sleep_ms(INTERVAL_MS).await;
        if let Ok(state) = engine.state().await
            && boot
                .replace(state.boot)
                .is_some_and(|last| last != state.boot)
        {
            drop_lost(&agent, &state);
        }
        for replica in agent.replicas.all() {
            let defaults =
                fleet::for_model(&agent.node.config.current(), &replica.model, now_unix_ms());
            let idle_ms = now_unix_ms() - replica.idle_since_unix_ms.get();
            if replica.state.get() == ReplicaState::Loaded && idle_ms >= defaults.keep_alive_min_ms
            {
                unload(&agent, &engine, &replica);
            }
        }
    }
}
