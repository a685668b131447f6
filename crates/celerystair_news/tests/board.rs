//! The table in which an agent keeps the demand of routers.

use std::net::{Ipv4Addr, SocketAddr};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;

fn demand_received_at(router: &str, received_unix_ms: u64) -> RouterDemand {
    RouterDemand {
        router: router.to_owned(),
        sequence: received_unix_ms,
        models: Vec::new(),
        agents: Vec::new(),
        rate_limits: Vec::new(),
        leaving: Vec::new(),
        config_version: 0,
        failure_domain: FailureDomain::from("a"),
        address: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 7000),
        started_unix_ms: 0,
        received_unix_ms,
    }
}

/// Guards against a router that is paused, or between two datagrams, losing its share of the
/// fleet-wide limits to the others while it still uses it.
#[test]
fn a_router_that_stops_sending_is_counted_for_a_minute() {
    let table = DemandTable::default();
    table.insert_if_newer(demand_received_at("one", 1000));
    table.insert_if_newer(demand_received_at("two", 6000));
    table.remove_expired(9000);
    assert_eq!(table.router_peers().len(), 1);
    assert_eq!(table.router_count(), 2);
    table.remove_expired(61_000);
    assert_eq!(table.router_count(), 1);
}

#[test]
fn an_upstream_that_leaves_is_known_by_its_incarnation() {
    let incarnation = |started_unix_ms| UpstreamIncarnation {
        upstream: UpstreamId::from("e1"),
        started_unix_ms,
    };
    let table = DemandTable::default();
    table.insert_if_newer(demand_received_at("one", 1000));
    table.insert_if_newer(RouterDemand {
        leaving: vec![incarnation(5)],
        ..demand_received_at("two", 1000)
    });
    assert!(table.is_leaving(&incarnation(5)));
    assert!(!table.is_leaving(&incarnation(6)), "it has started again");
}
