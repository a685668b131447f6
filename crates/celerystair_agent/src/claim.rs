//! The agent's claim on its upstream.
//!
//! Each claim raises the fence in the object `agents/<upstream>` by a conditional update. The
//! fence is the fencing token of every order that follows. An agent sends orders only while its
//! claim is active: it has claimed the upstream, its process was not paused too long since, and no
//! other agent has claimed the upstream after it. See `docs/PLACEMENT.md`.

use std::{
    cell::{Cell, OnceCell},
    net::SocketAddr,
};

use celerystair_core::{prelude::*, time::clock_scale};
use celerystair_platform::{
    objects::AGENT_KEY_PREFIX,
    prelude::{AgentObject, CallPriority, Expected, StoreError},
};
use celerystair_telemetry::prelude::*;
use event_listener::{Event as Signal, EventListener};

use crate::{
    agent::Agent,
    engine::{EngineClient, OrderError},
};

const RETRY_MIN_MS: u64 = 50;
const RETRY_MAX_MS: u64 = 1000;
/// How often the agent checks for a pause within the life of an order, which is the longest pause
/// that a claim survives.
const CHECKS_PER_ORDER_LIFE: u64 = 8;

/// The state of the agent's claim on its upstream.
#[derive(Default)]
pub struct Claim {
    fence: Cell<Option<u64>>,
    last_fence: Cell<u64>,
    is_superseded: Cell<bool>,
    last_check_unix_ms: Cell<u64>,
    address: OnceCell<SocketAddr>,
    changed: Signal,
}

impl Claim {
    /// Sets the agent's address, which its claim publishes for routers.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.set(address).ok();
    }

    /// Returns whether a later claimant holds the upstream.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded.get()
    }

    /// Returns whether orders may be sent, without checking for a pause of the process.
    /// [`order_fence`] does check.
    pub fn is_active(&self) -> bool {
        self.fence.get().is_some()
    }

    /// Returns whether `fence` is of a later claim than this agent's last; false before the first.
    pub fn is_older_than(&self, fence: u64) -> bool {
        self.last_fence.get() > 0 && fence > self.last_fence.get()
    }

    /// Returns once this incarnation of the agent has claimed its upstream, whether that claim is
    /// still active or not.
    pub async fn wait_until_claimed(&self) {
        while self.last_fence.get() == 0 {
            let changed = self.listen();
            if self.last_fence.get() == 0 {
                changed.await;
            }
        }
    }

    /// Returns a listener that is notified when the claim is activated, lapses or is superseded.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    fn set_fence(&self, fence: Option<u64>) {
        if let Some(fence) = fence {
            self.last_fence.set(fence);
        }
        self.fence.set(fence);
        self.changed.notify(usize::MAX);
    }
}

/// Returns the fencing token for an order that is sent now, or `None` if the claim is not active.
///
/// Call it right before each order: it detects a pause of the process since the last check.
pub fn order_fence(agent: &Agent) -> Option<u64> {
    lapse_after_pause(agent);
    agent.claim.fence.get()
}

/// Deactivates the claim if this process was paused so long that another agent may have claimed
/// the upstream.
fn lapse_after_pause(agent: &Agent) {
    let now = now_unix_ms();
    let last_check_unix_ms = agent.claim.last_check_unix_ms.replace(now);
    // On a scaled clock, as in tests, scheduling delays of the machine look longer by that factor.
    let pause_max_ms = agent.settings.order_life_ms * clock_scale();
    if last_check_unix_ms != 0 && now - last_check_unix_ms > pause_max_ms && agent.claim.is_active()
    {
        let detail = format!("paused for {} ms", now - last_check_unix_ms);
        warn!(agent.node.log, "claim lapsed"; "cause" => &detail);
        record_event(agent, "claim_lapsed", detail);
        agent.claim.set_fence(None);
    }
}

/// Watches for pauses of the process and for later claimants until the stop ends.
pub async fn watch_claim(agent: Agent) {
    agent.claim.last_check_unix_ms.set(now_unix_ms());
    while !agent.node.stop.is_ended() {
        sleep_ms(agent.settings.order_life_ms / CHECKS_PER_ORDER_LIFE).await;
        lapse_after_pause(&agent);
        let own_fence = agent.claim.last_fence.get();
        if let Some((_, object)) = agent.node.agents.get(&agent.settings.upstream)
            && object.fence > own_fence
            && object.claim_id != agent.incarnation
            && own_fence > 0
        {
            supersede(&agent, object.fence);
        }
    }
}

/// Ends this agent's claim for good, because a later claimant holds the upstream. `fence` is the
/// later claim's, or 0 if unknown.
pub fn supersede(agent: &Agent, fence: u64) {
    if agent.claim.is_superseded.replace(true) {
        return;
    }
    warn!(agent.node.log, "superseded by a later claim"; "fence" => fence);
    record_event(agent, "claim_superseded", format!("by fence {fence}"));
    agent.claim.set_fence(None);
}

