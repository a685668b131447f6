//! Where streams began, held by routers and agents: replays of fleets whose processes are killed at once or
//! start again one after the other.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use celerystair_core::prelude::*;
use celerystair_policy::{prelude::*, stream_holders::HOLDERS_PER_ROLE};

const START_UNIX_MS: u64 = 1_000_000;
const STREAMS: u64 = 400;
/// Routers, agents, failure domains.
const FLEETS: [(usize, usize, usize); 4] = [(5, 12, 3), (25, 46, 3), (24, 44, 5), (340, 1000, 10)];

fn origin() -> StreamOrigin {
    StreamOrigin {
        service: ServiceName::from("engines"),
        version: SoftwareVersion::from("v1"),
    }
}

fn peers(count: usize, domains: usize, network: u8) -> Vec<Peer> {
    let peer = |number: usize| {
        let [.., higher, lower] = number.to_be_bytes();
        Peer {
            address: SocketAddr::new(Ipv4Addr::new(10, network, higher, lower).into(), 1),
            domain: FailureDomain::from(format!("domain-{}", number % domains)),
            can_relay: network == 2,
        }
    };
    (0..count).map(peer).collect()
}

fn streams() -> impl Iterator<Item = StreamId> {
    (0..STREAMS).map(|number| StreamId::begun_by(&RequestId::from(format!("request-{number}"))))
}

/// Processes that hold records and tell each other again, without loss.
struct Fleet {
    peers: HolderPeers,
    processes: HashMap<SocketAddr, Process>,
    now_unix_ms: u64,
}

#[derive(Default)]
struct Process {
    origins: StreamOrigins,
    held: HeldStreams,
}

impl Fleet {
    fn start((routers, agents, domains): (usize, usize, usize)) -> Self {
        let peers = HolderPeers {
            agents: peers(agents, domains, 2),
            routers: peers(routers, domains, 1),
        };
        let mut fleet = Self {
            processes: HashMap::default(),
            peers,
            now_unix_ms: START_UNIX_MS,
        };
        for address in fleet.addresses() {
            fleet.processes.insert(address, Process::default());
        }
        for address in fleet.addresses() {
            fleet.hear_start(address);
        }
        fleet.retell();
        fleet
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers.routers.iter().chain(&self.peers.agents);
        peers.map(|peer| peer.address).collect()
    }

    fn hear_start(&mut self, address: SocketAddr) {
        for (own, process) in &mut self.processes {
            if *own != address {
                process.held.record_start(address, self.now_unix_ms);
            }
        }
    }

    fn without(&self, address: SocketAddr) -> HolderPeers {
        let mut peers = self.peers.clone();
        peers.routers.retain(|peer| peer.address != address);
        peers.agents.retain(|peer| peer.address != address);
        peers
    }

    /// Begins streams at the first router.
    fn begin(&mut self) {
        let first = self.peers.routers[0].address;
        let peers = self.without(first);
        for stream in streams() {
            let holders = origin_holders(stream, StreamKey::Request, &peers);
            for holder in &holders {
                self.hold(*holder, &record_of(stream, self.now_unix_ms));
            }
            let process = self.process(first);
            process.origins.insert(stream, origin(), START_UNIX_MS);
            let key = StreamKey::Request;
            process
                .held
                .record_told(stream, key, holders, START_UNIX_MS);
        }
    }

    fn process(&mut self, address: SocketAddr) -> &mut Process {
        self.processes.get_mut(&address).expect("it runs")
    }

    fn hold(&mut self, holder: SocketAddr, record: &OriginRecord) {
        let now_unix_ms = self.now_unix_ms;
        if let Some(process) = self.processes.get_mut(&holder) {
            process.held.record_held(record, now_unix_ms);
            let (stream, origin) = (record.stream, record.origin.clone());
            let recorded_unix_ms = record.recorded_unix_ms;
            process
                .origins
                .insert_recorded(stream, origin, recorded_unix_ms, now_unix_ms);
        }
    }

    /// All processes check once whom they have to tell again. Returns how many records were sent.
    fn retell(&mut self) -> usize {
        let (mut all, now_unix_ms) = (Vec::new(), self.now_unix_ms);
        for (address, Process { origins, held }) in &mut self.processes {
            all.extend(held.retell(origins, &self.peers, *address, now_unix_ms));
        }
        let records = all.iter().map(|(_, records)| records.len()).sum();
        for (holder, record) in all
            .iter()
            .flat_map(|(to, r)| r.iter().map(move |r| (to, r)))
        {
            self.hold(*holder, record);
        }
        records
    }

