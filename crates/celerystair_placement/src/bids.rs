//! The expected cost of a replica at each upstream, from bids that only the first few candidates
//! are asked for, so that no process needs a view of the whole fleet.

use std::rc::Rc;

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::prelude::Connection;
use celerystair_node::prelude::*;
use celerystair_platform::prelude::{AgentObject, ModelObject};
use celerystair_protocol::{BidReply, BidRequest, CheckpointTier, agent_client::AgentClient};
use futures_util::future::join_all;

/// The number of candidates in each failure domain that are asked.
const ASKED_PER_DOMAIN: usize = 2;
/// How long to wait for all bids.
const TIMEOUT_MS: u64 = 500;
/// The cost of a checkpoint in the weight store, compared to one in memory.
const REMOTE_COST_MS: u64 = 10_000;
/// The cost of a checkpoint on disk, compared to one in memory.
const DISK_COST_MS: u64 = 2_000;
/// The cost of evicting another replica, since the next caller of its model waits for a load.
const EVICTION_COST_MS: u64 = 3_000;
/// The cost of a load that is slower than that of the fastest bidder is counted in steps of this,
/// so that noise in load times doesn't outweigh the even distribution of slots.
const SLOW_LOAD_STEP_MS: u64 = 10_000;
/// The assumed cost of an upstream that did not answer, which is higher than that of any bid.
const NO_BID_COST_MS: u64 = 60_000;

/// The bids of the upstreams that answered.
#[derive(Debug, Default)]
pub struct Bids {
    needed_bytes: u64,
    fastest_load_ms: u64,
    by_upstream: HashMap<String, BidReply>,
}

impl Bids {
    /// Creates bids for a replica that needs `needed_bytes` of accelerator memory, from the replies
    /// by upstream.
    pub fn new(needed_bytes: u64, replies: impl IntoIterator<Item = (String, BidReply)>) -> Self {
        let by_upstream: HashMap<String, BidReply> = replies.into_iter().collect();
        let loads_ms = by_upstream.values().map(|bid| bid.expected_load_ms);
        Self {
            needed_bytes,
            fastest_load_ms: loads_ms.min().unwrap_or_default(),
            by_upstream,
        }
    }

    /// Returns the expected cost of a cold start at `upstream`: from the storage tier of its
    /// checkpoint, whether another replica must be evicted, and how slow loads are there. The cost
    /// is `u64::MAX` if the upstream can't hold the replica.
    pub fn cost_ms(&self, upstream: &str) -> u64 {
        let Some(bid) = self.by_upstream.get(upstream) else {
            return NO_BID_COST_MS;
        };
        if bid.leaving || !bid.fits {
            return u64::MAX;
        }
        let tier_ms = match bid.tier() {
            CheckpointTier::Memory => 0,
            CheckpointTier::Disk => DISK_COST_MS,
            CheckpointTier::Remote | CheckpointTier::Unspecified => REMOTE_COST_MS,
        };
        let eviction_ms = if bid.free_memory_bytes < self.needed_bytes {
            EVICTION_COST_MS
        } else {
            0
        };
        let slower_ms = bid.expected_load_ms.saturating_sub(self.fastest_load_ms);
        let slow_ms = slower_ms / SLOW_LOAD_STEP_MS * SLOW_LOAD_STEP_MS;
        (tier_ms + eviction_ms + slow_ms).min(NO_BID_COST_MS - 1)
    }
}

/// Requests bids from the first few of `candidates` in each failure domain; `connect` returns the
/// connection to an agent.
pub async fn request_bids(
    node: &Node,
    connect: &impl Fn(&str, &AgentObject) -> Connection,
    model: &str,
    object: &ModelObject,
    candidates: &[(String, Rc<AgentObject>)],
) -> Bids {
    let mut asked_in_domain: HashMap<&FailureDomain, usize> = HashMap::default();
    let selected = candidates.iter().filter(|(_, agent)| {
        let count = asked_in_domain.entry(&agent.failure_domain).or_default();
        *count += 1;
        *count <= ASKED_PER_DOMAIN
    });
    let deadline_unix_ms = now_unix_ms() + TIMEOUT_MS;
    let replies = selected.map(async |(name, agent)| {
        let request = BidRequest {
            stamp: node.stamp(),
            model: model.to_owned(),
            memory_bytes: object.replica_bytes(),
        };
        let bid = before_deadline(
            deadline_unix_ms,
            request_bid(&connect(name, agent), request),
        )
        .await?;
        let bid = bid?;
        node.observe(bid.stamp.as_ref());
        Some((name.clone(), bid))
    });
    let replies = join_all(replies).await.into_iter().flatten();
    Bids::new(object.replica_bytes(), replies)
}

async fn request_bid(connection: &Connection, request: BidRequest) -> Option<BidReply> {
    let channel = connection.channel().await.ok()?;
    let origin = channel.origin();
    let reply = AgentClient::with_origin(channel, origin).bid(request).await;
    reply.ok().map(tonic::Response::into_inner)
}
