//! Replays news over fleets of 30, 100 and 300 instances in several failure domains.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use celerystair_core::prelude::*;
use celerystair_policy::spread::{Peer, gossip_targets, relay_targets};

const DOMAINS: usize = 5;

fn domain(number: usize) -> FailureDomain {
    FailureDomain::from(format!("d{}", number % DOMAINS))
}

/// Two agents to a router, spread over the domains.
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

/// Who hears one piece of news of the first peer, if those in `silent` tell nothing on; and how many
/// datagrams cross between domains.
fn spread(peers: &[Peer], draw: u64, silent: &[SocketAddr]) -> (HashSet<SocketAddr>, usize) {
    let (own, others) = peers.split_first().expect("a peer");
    let domain_of = |address: SocketAddr| {
        let peer = peers.iter().find(|peer| peer.address == address);
        &peer.expect("a known peer").domain
    };
    let (mut heard, mut crossed) = (HashSet::default(), 0);
    for send in gossip_targets(&own.domain, others, draw) {
        let to_domain = domain_of(send.address);
        crossed += usize::from(*to_domain != own.domain);
        heard.insert(send.address);
        if send.is_relay && !silent.contains(&send.address) {
            for address in relay_targets(to_domain, others, send.address) {
                assert_eq!(domain_of(address), to_domain);
                heard.insert(address);
            }
        }
    }
    (heard, crossed)
}

#[test]
fn everybody_hears_and_little_crosses_between_domains() {
    for count in [30, 100, 300] {
        let peers = fleet(count);
        for draw in 0..7 {
            let (heard, crossed) = spread(&peers, draw, &[]);
            assert_eq!(heard.len(), count - 1, "{count} peers, draw {draw}");
            assert_eq!(crossed, DOMAINS - 1, "{count} peers");
        }
    }
}

/// What a process itself sends grows with its own domain and no longer with the fleet.
#[test]
fn a_process_sends_to_its_own_domain_and_one_of_each_other() {
    let peers = fleet(300);
    let own = gossip_targets(&peers[0].domain, &peers[1..], 3).len();
    assert_eq!(own, 300 / DOMAINS - 1 + DOMAINS - 1);
}

/// An agent stands still: its domain misses the news that it was to tell on, and hears the next.
#[test]
fn one_that_stands_still_costs_a_part_of_the_news() {
    let peers = fleet(100);
    let still: Vec<SocketAddr> = peers[1..]
        .iter()
        .filter(|peer| peer.can_relay && peer.domain == domain(1))
        .map(|peer| peer.address)
        .take(1)
        .collect();
    let mut missed = 0;
    for draw in 0..26 {
        let (heard, _) = spread(&peers, draw, &still);
        missed += usize::from(heard.len() < 99);
    }
    assert!((1..=2).contains(&missed), "{missed} of 26");
}

#[test]
fn a_domain_without_a_teller_is_told_directly() {
    let mut peers = fleet(30);
    for peer in &mut peers {
        peer.can_relay = false;
    }
    let (heard, crossed) = spread(&peers, 0, &[]);
    assert_eq!(heard.len(), 29);
    assert_eq!(crossed, 24);
}
