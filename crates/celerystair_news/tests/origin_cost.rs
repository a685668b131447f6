//! What the records of where streams began cost in datagrams and bytes.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const START_UNIX_MS: u64 = 1_000_000;
/// IPv4 and UDP.
const HEADER_BYTES: usize = 28;
/// Streams that begin at one router, of 5,000 a second over 340.
const STREAMS_PER_SECOND: f64 = 5000.0 / 340.0;
/// What a router may use for control, less what is measured of the rest in `docs/CAPACITY.md`.
const BYTES_PER_SECOND_MAX: f64 = 17_000.0 - 2760.0;

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

/// Datagrams that were sent.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    datagrams: usize,
    bytes: usize,
}

/// Sends the messages to a socket and counts what arrives.
async fn count(messages: HashMap<SocketAddr, Vec<OriginRecord>>, cost: &mut Cost) {
    let sender = GossipSocket::bind(LOOPBACK).expect("a loopback port is free");
    let receiver = UdpSocket::bind(LOOPBACK).expect("a loopback port is free");
    receiver.set_nonblocking(true).expect("it may not block");
    let address = receiver.local_addr().expect("it has an address");
    let mut buffer = vec![0; 16 * 1024];
    for records in messages.into_values() {
        let message = std::iter::once((address, records)).collect();
        assert!(send_records(&sender, message).await.is_empty());
        while let Ok(length) = receiver.recv(&mut buffer) {
            cost.datagrams += 1;
            cost.bytes += length + HEADER_BYTES;
        }
    }
}

/// Guards against records that cost a router more than a fleet of the planned size may.
#[test]
fn the_records_of_streams_fit_the_bytes_that_control_may_use() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    let origin = StreamOrigin {
        service: ServiceName::from("caption-llm"),
        version: SoftwareVersion::from("v1.2.3"),
    };
    for (routers, agents, domains) in [(5, 12, 3), (25, 46, 3), (340, 1000, 10)] {
        let all = HolderPeers {
            agents: peers(agents, domains, 2),
            routers: peers(routers, domains, 1),
        };
        let mut others = all.clone();
        let own = others.routers.remove(0);
        let table = OriginTable::default();
        let mut points = Vec::new();
        let mut cost = Cost::default();
        for number in 1..=400 {
            let request = RequestId::from(format!("request-{number}"));
            let streams = [
                (StreamId::begun_by(&request), StreamKey::Request),
                (
                    StreamId::of_identical(number, None, &[]),
                    StreamKey::SharedBytes,
                ),
            ];
            let messages = table.begin(&streams, &origin, &others, START_UNIX_MS);
            runtime.block_on(count(messages, &mut cost));
            if [50, 100, 200, 400].contains(&number) {
                points.push((number, cost));
            }
        }
        let (first, last) = (points[0], points[3]);
        let per_stream = |first: usize, last: usize| (last - first) as f64 / 350.0;
        let bytes = per_stream(first.1.bytes, last.1.bytes);
        let datagrams = per_stream(first.1.datagrams, last.1.datagrams);
        // Of all that is sent, routers receive what they hold.
        let share = 3.0 / 9.0;
        let per_second = STREAMS_PER_SECOND * bytes * (1.0 + share);
        println!(
            "{routers} routers, {agents} agents: {datagrams:.2} datagrams, {bytes:.0} bytes a stream"
        );
        if routers == 340 {
            println!("at 5,000 streams a second: {per_second:.0} bytes a second at a router");
            assert!(per_second < BYTES_PER_SECOND_MAX, "{per_second}");
        }
        // One agent starts again.
        let mut held = table.held.borrow_mut();
        held.retell(&table.origins.borrow(), &all, own.address, START_UNIX_MS);
        held.record_start(all.agents[0].address, 2);
        let messages = held.retell(&table.origins.borrow(), &all, own.address, START_UNIX_MS);
        drop(held);
        let records: usize = messages.values().map(Vec::len).sum();
        let mut cost = Cost::default();
        runtime.block_on(count(messages, &mut cost));
        println!(
            "an agent starts again: {records} records, {cost:?}, of 400 streams of this router"
        );
    }
}
