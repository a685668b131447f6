//! Simulates requests for more adapters at one engine than it can hold.

use celerystair_core::prelude::*;
use celerystair_policy::{
    adapters::{AdapterOrder, AdapterRoom, AdapterUse, adapter_room, next_adapter_order},
    prelude::*,
};

const SLOTS: usize = 8;
const ADAPTER_MB: f64 = 66.0;
/// There is memory for all slots.
const ROOM: AdapterRoom = AdapterRoom {
    slots: SLOTS,
    memory_mb: ADAPTER_MB * SLOTS as f64,
};
/// Time from one order that the engine accepts to the next.
const ORDER_MS: u64 = 15;

fn adapter(number: u64, last_requested_unix_ms: u64, is_loaded: bool) -> AdapterUse {
    AdapterUse {
        model: ModelName::from("m"),
        adapter: format!("a{number}"),
        memory_mb: ADAPTER_MB,
        last_requested_unix_ms,
        is_loaded,
    }
}

/// Carries out orders for `run_ms`, and returns how many.
fn carry_out(room: AdapterRoom, uses: &mut [AdapterUse], mut now: u64, run_ms: u64) -> u32 {
    let (end, mut orders) = (now + run_ms, 0);
    while now < end {
        let (name, loads) = match next_adapter_order(room, uses, now) {
            Some(AdapterOrder::Load(u)) => (u.adapter.clone(), true),
            Some(AdapterOrder::Unload(u)) => (u.adapter.clone(), false),
            None => return orders,
        };
        let changed = uses.iter_mut().find(|u| u.adapter == name);
        changed.expect("the order names a known adapter").is_loaded = loads;
        let loaded = || uses.iter().filter(|u| u.is_loaded);
        assert!(loaded().count() <= room.slots);
        let memory_mb: f64 = loaded().map(|u| u.memory_mb).sum();
        assert!(memory_mb <= room.memory_mb, "{memory_mb} MB of {room:?}");
        orders += 1;
        now += ORDER_MS;
    }
    orders
}

/// Twelve adapters were requested within the last second, and there are no further requests. The
/// engine must load the latest eight and then stop.
#[test]
fn adapters_do_not_evict_each_other_in_turn() {
    let now = 10_000;
    let mut uses: Vec<AdapterUse> = (0..12)
        .map(|number| adapter(number, now - 900 + number * 40, number < 8))
        .collect();
    let orders = carry_out(ROOM, &mut uses, now, 5000);
    assert_eq!(orders, 8, "four evictions and four loads: {uses:?}");
    assert!(uses[4..].iter().all(|u| u.is_loaded), "{uses:?}");
}

/// The engine crashed at the fourth adapter, as places were counted and not memory.
#[test]
fn adapters_beyond_the_memory_of_an_engine_are_not_loaded() {
    let now = 10_000;
    let room = AdapterRoom {
        memory_mb: 200.0,
        ..ROOM
    };
    let mut uses: Vec<AdapterUse> = (0..6).map(|number| adapter(number, now, false)).collect();
    assert_eq!(carry_out(room, &mut uses, now, 5000), 3, "{uses:?}");
    assert_eq!(uses.iter().filter(|u| u.is_loaded).count(), 3);
    // One that is requested later takes the place of an idle one.
    let later = now + 500;
    uses.push(adapter(7, later, false));
    assert!(carry_out(room, &mut uses, later, 5000) > 0);
    assert!(uses[6].is_loaded, "{uses:?}");
    // Nothing is evicted for one that doesn't fit then either.
    let mut large = adapter(8, later + 500, false);
    large.memory_mb = 201.0;
    uses.push(large);
    assert_eq!(next_adapter_order(room, &uses, later + 500), None);
}

#[test]
fn the_room_for_adapters_is_what_models_leave_now_and_after_a_load() {
    let model = |weights_mb| ModelConfig {
        weights_mb,
        ..ModelConfig::default()
    };
    let [m1, m2, m3] = ["m1", "m2", "m3"].map(ModelName::from);
    let config = EngineConfig {
        weights_mb: 1000.0,
        adapter_slots: 4,
        models: [(m1.clone(), model(300.0)), (m2.clone(), model(500.0))]
            .into_iter()
            .collect(),
        ..EngineConfig::default()
    };
    for (models, planned, memory_mb) in [
        (vec![], vec![], 1000.0),
        (vec![&m1], vec![&m1], 700.0),
        (vec![&m1], vec![&m1, &m2], 200.0),
        (vec![&m1, &m2], vec![&m2], 200.0),
        (vec![&m2], vec![&m1], 500.0),
        (vec![&m1, &m3], vec![&m1, &m3], 0.0),
    ] {
        let room = adapter_room(&config, models.into_iter(), planned.into_iter());
        assert_eq!(
            room,
            AdapterRoom {
                slots: 4,
                memory_mb
            }
        );
    }
}

#[test]
fn the_least_recently_requested_adapter_is_evicted() {
    let now = 10_000;
    let mut uses: Vec<AdapterUse> = (0..7).map(|n| adapter(n, now - 500 - n, true)).collect();
    uses.push(adapter(8, now, false));
    assert_eq!(
        next_adapter_order(ROOM, &uses, now),
        Some(AdapterOrder::Load(&uses[7])),
        "a slot is free"
    );
    uses.push(adapter(7, now - 510, true));
    let order = next_adapter_order(ROOM, &uses, now);
    assert_eq!(order, Some(AdapterOrder::Unload(&uses[8])));
}

#[test]
fn an_adapter_in_use_is_not_evicted() {
    let now = 10_000;
    let mut uses: Vec<AdapterUse> = (0..8).map(|n| adapter(n, now - 100, true)).collect();
    uses.push(adapter(8, now, false));
    assert_eq!(next_adapter_order(ROOM, &uses, now), None);
    uses[3].last_requested_unix_ms = now - 400;
    let order = next_adapter_order(ROOM, &uses, now);
    assert_eq!(order, Some(AdapterOrder::Unload(&uses[3])));
}

#[test]
fn an_adapter_whose_callers_have_given_up_is_not_loaded() {
    let now = 10_000;
    let uses = [adapter(0, now - 1500, false), adapter(1, 0, false)];
    assert_eq!(next_adapter_order(ROOM, &uses, now), None);
}

/// For any history of requests, the engine never holds more adapters than it has slots for, and the
/// sequence of orders ends.
#[test]
fn the_sequence_of_orders_ends() {
    arbtest::arbtest(|u| {
        let now = 10_000;
        let mut uses = Vec::new();
        for number in 0..u.int_in_range(1..=20)? {
            let is_loaded = uses.iter().filter(|u: &&AdapterUse| u.is_loaded).count() < SLOTS
                && u.arbitrary()?;
            let ago = u.int_in_range(0..=20)? * 100;
            uses.push(adapter(number, now - ago, is_loaded));
        }
        let count = uses.len() as u32;
        let orders = carry_out(ROOM, &mut uses, now, 2000);
        assert!(orders <= 2 * count, "{orders} orders for {count} adapters");
        Ok(())
    });
}
