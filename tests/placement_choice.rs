//! The choice of a slot, keep-alive and permits, without sockets.

use std::rc::Rc;

use arbtest::arbtest;
use celerystair::{
    agent::{fetch_speed::FetchLimiter, permits::DeadlineSemaphore},
    placement::{
        bids::Bids,
        choose::{Candidate, choose_slot},
        keep_alive::{ArrivalHistogram, KeepAliveCosts},
    },
    protocol::{BidReply, CheckpointTier, ReplicaState},
};

const NOW_UNIX_MS: u64 = 1_000_000;

fn candidate(upstream: &str, state: ReplicaState) -> Candidate {
    Candidate {
        upstream: upstream.into(),
        state,
        ready_unix_ms: 0,
        queue_delay_ms: 0,
        outstanding: 0,
        running_max: 4,
        is_leaving: false,
    }
}

fn state_of(index: u8) -> ReplicaState {
    match index % 4 {
        0 => ReplicaState::Unloaded,
        1 => ReplicaState::Loading,
        2 => ReplicaState::Loaded,
        _ => ReplicaState::Unspecified,
    }
}

#[test]
fn a_base_model_and_its_adapters_wake_the_same_slot() {
    let slots = [
        candidate("e-1", ReplicaState::Unspecified),
        candidate("e-2", ReplicaState::Unloaded),
    ];
    for affinity in ["m", "m:a1", "m:a2", "m:a3", "m:a4"] {
        assert_eq!(choose_slot(&slots, affinity, NOW_UNIX_MS), Some(0));
    }
}

#[test]
fn a_load_on_its_way_is_waited_for_and_wakes_no_second_slot() {
    let mut slots = [
        candidate("e-1", ReplicaState::Unloaded),
        candidate("e-2", ReplicaState::Loading),
    ];
    slots[1].ready_unix_ms = NOW_UNIX_MS + 60_000;
    assert_eq!(choose_slot(&slots, "m", NOW_UNIX_MS), Some(1));
}

#[test]
fn a_long_queue_spills_to_the_next_slot() {
    let mut slots = [
        candidate("e-1", ReplicaState::Loaded),
        candidate("e-2", ReplicaState::Unloaded),
    ];
    assert_eq!(choose_slot(&slots, "m", NOW_UNIX_MS), Some(0));
    slots[0].queue_delay_ms = 30_000;
    assert_eq!(choose_slot(&slots, "m", NOW_UNIX_MS), Some(1));
}

#[test]
fn a_leaving_upstream_is_never_chosen_and_any_other_may_be() {
    arbtest(|u| {
        let count = u.int_in_range(1..=4)?;
        let mut slots = Vec::new();
        for index in 0..count {
            let mut slot = candidate(&format!("e-{index}"), state_of(u.arbitrary()?));
            slot.is_leaving = u.arbitrary()?;
            slot.queue_delay_ms = u.int_in_range(0..=50_000)?;
            slot.ready_unix_ms = NOW_UNIX_MS + u.int_in_range(0..=50_000_u64)?;
            slot.outstanding = u.int_in_range(0..=1000)?;
            slots.push(slot);
        }
        match choose_slot(&slots, "m", NOW_UNIX_MS) {
            Some(index) => assert!(!slots[index].is_leaving),
            None => assert!(slots.iter().all(|slot| slot.is_leaving)),
        }
        Ok(())
    });
}

fn costs(idle_weight: f64) -> KeepAliveCosts {
    KeepAliveCosts {
        cold_start_ms: 5_000,
        cold_start_weight: 1.0,
        idle_weight,
        keep_alive_min_ms: 1_000,
        keep_alive_max_ms: 1_800_000,
    }
}

/// Calls with `gap_ms` between them.
fn called_every(gap_ms: u64) -> ArrivalHistogram {
    let mut arrivals = ArrivalHistogram::default();
    (0..200).for_each(|number| arrivals.record_call(NOW_UNIX_MS + number * gap_ms));
    arrivals
}

#[test]
fn a_steady_model_is_kept_over_its_gap_and_a_rarer_one_is_not() {
    let kept_ms = called_every(60_000).keep_alive_ms(&costs(0.02));
    assert!(kept_ms >= 60_000, "{kept_ms}");
    let kept_ms = called_every(600_000).keep_alive_ms(&costs(0.02));
    assert!(kept_ms < 60_000, "{kept_ms}");
}

