//! Encoding, decoding and deduplication of gossip datagrams.

use std::net::{Ipv4Addr, SocketAddr};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The demand of a router whose gossip port is `port`.
fn demand_message(port: u16) -> GossipMessage {
    let view = ModelView {
        requests_per_second: 12.125,
        waiting: 3,
        running: 40,
        target_latency_ms: 500.0,
    };
    let address = SocketAddr::new(Ipv4Addr::new(10, 1, 0, 7).into(), port);
    GossipMessage::Demand(RouterDemand {
        router: "router-1".to_owned(),
        sequence: 7,
        models: vec![(ModelName::from("m1"), view)],
        agents: vec![(FailureDomain::from("a"), vec![Ipv4Addr::new(10, 1, 0, 9)])],
        failure_domain: FailureDomain::from("b"),
        rate_limits: vec![(UpstreamId::from("e1"), 3.25)],
        config_version: 12,
        leaving: vec![UpstreamIncarnation {
            upstream: UpstreamId::from("e2"),
            started_unix_ms: 6,
        }],
        address,
        started_unix_ms: 1_700_000_000_456,
        received_unix_ms: 1000,
    })
}

fn engine_message(port: u16) -> GossipMessage {
    GossipMessage::Engine(EngineStatus {
        upstream: UpstreamId::from("e1"),
        started_unix_ms: 5,
        sequence: 9,
        loaded: vec![LoadedModel {
            model: ModelName::from("m1"),
            adapters: vec!["a1".to_owned()],
        }],
        loading: Some(ModelName::from("m2")),
        ready_unix_ms: 1700,
        is_loading_cold: true,
        cold_load_observations: ColdLoadObservations {
            on_time_concurrency: 4,
            full_speed_concurrency: 3,
            forget_unix_ms: u64::MAX,
        },
        waiting: 1,
        running: 2,
        in_memory: vec![ModelName::from("m1")],
        on_disk: vec![ModelName::from("m3")],
        router_count: 5,
        takes_orders: true,
        is_leaving: true,
        received_unix_ms: 1000,
        address: Ipv4Addr::new(10, 1, 0, 9),
        software_version: Some("v1.1".into()),
        config_version: 13,
        agent_started_unix_ms: 1_700_000_000_123,
        some_routers: vec![RouterProcess {
            address: SocketAddr::new(Ipv4Addr::new(10, 1, 0, 8).into(), port),
            domain: FailureDomain::from("c"),
            started_unix_ms: 1_700_000_000_789,
        }],
    })
}

/// Records that are to be held, and answers.
fn origin_news(origin: &StreamOrigin) -> Vec<OriginNews> {
    let news = |stream, origin, held| OriginNews {
        stream: StreamId(stream),
        origin,
        held,
    };
    let held = |key| HeldNews {
        key,
        recorded_ms_ago: 7,
    };
    vec![
        news(1, Some(origin.clone()), Some(held(StreamKey::Request))),
        news(2, Some(origin.clone()), Some(held(StreamKey::SharedBytes))),
        news(3, Some(origin.clone()), None),
        news(4, None, None),
    ]
}

fn part_report() -> PartReport {
    PartReport {
        part: PromptPartId(8),
        position: 1,
        crashes: vec![PartCrashReport {
            id: CrashId(1),
            request: 9,
            since_ms_ago: 300,
            ended_ms_ago: 100,
            is_fresh: true,
        }],
        cleared: vec![CrashId(3)],
        known_good_ms_ago: Some(0),
        is_answered: true,
        expires_in_ms: 60_000,
    }
}

#[test]
fn every_message_survives_encoding_with_and_without_a_relay_request() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let sender = GossipSocket::bind(LOOPBACK).expect("a loopback port is free");
        let receiver = GossipSocket::bind(LOOPBACK).expect("a loopback port is free");
        // All processes use the same gossip port, so the receiver takes the sender's for the
        // router's.
        let port = sender
            .local_address()
            .expect("a bound socket has an address")
            .port();
        let adapters = vec![(ModelName::from("m1"), "a1".to_owned())];
        let report = SuspectReport {
            fingerprint: 7,
            crashes: vec![CrashId(1), CrashId(2)],
            cleared: vec![CrashId(3)],
            is_answered: true,
            expires_in_ms: 60_000,
        };
        let origin = StreamOrigin {
            service: ServiceName::from("s1"),
            version: SoftwareVersion::from("v1"),
        };
        for message in [
            demand_message(port),
            engine_message(port),
            GossipMessage::AdaptersWanted(adapters),
            GossipMessage::Suspects(vec![report]),
            GossipMessage::SuspectParts(vec![part_report()]),
            GossipMessage::StreamOrigins(origin_news(&origin)),
            GossipMessage::StreamOriginsWanted(vec![StreamId(3)]),
        ] {
            for should_relay in [false, true] {
                let target = GossipTarget {
                    address: receiver
                        .local_address()
                        .expect("a bound socket has an address"),
                    is_relay: should_relay,
                };
                assert!(sender.send(&message, &[target]).await.is_empty());
                let delivered = receiver
                    .receive(|| 1000)
                    .await
                    .expect("a gossip message arrives");
                let sent = ReceivedGossip {
                    message: message.clone(),
                    should_relay,
                    sender: sender
                        .local_address()
                        .expect("a bound socket has an address"),
                };
                assert_eq!(delivered, sent);
            }
        }
    });
}

/// A status that two agents relay arrives twice. Any process can send bytes to the gossip port;
/// they must neither be taken for a message nor end the receiver.
#[test]
fn repeated_statuses_and_undecodable_datagrams_are_ignored() {
    let table = EngineStatusTable::default();
    let GossipMessage::Engine(status) = engine_message(1) else {
        panic!("expected the status of an engine");
    };
    assert!(table.insert_if_newer(status.clone()));
    assert!(
        !table.insert_if_newer(status.clone()),
        "relayed by two agents"
    );
    assert!(table.fresh_addresses(2000).contains(&status.address));
    assert!(table.fresh_addresses(60_000).is_empty(), "no longer fresh");
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let receiver = GossipSocket::bind(LOOPBACK).expect("a loopback port is free");
        let address = receiver
            .local_address()
            .expect("a bound socket has an address");
        let other_sender = std::net::UdpSocket::bind(LOOPBACK).expect("a loopback port is free");
        other_sender
            .send_to(b"no news at all", address)
            .expect("the datagram is sent");
        let sender = GossipSocket::bind(LOOPBACK).expect("a loopback port is free");
        let target = GossipTarget {
            address,
            is_relay: false,
        };
        let port = sender
            .local_address()
            .expect("a bound socket has an address")
            .port();
        sender.send(&engine_message(port), &[target]).await;
        let delivered = receiver
            .receive(|| 1000)
            .await
            .expect("a gossip message arrives");
        assert_eq!(delivered.message, engine_message(port));
    });
}
