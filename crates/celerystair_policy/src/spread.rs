//! Which peers a process sends gossip to directly, and which relay it. If each process sent to
//! every other one, its traffic and that between failure domains would grow with the fleet.
//! Instead, it sends to one agent in each other domain, which relays the message within its own
//! domain.
//!
//! The relay changes with every message, so a frozen agent costs its domain a part of the messages
//! and not all of them.

use std::net::SocketAddr;

use celerystair_core::prelude::*;

/// A process that receives gossip.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Where it receives gossip.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Whether it can relay to its domain: true for an agent that was heard from recently.
    pub can_relay: bool,
}

/// A receiver of one gossip message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GossipTarget {
    /// Where it receives gossip.
    pub address: SocketAddr,
    /// Whether it is to relay the message to its failure domain.
    pub is_relay: bool,
}

/// Domains with up to this many peers get gossip directly: a relay would save nothing.
const DIRECT_PEERS_MAX: usize = 2;

/// Returns where a process in `own_domain` sends a gossip message; `draw` selects the relays.
pub fn gossip_targets(own_domain: &FailureDomain, peers: &[Peer], draw: u64) -> Vec<GossipTarget> {
    let mut by_domain: HashMap<&FailureDomain, Vec<&Peer>> = HashMap::default();
    for peer in peers {
        by_domain.entry(&peer.domain).or_default().push(peer);
    }
    let mut targets = Vec::new();
    for (domain, members) in by_domain {
        let relays: Vec<&&Peer> = members.iter().filter(|peer| peer.can_relay).collect();
        if domain == own_domain || members.len() <= DIRECT_PEERS_MAX || relays.is_empty() {
            targets.extend(members.iter().map(|peer| GossipTarget {
                address: peer.address,
                is_relay: false,
            }));
        } else {
            targets.push(GossipTarget {
                address: relays[draw as usize % relays.len()].address,
                is_relay: true,
            });
        }
    }
    targets
}

/// Returns where an agent in `own_domain` at the address `own` relays a message from another
/// domain.
pub fn relay_targets(
    own_domain: &FailureDomain,
    peers: &[Peer],
    own: SocketAddr,
) -> Vec<SocketAddr> {
    let same_domain = peers.iter().filter(|peer| peer.domain == *own_domain);
    same_domain
        .map(|peer| peer.address)
        .filter(|address| *address != own)
        .collect()
}
