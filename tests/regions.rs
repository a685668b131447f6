//! Two regions lose each other for a while, with and without the platform's store.

#[path = "support/domains.rs"]
mod domains;
mod support;

use std::ops::Range;

use celerystair::{
    config::prelude::FleetDocument,
    core::prelude::*,
    platform::{
        objects::CONFIG_HEAD_KEY,
        prelude::{CallPriority, Expected, PlacementObject, Store},
    },
    trial::{fleet::store_settings, prelude::*},
};
use domains::{
    answers_all_models, assert_held, outcomes, placed_on_live, placements, roomy_trial,
    start_loaded, wait_until,
};
use support::block_on;

/// The region that is cut off; the failure domains `a` and `b` are the other.
const CUT_OFF: [&str; 1] = ["c"];
const CUT_MS: u64 = 15_000;
/// After this a router has noticed that a connection is dead: pings every 5 s, which wait for 2 s,
/// and a new connection that is given up after 1 s, all after the next call.
const NOTICED_MS: u64 = 10_000;
const MODELS: usize = 6;
/// By when an accepted configuration is in force everywhere.
const IN_FORCE_MS: u64 = 4000;
const QUEUE_MAX: u32 = 77;

/// Accepts another revision of the configuration; gives its number.
async fn change_config(fleet: &FaultFleet) -> u64 {
    let store = Store::new(store_settings(&fleet.platform_url)).expect("a client");
    let found = store.get(CONFIG_HEAD_KEY).await.expect("the store answers");
    let found = found.expect("a configuration");
    let mut document = found.read::<FleetDocument>().expect("a document");
    document.revision += 1;
    document.defaults.queue_max = QUEUE_MAX + document.revision as u32;
    let expected = Expected::Version(found.version);
    let written = store.put(CONFIG_HEAD_KEY, &document, expected, CallPriority::Normal);
    written.await.expect("the configuration is written");
    document.revision
}

/// Waits until these failure domains' processes all have `revision` in force.
async fn in_force(fleet: &FaultFleet, domains: &[&str], revision: u64) {
    wait_until("the revision is in force", async || {
        fleet
            .revisions_in(domains)
            .iter()
            .all(|found| *found >= revision)
    })
    .await;
}

async fn regions_lose_each_other(kind: CutKind, with_store: bool) {
    let settings = roomy_trial();
    let (mut fleet, load) = start_loaded(&settings).await;
    placed_on_live(&fleet).await;
    answers_all_models(&load, &[0, 1, 2], MODELS).await;
    let before = placements(&fleet).await;
    let cut_unix_ms = now_unix_ms();
    fleet.network.cut(&CUT_OFF, kind);
    if !with_store {
        fleet.network.cut_platform(&CUT_OFF);
    }
    let revision = change_config(&fleet).await;
    let accepted_unix_ms = now_unix_ms();
    in_force(&fleet, &["a", "b"], revision).await;
    if with_store {
        in_force(&fleet, &CUT_OFF, revision).await;
    }
    let took_ms = now_unix_ms() - accepted_unix_ms;
    println!("in force after {took_ms} ms");
    assert!(took_ms <= IN_FORCE_MS, "in force after {took_ms} ms");
    sleep_ms(CUT_MS).await;
    let after = placements(&fleet).await;
    assert_eq!(after, before, "a slot moved for being out of reach");
    if !with_store {
        let behind = fleet.revisions_in(&CUT_OFF);
        assert!(behind.iter().all(|found| *found < revision), "{behind:?}");
    }
    let healed_unix_ms = now_unix_ms();
    fleet.network.heal();
    in_force(&fleet, &["a", "b", "c"], revision).await;
    println!("caught up after {} ms", now_unix_ms() - healed_unix_ms);
    answers_all_models(&load, &[0, 1, 2], MODELS).await;
    assert!(!fleet.has_reverted(), "a revision fell");
    let served = load.end().await;
    let during: Vec<CompletedCall> = served
        .iter()
        .filter(|call| (cut_unix_ms..healed_unix_ms).contains(&call.received.called_unix_ms))
        .cloned()
        .collect();
    println!("called during the cut: {}", outcomes(&during));
    let mut waits_ms: Vec<u64> = during
        .iter()
        .filter(|call| call.received.called_unix_ms > cut_unix_ms + NOTICED_MS)
        .filter(|call| call.model().is_some() && !domains::is_answered(call))
        .map(|call| call.received.ended_unix_ms - call.received.called_unix_ms)
        .collect();
    waits_ms.sort_unstable();
    println!("refusals without a slot in reach came after, in ms: {waits_ms:?}");
    assert_held(&fleet, &served, |_| false);
    let noticed = cut_unix_ms + NOTICED_MS..healed_unix_ms;
    assert_in_reach_answered(&fleet, &before, &served, noticed);
    fleet.end();
}

/// Fails unless every call for a model with a slot in its router's region was answered.
fn assert_in_reach_answered(
    fleet: &FaultFleet,
    placements: &[(String, PlacementObject)],
    served: &[CompletedCall],
    called_unix_ms: Range<u64>,
) {
    let cut_off = |upstream: &UpstreamId| {
        let mut upstreams = fleet.upstreams.iter();
        upstreams.any(|u| u.name == *upstream && CUT_OFF.contains(&&*u.failure_domain))
    };
    let routers = fleet.routers_in(CUT_OFF[0]);
    let mut in_reach = 0;
    for call in served {
        let Some(model) = call.model() else {
            continue;
        };
        let placed = placements.iter().find(|(key, _)| key.ends_with(model));
        let is_cut_off = routers.contains(&call.router);
        let is_near = placed.is_some_and(|(_, placement)| {
            let mut slots = placement.slots.iter();
            slots.any(|slot| cut_off(&slot.upstream) == is_cut_off)
        });
        if is_near && called_unix_ms.contains(&call.received.called_unix_ms) {
            in_reach += 1;
            assert_eq!(call.received.outcome, Outcome::Answered, "{call:?}");
        }
    }
    println!("{in_reach} calls had a slot in reach, and all were answered");
    assert!(in_reach > 0, "no call had a slot in reach");
}

#[test]
fn regions_that_lose_each_other_silently_keep_every_promise() {
    block_on(regions_lose_each_other(CutKind::Silent, true));
}

#[test]
fn regions_whose_connections_are_reset_keep_every_promise() {
    block_on(regions_lose_each_other(CutKind::Reset, true));
}

#[test]
fn a_region_cut_off_from_the_store_too_catches_up_and_never_reverts() {
    block_on(regions_lose_each_other(CutKind::Silent, false));
}

#[test]
fn a_region_that_is_cut_off_by_resets_and_from_the_store_catches_up() {
    block_on(regions_lose_each_other(CutKind::Reset, false));
}
