//! Simulates requests for more adapters at one engine than it can hold.

use celerystair_core::prelude::*;
use celerystair_policy::adapters::{AdapterOrder, AdapterUse, next_adapter_order};

const SLOTS: usize = 8;
/// Time from one order that the engine accepts to the next.
const ORDER_MS: u64 = 15;

fn adapter(number: u64, last_requested_unix_ms: u64, is_loaded: bool) -> AdapterUse {
    AdapterUse {
        model: ModelName::from("m"),
        adapter: format!("a{number}"),
        last_requested_unix_ms,
        is_loaded,
    }
}

/// Carries out orders for `run_ms`, and returns how many.
fn carry_out(uses: &mut [AdapterUse], mut now: u64, run_ms: u64) -> u32 {
    let (end, mut orders) = (now + run_ms, 0);
    while now < end {
        let (name, loads) = match next_adapter_order(SLOTS, uses, now) {
            Some(AdapterOrder::Load(u)) => (u.adapter.clone(), true),
            Some(AdapterOrder::Unload(u)) => (u.adapter.clone(), false),
            None => return orders,
        };
        let changed = uses.iter_mut().find(|u| u.adapter == name);
        changed.expect("the order names a known adapter").is_loaded = loads;
        assert!(uses.iter().filter(|u| u.is_loaded).count() <= SLOTS);
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
    let orders = carry_out(&mut uses, now, 5000);
    assert_eq!(orders, 8, "four evictions and four loads: {uses:?}");
    assert!(uses[4..].iter().all(|u| u.is_loaded), "{uses:?}");
}

#[test]
fn the_least_recently_requested_adapter_is_evicted() {
    let now = 10_000;
    let mut uses: Vec<AdapterUse> = (0..7).map(|n| adapter(n, now - 500 - n, true)).collect();
    uses.push(adapter(8, now, false));
    assert_eq!(
        next_adapter_order(SLOTS, &uses, now),
        Some(AdapterOrder::Load(&uses[7])),
        "a slot is free"
    );
    uses.push(adapter(7, now - 510, true));
    let order = next_adapter_order(SLOTS, &uses, now);
    assert_eq!(order, Some(AdapterOrder::Unload(&uses[8])));
}

#[test]
fn an_adapter_in_use_is_not_evicted() {
    let now = 10_000;
    let mut uses: Vec<AdapterUse> = (0..8).map(|n| adapter(n, now - 100, true)).collect();
    uses.push(adapter(8, now, false));
    assert_eq!(next_adapter_order(SLOTS, &uses, now), None);
    uses[3].last_requested_unix_ms = now - 400;
    let order = next_adapter_order(SLOTS, &uses, now);
    assert_eq!(order, Some(AdapterOrder::Unload(&uses[3])));
}

#[test]
fn an_adapter_whose_callers_have_given_up_is_not_loaded() {
    let now = 10_000;
    let uses = [adapter(0, now - 1500, false), adapter(1, 0, false)];
    assert_eq!(next_adapter_order(SLOTS, &uses, now), None);
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
        let orders = carry_out(&mut uses, now, 2000);
        assert!(orders <= 2 * count, "{orders} orders for {count} adapters");
        Ok(())
    });
}
