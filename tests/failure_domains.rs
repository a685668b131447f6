//! A whole failure domain is lost at once, and comes back as new instances.

#[path = "support/domains.rs"]
mod domains;
mod support;

use celerystair::{core::prelude::*, standin::platform::PlatformFaults, trial::prelude::*};
use domains::{
    answers_all_models, assert_held, is_answered, outcomes, placed_on_live, placements,
    roomy_trial, start_loaded,
};
use support::block_on;

const LOST: &str = "c";
/// How long the platform's list still shows instances of a domain that is gone.
const LISTED_MS: u64 = 15_000;
/// After this a router has noticed that a connection is dead: pings every 5 s, which wait for 2 s,
/// and a new connection that is given up after 1 s, all after the next call.
const NOTICED_MS: u64 = 10_000;
const MODELS: usize = 6;

#[test]
fn models_go_on_at_their_other_slot_when_a_domain_is_lost() {
    block_on(async {
        let settings = roomy_trial();
        let (mut fleet, load) = start_loaded(&settings).await;
        placed_on_live(&fleet).await;
        let lost = fleet.routers_in(LOST);
        let left: Vec<usize> = (0..3).filter(|index| !lost.contains(index)).collect();
        answers_all_models(&load, &[0, 1, 2], MODELS).await;
        let before = placements(&fleet).await;
        let lost_unix_ms = now_unix_ms();
        fleet.lose_domain(LOST);
        for router in &lost {
            load.set_router_address(*router, None);
        }
        sleep_ms(LISTED_MS).await;
        let after = placements(&fleet).await;
        assert_eq!(after, before, "a slot moved while its holder was listed");
        // Every model has a slot in another domain.
        answers_all_models(&load, &left, MODELS).await;
        fleet
            .delist_instances(LOST)
            .await
            .expect("the platform answers");
        placed_on_live_without(&fleet, LOST).await;
        answers_all_models(&load, &left, MODELS).await;
        fleet.restore_domain(LOST).await.expect("the domain starts");
        for router in &lost {
            fleet
                .wait_until_router_ready(*router)
                .await
                .expect("a router");
            load.set_router_address(*router, Some(fleet.router_address(*router)));
        }
        answers_all_models(&load, &[0, 1, 2], MODELS).await;
        let served = load.end().await;
        println!("{}", outcomes(&served));
        assert_held(&fleet, &served, |call| {
            lost.contains(&call.router) && call.received.called_unix_ms <= lost_unix_ms
        });
        let mut late = served
            .iter()
            .filter(|call| call.received.called_unix_ms > lost_unix_ms + NOTICED_MS);
        let refused = late.find(|call| !is_answered(call));
        assert!(refused.is_none(), "{refused:?}");
        fleet.end();
    });
}

#[test]
fn models_go_on_when_a_domain_is_lost_in_an_outage_of_the_store() {
    block_on(async {
        let settings = roomy_trial();
        let (mut fleet, load) = start_loaded(&settings).await;
        placed_on_live(&fleet).await;
        let lost = fleet.routers_in(LOST);
        let left: Vec<usize> = (0..3).filter(|index| !lost.contains(index)).collect();
        answers_all_models(&load, &[0, 1, 2], MODELS).await;
        let before = placements(&fleet).await;
        set_store_down(&fleet, true).await;
        let lost_unix_ms = now_unix_ms();
        fleet.lose_domain(LOST);
        for router in &lost {
            load.set_router_address(*router, None);
        }
        // The platform drops the instances while nobody can read its list.
        fleet
            .delist_instances(LOST)
            .await
            .expect("the platform answers");
        sleep_ms(LISTED_MS).await;
        answers_all_models(&load, &left, MODELS).await;
        let up_unix_ms = now_unix_ms();
        set_store_down(&fleet, false).await;
        let after = placements(&fleet).await;
        assert_eq!(after, before, "a slot moved without the list");
        placed_on_live_without(&fleet, LOST).await;
        answers_all_models(&load, &left, MODELS).await;
        let served = load.end().await;
        println!("{}", outcomes(&served));
        assert_held(&fleet, &served, |call| {
            lost.contains(&call.router) && call.received.called_unix_ms <= lost_unix_ms
        });
        let noticed = lost_unix_ms + NOTICED_MS..up_unix_ms;
        let mut during = served
            .iter()
            .filter(|call| noticed.contains(&call.received.called_unix_ms));
        let refused = during.find(|call| call.model().is_some() && !is_answered(call));
        assert!(refused.is_none(), "{refused:?}");
        fleet.end();
    });
}

async fn set_store_down(fleet: &FaultFleet, down: bool) {
    let faults = PlatformFaults {
        down,
        ..PlatformFaults::default()
    };
    fleet.set_faults(&faults).await.expect("faults are set");
}

/// Waits until no slot is held in `domain`, and none is missing.
async fn placed_on_live_without(fleet: &FaultFleet, domain: &str) {
    domains::wait_until("slots have moved", async || {
        let gone = fleet.agents_in(domain);
        let placements = placements(fleet).await;
        placements.iter().all(|(_, placement)| {
            placement.slots.len() == domains::DECIDED as usize
                && placement.slots.iter().all(|slot| {
                    let mut gone = gone.iter().map(|index| &fleet.upstreams[*index]);
                    gone.all(|upstream| upstream.instance != slot.instance)
                })
        })
    })
    .await;
}