/// Activates the claim, with `fence` as the fencing token of its orders.
pub fn activate(agent: &Agent, fence: u64) {
    info!(agent.node.log, "upstream claimed"; "fence" => fence);
    record_event(agent, "upstream_claimed", format!("fence {fence}"));
    agent.claim.last_check_unix_ms.set(now_unix_ms());
    agent.claim.set_fence(Some(fence));
}

/// Claims the upstream, with retries until it succeeds, and returns the fencing token. Returns
/// `None` if a stop began first, or a later claimant holds the upstream.
pub async fn claim(agent: &Agent) -> Option<u64> {
    let mut retry_ms = RETRY_MIN_MS;
    while !agent.node.stop.is_draining() && !agent.claim.is_superseded() {
        match try_claim(agent).await {
            Ok(fence) => return fence,
            Err(_) => sleep_ms(rand::random_range(retry_ms / 2..=retry_ms)).await,
        }
        retry_ms = (retry_ms * 2).min(RETRY_MAX_MS);
    }
    None
}

/// Presents the new claim to the engine, with retries until it succeeds. Returns false if a stop
/// began first, or the engine has seen a later claim.
pub async fn announce(agent: &Agent, engine: &EngineClient, fence: u64) -> bool {
    // The engine's reports carry this fence from now on, and must not count as a later claimant's.
    agent.claim.last_fence.set(fence);
    while !agent.node.stop.is_draining() {
        let deadline_unix_ms = now_unix_ms() + agent.settings.order_life_ms;
        match engine.announce_claim(fence, deadline_unix_ms).await {
            // An engine that refuses to unload a model that it does not hold has seen the fence,
            // too.
            Ok(()) | Err(OrderError::Refused { .. }) => return true,
            Err(OrderError::Fenced) => {
                supersede(agent, 0);
                return false;
            }
            Err(_) => sleep_ms(RETRY_MAX_MS).await,
        }
    }
    false
}

async fn try_claim(agent: &Agent) -> Result<Option<u64>, StoreError> {
    let key = format!("{AGENT_KEY_PREFIX}{}", agent.settings.upstream);
    let found = agent.node.store.get(&key).await?;
    let (expected, last) = match &found {
        Some(object) => (
            Expected::Version(object.version),
            Some(object.read::<AgentObject>()?),
        ),
        None => (Expected::Absent, None),
    };
    let own_fence = agent.claim.last_fence.get();
    if let Some(last) = &last {
        if last.claim_id == agent.incarnation && last.fence > own_fence {
            // An earlier write took effect, but its response was lost.
            return Ok(Some(last.fence));
        }
        if last.claim_id != agent.incarnation && own_fence > 0 && last.fence > own_fence {
            supersede(agent, last.fence);
            return Ok(None);
        }
    }
    let fence = last.map_or(0, |last| last.fence).max(own_fence) + 1;
    let object = agent_object(agent, fence, false);
    agent
        .node
        .store
        .put(&key, &object, expected, CallPriority::Urgent)
        .await?;
    Ok(Some(fence))
}

/// Publishes in the store whether the upstream is leaving, for routers that have received no reply
/// from it lately.
///
/// # Errors
/// [`StoreError`]; routers then learn it only from replies and from the platform's list of
/// instances.
pub async fn publish_leaving(agent: &Agent, leaving: bool) -> Result<(), StoreError> {
    let key = format!("{AGENT_KEY_PREFIX}{}", agent.settings.upstream);
    let Some(found) = agent.node.store.get(&key).await? else {
        return Ok(());
    };
    let last = found.read::<AgentObject>()?;
    if last.claim_id != agent.incarnation || last.leaving == leaving {
        return Ok(());
    }
    let object = agent_object(agent, last.fence, leaving);
    let expected = Expected::Version(found.version);
    agent
        .node
        .store
        .put(&key, &object, expected, CallPriority::Urgent)
        .await?;
    Ok(())
}

fn agent_object(agent: &Agent, fence: u64, leaving: bool) -> AgentObject {
    AgentObject {
        fence,
        instance: agent.settings.instance.clone(),
        claim_id: agent.incarnation.clone(),
        address: agent
            .claim
            .address
            .get()
            .copied()
            .unwrap_or(agent.settings.listen),
        failure_domain: agent.node.settings.failure_domain.clone(),
        pool: agent.settings.pool.clone(),
        memory_bytes: agent.memory_bytes.get(),
        leaving,
    }
}

fn record_event(agent: &Agent, kind: &str, detail: String) {
    agent.node.timeline.record(Event {
        kind: kind.to_owned(),
        upstream: agent.settings.upstream.to_string(),
        detail,
        ..Event::default()
    });
}