    /// Kills a process and starts it again, which the others hear.
    fn restart(&mut self, address: SocketAddr) -> usize {
        self.now_unix_ms += 500;
        self.processes.insert(address, Process::default());
        self.hear_start(address);
        self.retell()
    }

    /// Returns how many streams are found by a router that has just started and knows all processes.
    fn found(&self) -> u64 {
        let is_known = |holder: &SocketAddr, stream| {
            let process = self.processes.get(holder);
            process.is_some_and(|process| process.origins.get(stream) == Some(&origin()))
        };
        let is_found = |stream: &StreamId| {
            let key = StreamKey::Request;
            let asked = holders_asked(*stream, key, &self.peers, &self.peers.agents);
            asked.iter().any(|holder| is_known(holder, *stream))
        };
        streams().filter(is_found).count() as u64
    }
}

fn record_of(stream: StreamId, recorded_unix_ms: u64) -> OriginRecord {
    OriginRecord {
        stream,
        key: StreamKey::Request,
        origin: origin(),
        recorded_unix_ms,
    }
}

/// All processes of one role are killed, and the router that began the streams.
#[test]
fn streams_are_found_after_their_router_and_all_of_one_role_were_killed_at_once() {
    for size in FLEETS {
        for role in ["agents", "other routers"] {
            let mut fleet = Fleet::start(size);
            fleet.begin();
            let killed = if role == "agents" {
                &fleet.peers.agents
            } else {
                &fleet.peers.routers
            };
            for peer in killed {
                fleet.processes.remove(&peer.address);
            }
            let first = fleet.peers.routers[0].address;
            fleet.processes.remove(&first);
            assert_eq!(fleet.found(), STREAMS, "{size:?}, {role}");
        }
    }
}

/// Six in ten processes are killed at one moment, the router that began the streams among them.
#[test]
fn streams_are_found_after_six_in_ten_processes_were_killed_at_once() {
    for (size, plays) in [(FLEETS[0], 10), (FLEETS[1], 2), (FLEETS[2], 2)] {
        let mut found = 0;
        for seed in 0..plays {
            let mut fleet = Fleet::start(size);
            fleet.begin();
            let first = fleet.peers.routers[0].address;
            let mut addresses = fleet.addresses();
            addresses.sort_by_cached_key(|address| {
                let is_first = *address == first;
                let bytes = format!("{seed} {address}").into_bytes();
                (!is_first, celerystair_core::rendezvous::fingerprint(&bytes))
            });
            for address in &addresses[..addresses.len() * 6 / 10] {
                fleet.processes.remove(address);
            }
            found += fleet.found();
        }
        println!("{size:?}: {found} of {}", plays * STREAMS);
        assert!(found * 10 >= plays * STREAMS * 9, "{size:?}: {found}");
    }
}

/// The router that began the streams is gone, and then all other processes start again one after the other.
#[test]
fn streams_are_found_after_all_processes_have_started_again_in_turn() {
    for size in &FLEETS[..3] {
        let mut fleet = Fleet::start(*size);
        fleet.begin();
        let first = fleet.peers.routers[0].address;
        fleet.processes.remove(&first);
        let mut retold = 0;
        for address in fleet.addresses() {
            if address != first {
                retold += fleet.restart(address);
            }
        }
        println!("{size:?}: {retold} records told again for {STREAMS} streams");
        assert_eq!(fleet.found(), STREAMS, "{size:?}");
    }
}

/// A router that has just started knows no other process when it begins streams.
#[test]
fn streams_that_began_before_others_were_known_are_told_later() {
    let mut fleet = Fleet::start(FLEETS[0]);
    let all = std::mem::take(&mut fleet.peers);
    fleet.peers.routers = all.routers[..1].to_vec();
    fleet.begin();
    assert_eq!(fleet.retell(), 0);
    fleet.peers = all;
    fleet.retell();
    let first = fleet.peers.routers[0].address;
    fleet.processes.remove(&first);
    assert_eq!(fleet.found(), STREAMS);
}

/// Processes that tell each other again don't lengthen the life of a record, nor hold more than they may.
#[test]
fn records_end_however_often_they_are_told_again() {
    let mut fleet = Fleet::start(FLEETS[0]);
    fleet.begin();
    let addresses = fleet.addresses();
    let mut retold = 0;
    for address in addresses.iter().cycle().take(400) {
        retold = fleet.restart(*address);
    }
    assert_eq!(retold, 0, "over a minute has passed");
    let mut held = HeldStreams::default();
    let holders = vec![addresses[0]];
    let mut origins = StreamOrigins::default();
    for number in 0..20_000 {
        let (stream, key) = (StreamId(number), StreamKey::Request);
        origins.insert(stream, origin(), START_UNIX_MS);
        held.record_told(stream, key, holders.clone(), START_UNIX_MS);
    }
    held.record_start(addresses[0], START_UNIX_MS);
    let messages = held.retell(&origins, &fleet.peers, addresses[1], START_UNIX_MS);
    let records: usize = messages.values().map(Vec::len).sum();
    assert!(records <= 8 * 1024 * 2 * HOLDERS_PER_ROLE, "{records}");
}