#[test]
fn keep_alive_stays_in_its_bounds_and_falls_as_idling_costs_more() {
    arbtest(|u| {
        let mut arrivals = ArrivalHistogram::default();
        let mut now_unix_ms = NOW_UNIX_MS;
        for _ in 0..u.int_in_range(0..=50)? {
            now_unix_ms += u.int_in_range(0..=4_000_000_u64)?;
            arrivals.record_call(now_unix_ms);
        }
        let mut last_ms = u64::MAX;
        for idle_weight in [0.001, 0.01, 0.1, 1.0] {
            let costs = costs(idle_weight);
            let kept_ms = arrivals.keep_alive_ms(&costs);
            assert!((costs.keep_alive_min_ms..=costs.keep_alive_max_ms).contains(&kept_ms));
            assert!(kept_ms <= last_ms, "{kept_ms} after {last_ms}");
            last_ms = kept_ms;
        }
        Ok(())
    });
}

#[test]
fn permits_go_to_the_earliest_deadline_and_never_beyond_their_number() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let permits = Rc::new(DeadlineSemaphore::default());
        let first = permits.acquire(1, 500).await;
        let (granted, grants) = async_channel::unbounded();
        for deadline_unix_ms in [300, 100, 200, 400] {
            let (permits, granted) = (permits.clone(), granted.clone());
            compio::runtime::spawn(async move {
                let turn = permits.acquire(1, deadline_unix_ms).await;
                granted.send((deadline_unix_ms, turn)).await.ok();
            })
            .detach();
        }
        while permits.waiting() < 4 {
            compio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        // One who gives up leaves the queue.
        let gave_up =
            compio::time::timeout(std::time::Duration::ZERO, permits.acquire(1, 50)).await;
        assert!(gave_up.is_err());
        assert!(grants.try_recv().is_err(), "the only permit is taken");
        drop(first);
        for expected in [100, 200, 300, 400] {
            let (deadline_unix_ms, turn) = grants.recv().await.expect("a grant");
            assert_eq!(deadline_unix_ms, expected);
            assert!(grants.try_recv().is_err(), "one at a time");
            drop(turn);
        }
    });
}

#[test]
fn fetches_at_once_grow_at_full_speed_and_shrink_when_the_store_slows_to_a_third() {
    const CHECKPOINT_BYTES: u64 = 8 << 30;
    const FETCH_MS: u64 = 2_000;
    let speed = FetchLimiter::default();
    assert_eq!(speed.limit(), 1);
    (0..20).for_each(|_| speed.record_fetch(CHECKPOINT_BYTES, FETCH_MS));
    let full = speed.limit();
    assert!(full >= 4, "{full} at full speed");
    let mut limits = Vec::new();
    for _ in 0..3 {
        speed.record_fetch(CHECKPOINT_BYTES, 3 * FETCH_MS);
        limits.push(speed.limit());
    }
    assert!(limits[0] <= full / 2 && limits[2] == 1, "{limits:?}");
    // A store that stays slow is in time taken for what it is.
    (0..100).for_each(|_| speed.record_fetch(CHECKPOINT_BYTES, 3 * FETCH_MS));
    assert!(speed.limit() >= 4, "{} of a slow store", speed.limit());
}

fn bid(tier: CheckpointTier, free_memory_bytes: u64, expected_load_ms: u64) -> BidReply {
    BidReply {
        tier: tier.into(),
        free_memory_bytes,
        expected_load_ms,
        fits: true,
        ..BidReply::default()
    }
}

#[test]
fn a_bid_weighs_tier_free_memory_and_slow_loads() {
    const NEEDED_BYTES: u64 = 500;
    let replies = [
        ("free", bid(CheckpointTier::Remote, 500, 5_000)),
        ("freer", bid(CheckpointTier::Remote, 5_000, 6_000)),
        ("full", bid(CheckpointTier::Remote, 499, 5_000)),
        ("full, at hand", bid(CheckpointTier::Memory, 0, 5_000)),
        ("slow", bid(CheckpointTier::Remote, 500, 30_000)),
        ("disk", bid(CheckpointTier::Disk, 500, 5_000)),
    ];
    let replies = replies.map(|(name, bid)| (name.to_owned(), bid));
    let bids = Bids::new(NEEDED_BYTES, replies);
    let cost = |name: &str| bids.cost_ms(name);
    assert_eq!(cost("free"), cost("freer"), "slots are spread among these");
    assert!(cost("free") < cost("full"));
    assert!(cost("free") < cost("slow"));
    assert!(cost("full, at hand") < cost("free"));
    assert!(cost("disk") < cost("full, at hand"));
    assert!(cost("slow") < cost("silent"));
}
