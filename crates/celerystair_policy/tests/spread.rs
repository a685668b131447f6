//! Simulates gossip over fleets of 30, 100 and 300 instances in several failure domains.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use celerystair_core::prelude::*;
use celerystair_policy::spread::{Peer, gossip_targets, relay_targets};

const DOMAINS: usize = 5;

fn domain(number: usize) -> FailureDomain {
    FailureDomain::from(format!("d{}", number % DOMAINS))
}

/// Returns a fleet with two agents per router, spread over the domains.
fn fleet(count: usize) -> Vec<Peer> {
    let peer = |number: usize| Peer {
        address: SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(
                10,
                0,
                (number / 250) as u8,
                (number % 250) as u8,
            )),
            7000,
        ),
        domain: domain(number),
        can_relay: (number / DOMAINS) % 3 < 2,
    };
    (0..count).map(peer).collect()
}

/// Returns which peers receive one message of the first peer if those in `silent` relay nothing,
/// and how many datagrams cross domains.
fn gossip(peers: &[Peer], draw: u64, silent: &[SocketAddr]) -> (HashSet<SocketAddr>, usize) {
    let (own, others) = peers.split_first().expect("the fleet has a peer");
    let domain_of = |address: SocketAddr| {
        let peer = peers.iter().find(|peer| peer.address == address);
        &peer.expect("the address belongs to a peer").domain
    };
    let (mut receivers, mut crossed) = (HashSet::default(), 0);
    for target in gossip_targets(&own.domain, others, draw) {
        let to_domain = domain_of(target.address);
        crossed += usize::from(*to_domain != own.domain);
        receivers.insert(target.address);
        if target.is_relay && !silent.contains(&target.address) {
            for address in relay_targets(to_domain, others, target.address) {
                assert_eq!(domain_of(address), to_domain);
                receivers.insert(address);
            }
        }
    }
    (receivers, crossed)
}

#[test]
fn every_peer_receives_a_message_that_crosses_once_to_each_domain() {
    for count in [30, 100, 300] {
        let peers = fleet(count);
        for draw in 0..7 {
            let (receivers, crossed) = gossip(&peers, draw, &[]);
            assert_eq!(receivers.len(), count - 1, "{count} peers, draw {draw}");
            assert_eq!(crossed, DOMAINS - 1, "{count} peers");
        }
    }
}

/// The number of messages that a process sends grows with its own domain and not with the fleet.
#[test]
fn a_process_sends_to_its_own_domain_and_to_one_peer_in_each_other() {
    let peers = fleet(300);
    let own = gossip_targets(&peers[0].domain, &peers[1..], 3).len();
    assert_eq!(own, 300 / DOMAINS - 1 + DOMAINS - 1);
}

/// The domain of a frozen agent misses the messages that the agent should have relayed, and
/// receives the next ones.
#[test]
fn a_frozen_relay_loses_only_a_part_of_the_messages() {
    let peers = fleet(100);
    let frozen: Vec<SocketAddr> = peers[1..]
        .iter()
        .filter(|peer| peer.can_relay && peer.domain == domain(1))
        .map(|peer| peer.address)
        .take(1)
        .collect();
    let mut missed = 0;
    for draw in 0..26 {
        let (receivers, _) = gossip(&peers, draw, &frozen);
        missed += usize::from(receivers.len() < 99);
    }
    assert!((1..=2).contains(&missed), "{missed} of 26");
}

#[test]
fn a_domain_without_a_relay_gets_gossip_directly() {
    let mut peers = fleet(30);
    for peer in &mut peers {
        peer.can_relay = false;
    }
    let (receivers, crossed) = gossip(&peers, 0, &[]);
    assert_eq!(receivers.len(), 29);
    assert_eq!(crossed, 24);
}