/// Returns the shortest time that telling again takes in a few rounds, before each of which `change` runs.
fn shortest_round(fleet: &mut Fleet, mut change: impl FnMut(&mut Process, u64)) -> Duration {
    const ROUNDS: u64 = 10;
    let first = fleet.peers.routers[0].address;
    let (peers, now_unix_ms) = (fleet.peers.clone(), fleet.now_unix_ms);
    let process = fleet.process(first);
    let rounds = (1..=ROUNDS).map(|round| {
        change(process, now_unix_ms + round);
        let began = Instant::now();
        let messages = process
            .held
            .retell(&process.origins, &peers, first, now_unix_ms);
        let duration = began.elapsed();
        assert!(messages.is_empty());
        duration
    });
    rounds.min().expect("there are rounds")
}

/// All held streams were looked through with each status of an agent whose engine left.
#[test]
fn the_start_of_an_agent_that_holds_nothing_costs_no_look_through_all_streams() {
    let mut fleet = Fleet::start(FLEETS[0]);
    fleet.begin();
    let leaving = fleet.peers.agents.pop().expect("there are agents").address;
    fleet.retell();
    let known = shortest_round(&mut fleet, |_, _| {});
    let own = fleet.peers.routers[0].address;
    let looked_through = shortest_round(&mut fleet, |process, started_unix_ms| {
        process.held.record_start(own, started_unix_ms);
    });
    let left = shortest_round(&mut fleet, |process, _| {
        process.held.record_start(leaving, START_UNIX_MS);
    });
    println!("{known:?} unchanged, {looked_through:?} changed, {left:?} beside a leaving agent");
    assert!(left < (looked_through + known) / 2);
}

/// Where one role has few processes, the other takes their place.
#[test]
fn a_stream_has_as_many_holders_as_the_fleet_allows() {
    for (routers, agents, key, expected) in [
        (0, 0, StreamKey::Request, (0, 0)),
        (4, 0, StreamKey::Request, (4, 0)),
        (4, 1, StreamKey::Request, (4, 1)),
        (8, 1, StreamKey::Request, (5, 1)),
        (0, 12, StreamKey::Request, (0, 6)),
        (2, 12, StreamKey::Request, (2, 4)),
        (8, 12, StreamKey::Request, (3, 3)),
        (8, 12, StreamKey::SharedBytes, (0, 3)),
        (8, 2, StreamKey::SharedBytes, (1, 2)),
        (8, 0, StreamKey::SharedBytes, (3, 0)),
    ] {
        let fleet = HolderPeers {
            agents: peers(agents, 3, 2),
            routers: peers(routers, 3, 1),
        };
        for stream in streams() {
            let holders = origin_holders(stream, key, &fleet);
            let is_router = |a: &&SocketAddr| fleet.routers.iter().any(|r| r.address == **a);
            let routers = holders.iter().filter(is_router).count();
            let counts = (routers, holders.len() - routers);
            assert_eq!(counts, expected, "{agents} agents, {key:?}");
            let distinct: HashSet<&SocketAddr> = holders.iter().collect();
            assert_eq!(distinct.len(), holders.len());
            let asked = holders_asked(stream, key, &fleet, &fleet.agents);
            assert!(holders.iter().all(|holder| asked.contains(holder)));
        }
    }
}

/// Agents name a few routers in each status, and a router that nobody names is forgotten.
#[test]
fn routers_come_to_know_all_others_and_forget_those_that_are_gone() {
    for count in [1, 2, 5, 25, 340] {
        let all: Vec<RouterProcess> = peers(count, 3, 1)
            .into_iter()
            .map(|peer| RouterProcess {
                address: peer.address,
                domain: peer.domain,
                started_unix_ms: 1,
            })
            .collect();
        let mut known = KnownRouters::default();
        for sequence in 0..count as u64 {
            for router in routers_in_turn(all.clone(), sequence) {
                known.record(&router, START_UNIX_MS);
            }
        }
        assert_eq!(known.peers(START_UNIX_MS + 29_000).len(), count);
        assert!(known.peers(START_UNIX_MS + 31_000).is_empty());
    }
    assert!(routers_in_turn(Vec::new(), 7).is_empty());
}
