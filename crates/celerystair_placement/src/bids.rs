//! What it would cost upstreams to hold a replica, asked of the first few candidates only: no
//! process needs a view of the whole fleet.

use std::rc::Rc;

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::prelude::Connection;
use celerystair_node::prelude::*;
use celerystair_platform::prelude::{AgentObject, ModelObject};
use celerystair_protocol::{BidReply, BidRequest, CheckpointTier, agent_client::AgentClient};
use futures_util::future::join_all;

/// Candidates of each failure domain that are asked.
const ASKED_PER_DOMAIN: usize = 2;
const TIMEOUT_MS: u64 = 500;
/// What fetching a checkpoint from the weight store costs more than one that is at hand.
const REMOTE_COST_MS: u64 = 10_000;
const DISK_COST_MS: u64 = 2_000;
/// What unloading another replica costs, which its model's next caller waits for.
const EVICTION_COST_MS: u64 = 3_000;
/// Loads that are slower than the fastest bidder's count in steps of this, so that the noise of
/// their times does not undo the spread of slots.
const SLOW_LOAD_STEP_MS: u64 = 10_000;
/// What an upstream that did not answer is taken to cost: more than any that did.
const SILENT_COST_MS: u64 = 60_000;

/// The bids of those who answered.
#[derive(Debug, Default)]
pub struct Bids {
    needed_bytes: u64,
    fastest_load_ms: u64,
    by_upstream: HashMap<String, BidReply>,
}

impl Bids {
    /// Bids for a replica that takes `needed_bytes`, by upstream.
    pub fn new(needed_bytes: u64, replies: impl IntoIterator<Item = (String, BidReply)>) -> Self {
        let by_upstream: HashMap<String, BidReply> = replies.into_iter().collect();
        let loads_ms = by_upstream.values().map(|bid| bid.expected_load_ms);
        Self {
            needed_bytes,
            fastest_load_ms: loads_ms.min().unwrap_or_default(),
            by_upstream,
        }
    }

    /// What a cold start at `upstream` is expected to cost: by where its checkpoint lies, whether
    /// another replica must make room, and how slow loads are there.
    pub fn cost_ms(&self, upstream: &str) -> u64 {
        let Some(bid) = self.by_upstream.get(upstream) else {
            return SILENT_COST_MS;
        };
        if bid.leaving || !bid.fits {
            return u64::MAX;
        }
        let tier_ms = match bid.tier() {
            CheckpointTier::Memory => 0,
            CheckpointTier::Disk => DISK_COST_MS,
            CheckpointTier::Remote | CheckpointTier::Unspecified => REMOTE_COST_MS,
        };
        let room_ms = if bid.free_memory_bytes < self.needed_bytes {
            EVICTION_COST_MS
        } else {
            0
        };
        let slower_ms = bid.expected_load_ms.saturating_sub(self.fastest_load_ms);
        let slow_ms = slower_ms / SLOW_LOAD_STEP_MS * SLOW_LOAD_STEP_MS;
        (tier_ms + room_ms + slow_ms).min(SILENT_COST_MS - 1)
    }
}

/// Asks the first few of `candidates` in each failure domain, over the connections that
/// `connect` gives.
pub async fn ask_for_bids(
    node: &Node,
    connect: &impl Fn(&str, &AgentObject) -> Connection,
    model: &str,
    object: &ModelObject,
    candidates: &[(String, Rc<AgentObject>)],
) -> Bids {
    let mut asked: HashMap<&FailureDomain, usize> = HashMap::default();
    let asks = candidates.iter().filter(|(_, agent)| {
        let count = asked.entry(&agent.failure_domain).or_default();
        *count += 1;
        *count <= ASKED_PER_DOMAIN
    });
    let deadline_unix_ms = now_unix_ms() + TIMEOUT_MS;
    let replies = asks.map(async |(name, agent)| {
        let request = BidRequest {
            stamp: node.stamp(),
            model: model.to_owned(),
            memory_bytes: object.replica_bytes(),
        };
        let bid = before_deadline(deadline_unix_ms, ask(&connect(name, agent), request)).await?;
        let bid = bid?;
        node.observe(bid.stamp.as_ref());
        Some((name.clone(), bid))
    });
    let replies = join_all(replies).await.into_iter().flatten();
    Bids::new(object.replica_bytes(), replies)
}

async fn ask(connection: &Connection, request: BidRequest) -> Option<BidReply> {
    let channel = connection.channel().await.ok()?;
    let origin = channel.origin();
    let reply = AgentClient::with_origin(channel, origin).bid(request).await;
    reply.ok().map(tonic::Response::into_inner)
}
