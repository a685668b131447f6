//! What an agent knows of routers.

use std::net::{Ipv4Addr, SocketAddr};

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;

fn demand(router: &str, received_unix_ms: u64) -> RouterDemand {
    RouterDemand {
        router: router.to_owned(),
        sequence: received_unix_ms,
        models: Vec::new(),
        agents: Vec::new(),
        failure_domain: FailureDomain::from("a"),
        address: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 7000),
        received_unix_ms,
    }
}

/// A router that is frozen or between two rounds of news goes on having its share of the bounds.
#[test]
fn a_router_that_has_fallen_silent_is_still_counted() {
    let board = DemandBoard::default();
    board.take(demand("one", 1000));
    board.take(demand("two", 6000));
    board.forget_silent(9000);
    assert_eq!(board.routers().len(), 1);
    assert_eq!(board.router_count(), 2);
    board.forget_silent(61_000);
    assert_eq!(board.router_count(), 1);
}
