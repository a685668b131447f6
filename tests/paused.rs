//! Several holders are frozen far beyond any lease, in the middle of orders, while the
//! platform's store is down; some are taken for dead and have a successor when they wake.

#[path = "support/domains.rs"]
mod domains;
mod support;

use celerystair::{core::prelude::*, standin::platform::PlatformFaults, trial::prelude::*};
use domains::{
    answers_all_models, assert_held, domains_trial, outcomes, placed_on_live, start_called_every,
    wait_until,
};
use support::block_on;

/// An order lives for 2 s, and an agent that was frozen for longer must claim anew.
const PAUSE_MS: u64 = 9000;
const FROZEN: [usize; 4] = [0, 1, 2, 3];
/// Frozen agents that are taken for dead.
const DOUBLED: [usize; 2] = [0, 1];
const MODELS: usize = 6;
const CALL_INTERVAL_MS: u64 = 200;

async fn set_down(fleet: &FaultFleet, down: bool) {
    let faults = PlatformFaults {
        down,
        ..PlatformFaults::default()
    };
    fleet.set_faults(&faults).await.expect("faults are set");
}

/// Replicas are unloaded as soon as they are idle, and called again soon after, so that loads and
/// unloads never cease, each taking a while.
fn trial_with_orders_under_way(checks_orders: bool) -> TrialSettings {
    let mut settings = domains_trial();
    settings.config.defaults.keep_alive_adaptive = false;
    settings.config.defaults.keep_alive_min_ms = 50;
    let engine = &mut settings.pools[0].engine;
    engine.checks_orders = checks_orders;
    engine.memory_bytes_per_second = 1000;
    engine.unload_ms = 200;
    settings
}

fn frozen_holders_give_no_order_that_is_not_theirs(checks_orders: bool) {
    block_on(async {
        let settings = trial_with_orders_under_way(checks_orders);
        let (mut fleet, load) = start_called_every(&settings, CALL_INTERVAL_MS).await;
        placed_on_live(&fleet).await;
        let loads = fleet.witness.observations().loads;
        wait_until("orders are under way", async || {
            fleet.witness.observations().loads > loads + 2 * MODELS as u64
        })
        .await;
        set_down(&fleet, true).await;
        let woken_unix_ms = now_unix_ms() + PAUSE_MS;
        for index in FROZEN {
            fleet.pause_agent(index, PAUSE_MS);
        }
        sleep_ms(PAUSE_MS / 4).await;
        set_down(&fleet, false).await;
        for index in DOUBLED {
            fleet
                .start_duplicate_agent(index)
                .expect("the agent starts");
        }
        sleep_ms(PAUSE_MS / 2).await;
        // They wake while the store is down again, and can't ask whether they still may.
        set_down(&fleet, true).await;
        sleep_until_unix_ms(woken_unix_ms + PAUSE_MS / 4).await;
        set_down(&fleet, false).await;
        let loads = fleet.witness.observations().loads;
        wait_until("orders are given again", async || {
            fleet.witness.observations().loads > loads + 2 * MODELS as u64
        })
        .await;
        answers_all_models(&load, &[0, 1, 2], MODELS).await;
        let served = load.end().await;
        println!("{}", outcomes(&served));
        let seen = fleet.witness.observations();
        println!("{} loads, peaks {:?}", seen.loads, seen.replicas_peak);
        assert_held(&fleet, &served, |_| false);
        fleet.end();
    });
}

#[test]
fn frozen_holders_beside_engines_that_check_orders() {
    frozen_holders_give_no_order_that_is_not_theirs(true);
}

#[test]
fn frozen_holders_beside_engines_that_do_not_check_orders() {
    frozen_holders_give_no_order_that_is_not_theirs(false);
}
