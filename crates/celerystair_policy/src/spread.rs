//! Which peers a process sends gossip to directly, and which relay it. If each process sent to
//! every other one, its traffic and that between failure domains would grow with the fleet.
//! Instead, it sends to one agent in each other domain, which relays the message within its own
//! domain.
//!
//! The relay changes with every message, so a frozen agent costs its domain a part of the messages
//! and not all of them.

use std::net::{IpAddr, SocketAddr};

use celerystair_core::{prelude::*, rendezvous::fingerprint};

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

/// To how many processes of its failure domain an agent sends a change of a suspect each time.
const SUSPECT_CHANGE_FANOUT: usize = 6;

/// Returns to whom an agent in `own_domain` sends a suspect that changed: to a few processes of its
/// own domain, which `draw` selects. The agents among them do the same, so the change reaches the
/// whole domain within a few rounds, and each process sends little however large the domain is.
pub fn suspect_change_targets(
    own_domain: &FailureDomain,
    peers: &[Peer],
    draw: u64,
) -> Vec<GossipTarget> {
    let same_domain = peers.iter().filter(|peer| peer.domain == *own_domain);
    random_targets(same_domain, SUSPECT_CHANGE_FANOUT, draw)
}

/// Returns to whom an agent in `own_domain` sends suspects that have not changed, for processes that
/// missed the change or started since: to a router of its own domain and to any process of the
/// fleet, so that neither a domain without agents nor one that was cut off misses them for long.
pub fn suspect_sample_targets(
    own_domain: &FailureDomain,
    peers: &[Peer],
    draw: u64,
) -> Vec<GossipTarget> {
    let own_routers = peers
        .iter()
        .filter(|peer| peer.domain == *own_domain && !peer.can_relay);
    let mut targets = random_targets(own_routers, 1, draw);
    targets.extend(random_targets(peers.iter(), 1, draw));
    targets
}

/// How many agents a router that has just started asks for suspects.
const SUSPECT_QUERY_FANOUT: usize = 3;

/// Returns whom a router that has just started asks for suspects: a few agents, as one of them may have
/// just started, too, and datagrams are lost. Until it knows the suspects it runs requests that crash
/// upstreams.
pub fn suspect_query_targets(agents: &[Peer], draw: u64) -> Vec<GossipTarget> {
    random_targets(agents.iter(), SUSPECT_QUERY_FANOUT, draw)
}

/// Returns up to `count` of the peers, which `draw` selects, as direct receivers.
pub fn random_targets<'a>(
    peers: impl Iterator<Item = &'a Peer>,
    count: usize,
    draw: u64,
) -> Vec<GossipTarget> {
    let mut targets: Vec<GossipTarget> = peers
        .map(|peer| GossipTarget {
            address: peer.address,
            is_relay: false,
        })
        .collect();
    targets.sort_by_cached_key(|target| address_weight(draw, target.address));
    targets.truncate(count);
    targets
}

/// Returns a hash of `key` and an address, by which processes rank addresses in the same order.
pub(crate) fn address_weight(key: u64, address: SocketAddr) -> u64 {
    let mut bytes = key.to_le_bytes().to_vec();
    match address.ip() {
        IpAddr::V4(ip) => bytes.extend(ip.octets()),
        IpAddr::V6(ip) => bytes.extend(ip.octets()),
    }
    bytes.extend(address.port().to_le_bytes());
    fingerprint(&bytes)
}
