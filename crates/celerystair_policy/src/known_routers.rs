//! The routers that processes know of. Agents hear of all routers by their demand; routers hear of each
//! other by the statuses of agents.

use std::net::SocketAddr;

use celerystair_core::prelude::*;

use crate::spread::Peer;

/// How many routers the status of an engine names. At 340 routers and 1,000 agents a router hears of each
/// other one every five seconds on average.
const ROUTERS_PER_STATUS: usize = 2;
/// The most routers that are known: three times as many as the largest fleet that is planned for has.
const KNOWN_MAX: usize = 1024;
/// A router of which nobody has told for this long is gone.
const FORGET_AFTER_MS: u64 = 30_000;

/// The process of a router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterProcess {
    /// Where it receives gossip.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// When it started, by its own clock.
    pub started_unix_ms: u64,
}

/// Returns the routers that the status with this sequence number names: some of `routers`, others each time.
pub fn routers_in_turn(mut routers: Vec<RouterProcess>, sequence: u64) -> Vec<RouterProcess> {
    if routers.is_empty() {
        return routers;
    }
    routers.sort_unstable_by_key(|router| router.address);
    let first = sequence as usize * ROUTERS_PER_STATUS % routers.len();
    routers.rotate_left(first);
    routers.truncate(ROUTERS_PER_STATUS);
    routers
}

/// The other routers that a router has heard of lately.
#[derive(Clone, Debug, Default)]
pub struct KnownRouters {
    heard: HashMap<SocketAddr, HeardRouter>,
}

#[derive(Clone, Debug)]
struct HeardRouter {
    domain: FailureDomain,
    end_unix_ms: u64,
}

impl KnownRouters {
    /// Records that an agent knows the router.
    pub fn record(&mut self, router: &RouterProcess, now_unix_ms: u64) {
        let heard = HeardRouter {
            domain: router.domain.clone(),
            end_unix_ms: now_unix_ms.saturating_add(FORGET_AFTER_MS),
        };
        if self.heard.len() < KNOWN_MAX || self.heard.contains_key(&router.address) {
            self.heard.insert(router.address, heard);
        }
    }

    /// Returns the routers as receivers of gossip, and drops those that are gone.
    pub fn peers(&mut self, now_unix_ms: u64) -> Vec<Peer> {
        self.heard
            .retain(|_, heard| now_unix_ms < heard.end_unix_ms);
        let peers = self.heard.iter().map(|(address, heard)| Peer {
            address: *address,
            domain: heard.domain.clone(),
            can_relay: false,
        });
        peers.collect()
    }
}
