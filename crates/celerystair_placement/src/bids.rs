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
/// What an upstream that did not answer is taken to cost: more than any that did.
const SILENT_COST_MS: u64 = 60_000;

/// The bids of those who answered.
#[derive(Debug, Default)]
pub struct Bids {
    by_upstream: HashMap<String, BidReply>,
}

impl Bids {
    /// What a cold start at `upstream` is expected to cost, by where its checkpoint lies.
    pub fn cost_ms(&self, upstream: &str) -> u64 {
        let Some(bid) = self.by_upstream.get(upstream) else {
            return SILENT_COST_MS;
        };
        if bid.leaving || !bid.fits {
            return u64::MAX;
        }
        match bid.tier() {
            CheckpointTier::Memory => 0,
            CheckpointTier::Disk => DISK_COST_MS,
            CheckpointTier::Remote | CheckpointTier::Unspecified => REMOTE_COST_MS,
        }
    }
}

/// Asks the first few of `candidates` in each failure domain.
pub async fn ask_for_bids(
    node: &Node,
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
        let bid = before_deadline(deadline_unix_ms, ask(agent, request)).await?;
        let bid = bid?;
        node.observe(bid.stamp.as_ref());
        Some((name.clone(), bid))
    });
    let by_upstream = join_all(replies).await.into_iter().flatten().collect();
    Bids { by_upstream }
}

async fn ask(agent: &AgentObject, request: BidRequest) -> Option<BidReply> {
    let channel = Connection::new(agent.address).channel().await.ok()?;
    let origin = channel.origin();
    let reply = AgentClient::with_origin(channel, origin).bid(request).await;
    reply.ok().map(tonic::Response::into_inner)
}
