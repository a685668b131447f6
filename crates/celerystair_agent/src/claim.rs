//! The agent's claim on its upstream. Each claim raises `agents/<upstream>` by a conditional
//! update; the number is the fencing number of every order that follows.

use std::net::SocketAddr;

use celerystair_core::prelude::*;
use celerystair_platform::{
    objects::AGENTS,
    prelude::{AgentObject, CallPriority, Expected, StoreError},
};

use crate::agent::Agent;

const RETRY_MIN_MS: u64 = 50;
const RETRY_MAX_MS: u64 = 1000;

/// Claims the upstream, for as long as it takes; gives the fencing number. Returns `None` if a
/// stop began first.
pub async fn claim(agent: &Agent, address: SocketAddr) -> Option<u64> {
    let mut retry_ms = RETRY_MIN_MS;
    while !agent.node.stop.is_draining() {
        match try_claim(agent, address).await {
            Ok(fence) => return Some(fence),
            Err(_) => sleep_ms(rand::random_range(retry_ms / 2..=retry_ms)).await,
        }
        retry_ms = (retry_ms * 2).min(RETRY_MAX_MS);
    }
    None
}

async fn try_claim(agent: &Agent, address: SocketAddr) -> Result<u64, StoreError> {
    let key = format!("{AGENTS}{}", agent.settings.upstream);
    let found = agent.node.store.get(&key).await?;
    let (expected, last) = match &found {
        Some(object) => (
            Expected::Version(object.version),
            Some(object.read::<AgentObject>()?),
        ),
        None => (Expected::Absent, None),
    };
    if let Some(own) = last.as_ref().filter(|last| last.claim_id == agent.life) {
        // The write of an earlier try took effect and its answer was lost.
        return Ok(own.fence);
    }
    let object = AgentObject {
        fence: last.map_or(0, |last| last.fence) + 1,
        instance: agent.settings.instance.clone(),
        claim_id: agent.life.clone(),
        address,
        failure_domain: agent.node.settings.failure_domain.clone(),
        pool: agent.settings.pool.clone(),
        memory_bytes: agent.memory_bytes.get(),
        leaving: false,
    };
    agent
        .node
        .store
        .put(&key, &object, expected, CallPriority::Urgent)
        .await?;
    Ok(object.fence)
}
