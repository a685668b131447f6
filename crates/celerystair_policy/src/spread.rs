//! Who is told news directly, and who tells it on. Answers a fleet that grows: if each process told
//! every other one, what a process sends, and what goes between failure domains, would grow with the
//! fleet. One agent in each other domain is told instead, and tells its own domain.
//!
//! Which agent that is changes with every piece of news, so one that stands still costs a domain
//! a part of the news and not all of it.

use std::net::SocketAddr;

use celerystair_core::prelude::*;

/// Who may be told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Where it takes news.
    pub address: SocketAddr,
    /// Where it stands.
    pub domain: FailureDomain,
    /// Whether it tells its domain: an agent that was heard of late.
    pub can_relay: bool,
}

/// Where news is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GossipTarget {
    /// The address.
    pub address: SocketAddr,
    /// Whether the receiver tells its domain.
    pub is_relay: bool,
}

/// Domains of up to this many peers are told directly: telling them on would save nothing.
const DIRECT_MAX: usize = 2;

/// Whom a process in `own_domain` sends its news to; `draw` picks who tells it on.
pub fn gossip_targets(own_domain: &FailureDomain, peers: &[Peer], draw: u64) -> Vec<GossipTarget> {
    let mut by_domain: HashMap<&FailureDomain, Vec<&Peer>> = HashMap::default();
    for peer in peers {
        by_domain.entry(&peer.domain).or_default().push(peer);
    }
    let mut targets = Vec::new();
    for (domain, members) in by_domain {
        let tellers: Vec<&&Peer> = members.iter().filter(|peer| peer.can_relay).collect();
        if domain == own_domain || members.len() <= DIRECT_MAX || tellers.is_empty() {
            targets.extend(members.iter().map(|peer| GossipTarget {
                address: peer.address,
                is_relay: false,
            }));
        } else {
            targets.push(GossipTarget {
                address: tellers[draw as usize % tellers.len()].address,
                is_relay: true,
            });
        }
    }
    targets
}

/// Whom a process in `own_domain` tells what came from another domain.
pub fn relay_targets(
    own_domain: &FailureDomain,
    peers: &[Peer],
    own: SocketAddr,
) -> Vec<SocketAddr> {
    let here = peers.iter().filter(|peer| peer.domain == *own_domain);
    here.map(|peer| peer.address)
        .filter(|address| *address != own)
        .collect()
}
