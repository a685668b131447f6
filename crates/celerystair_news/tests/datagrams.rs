//! What is sent is what is heard, whoever told it on.

use std::net::{Ipv4Addr, SocketAddr};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn demand(port: u16) -> GossipMessage {
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
        address,
        received_unix_ms: 1000,
    })
}

fn engine() -> GossipMessage {
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
        cold_loads_seen: ColdLoadObservations {
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
        received_unix_ms: 1000,
        address: Ipv4Addr::new(10, 1, 0, 9),
    })
}

#[test]
fn what_is_sent_is_what_is_heard() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let sender = GossipSocket::bind(LOOPBACK).expect("a socket");
        let receiver = GossipSocket::bind(LOOPBACK).expect("a socket");
        // Processes take news on one port, so a router's is the sender's.
        let port = sender.local_address().expect("its address").port();
        let adapters = vec![(ModelName::from("m1"), "a1".to_owned())];
        for news in [
            demand(port),
            engine(),
            GossipMessage::AdaptersWanted(adapters),
        ] {
            for tells_on in [false, true] {
                let target = GossipTarget {
                    address: receiver.local_address().expect("its address"),
                    is_relay: tells_on,
                };
                assert!(sender.send(&news, &[target]).await.is_empty());
                let heard = receiver.receive(|| 1000).await.expect("news");
                let sent = ReceivedGossip {
                    message: news.clone(),
                    should_relay: tells_on,
                };
                assert_eq!(heard, sent);
            }
        }
    });
}

#[test]
fn old_news_and_other_bytes_are_left_alone() {
    let board = EngineStatusTable::default();
    let GossipMessage::Engine(status) = engine() else {
        panic!("news of an engine");
    };
    assert!(board.insert_if_newer(status.clone()));
    assert!(!board.insert_if_newer(status.clone()), "told on by two");
    assert!(board.heard_from(2000).contains(&status.address));
    assert!(board.heard_from(60_000).is_empty(), "not heard of late");
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let receiver = GossipSocket::bind(LOOPBACK).expect("a socket");
        let address = receiver.local_address().expect("its address");
        let stranger = std::net::UdpSocket::bind(LOOPBACK).expect("a socket");
        stranger.send_to(b"no news at all", address).expect("sent");
        let sender = GossipSocket::bind(LOOPBACK).expect("a socket");
        let target = GossipTarget {
            address,
            is_relay: false,
        };
        sender.send(&engine(), &[target]).await;
        let heard = receiver.receive(|| 1000).await.expect("news");
        assert_eq!(heard.message, engine());
    });
}
