//! What the tests of failure domains share: a fleet over three of them, and a load on it.

#![allow(dead_code)]

use celerystair::{
    config::prelude::*,
    core::prelude::*,
    platform::{
        objects::PLACEMENT_KEY_PREFIX,
        prelude::{PlacementObject, Store},
    },
    trial::{fleet::store_settings, prelude::*},
};

const SETTINGS: &str = include_str!("domains.jsonc");
const CONDITION_TIMEOUT_MS: u64 = 60_000;
const POLL_INTERVAL_MS: u64 = 50;
/// Replicas that are decided for each model.
pub const DECIDED: u32 = 2;
/// How long callers wait.
pub const TIMEOUT_MS: u64 = 5000;
const CALL_INTERVAL_MS: u64 = 50;

/// Six engines, three services, three routers and six models over three failure domains.
pub fn domains_trial() -> TrialSettings {
    read_settings("tests/support/domains.jsonc", SETTINGS).expect("the settings can be used")
}

/// The same with room for every model at each engine: whichever slots are left, none is refused
/// for want of memory.
pub fn roomy_trial() -> TrialSettings {
    let mut settings = domains_trial();
    settings.pools[0].engine.memory_bytes = 3000;
    settings
}

/// Starts the fleet and a load on all its routers.
pub async fn start_loaded(settings: &TrialSettings) -> (FaultFleet, SteadyLoad) {
    start_called_every(settings, CALL_INTERVAL_MS).await
}

/// The same with calls at each router every `interval_ms`.
pub async fn start_called_every(
    settings: &TrialSettings,
    interval_ms: u64,
) -> (FaultFleet, SteadyLoad) {
    let fleet = FaultFleet::start(settings).await;
    let fleet = fleet.expect("the fleet starts");
    let caller = Caller::new().expect("a caller");
    let routers = 0..settings.routers as usize;
    let routers = routers.map(|index| Some(fleet.router_address(index)));
    let routers = routers.collect();
    let load = SteadyLoad::start(settings, &caller, routers, interval_ms, TIMEOUT_MS);
    (fleet, load)
}

/// All placements, by model.
pub async fn placements(fleet: &FaultFleet) -> Vec<(String, PlacementObject)> {
    let store = Store::new(store_settings(&fleet.platform_url)).expect("a client");
    let list = loop {
        match store.list(PLACEMENT_KEY_PREFIX).await {
            Ok(list) => break list,
            Err(error) => println!("asked again: {error}"),
        }
    };
    let objects = list.objects.iter();
    let read = objects.map(|object| {
        let placement = object.read::<PlacementObject>().expect("a placement");
        (object.key.clone(), placement)
    });
    read.collect()
}

/// Waits until each model has as many slots as are decided, all at instances that live.
pub async fn placed_on_live(fleet: &FaultFleet) {
    wait_until("all slots at live instances", async || {
        let placements = placements(fleet).await;
        let mut slots = placements.iter().flat_map(|(_, p)| &p.slots);
        let is_live = slots.all(|slot| {
            let upstreams = fleet.upstreams.iter();
            let mut holders = upstreams.filter(|u| u.name == slot.upstream);
            holders.any(|upstream| upstream.instance == slot.instance)
        });
        is_live
            && placements
                .iter()
                .all(|(_, p)| p.slots.len() == DECIDED as usize)
    })
    .await;
}

/// Waits until `holds`.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline_unix_ms = now_unix_ms() + CONDITION_TIMEOUT_MS;
    while !holds().await {
        assert!(now_unix_ms() < deadline_unix_ms, "not in time: {what}");
        sleep_ms(POLL_INTERVAL_MS).await;
    }
}

/// Whether an answer was whole.
pub fn is_answered(served: &CompletedCall) -> bool {
    served.received.outcome == Outcome::Answered
}

/// Waits until each of `routers` has answered a call to every model that was made from now on.
pub async fn answers_all_models(load: &SteadyLoad, routers: &[usize], models: usize) {
    let since_unix_ms = now_unix_ms();
    wait_until("each router answers for each model", async || {
        let served = load.completed_calls();
        let mut answered = HashSet::default();
        for call in served.iter().filter(|call| is_answered(call)) {
            if call.received.called_unix_ms >= since_unix_ms
                && let Some(model) = call.model()
            {
                answered.insert((call.router, model.to_owned()));
            }
        }
        routers.iter().all(|router| {
            let there = answered.iter().filter(|(by, _)| by == router);
            there.count() == models
        })
    })
    .await;
}

/// The outcomes with their counts, for the message of a failure.
pub fn outcomes(served: &[CompletedCall]) -> String {
    let mut counts: std::collections::BTreeMap<String, u32> = std::collections::BTreeMap::new();
    for call in served {
        let word = format!("router {} {:?}", call.router, call.received.outcome);
        *counts.entry(word).or_default() += 1;
    }
    format!("{counts:#?}")
}

/// Fails unless everything held that must always hold.
pub fn assert_held(
    fleet: &FaultFleet,
    served: &[CompletedCall],
    is_excused: impl Fn(&CompletedCall) -> bool,
) {
    let violations =
        check_completed_calls(&fleet.witness.observations(), served, DECIDED, is_excused);
    assert!(
        violations.is_empty(),
        "{violations:#?}\n{}",
        outcomes(served)
    );
}
