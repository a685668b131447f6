//! Orders whose outcome is not known, claimants that know nothing of a later one, and routers
//! that know nothing of a moved slot. Over real sockets.

#[path = "support/link.rs"]
mod link;
#[path = "support/rig.rs"]
mod rig;

use celerystair::{
    agent::prelude::*,
    config::prelude::*,
    core::prelude::*,
    standin::prelude::*,
    trial::{caller::CallTarget, prelude::*},
};
use link::Link;
use rig::{Rig, agent_settings, small_engine, submit, wait_until};

/// Longer than an order lives, and longer than a test's other steps take on a slow machine.
const REPORT_LAG_MS: u64 = 15_000;
/// Far longer than a request's bounded number of attempts takes.
const LONG_TIMEOUT_MS: u64 = 300_000;

fn block_on<T>(work: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("a runtime")
        .block_on(work)
}

/// One slot for each model, which nobody takes away for want of calls.
fn one_slot() -> FleetDocument {
    let mut document = FleetDocument {
        revision: 1,
        ..FleetDocument::default()
    };
    document.defaults.slots_per_model = 1;
    document.defaults.keep_alive_min_ms = 600_000;
    document
}

async fn standing(running: &RunningAgent) {
    wait_until("the claim stands", async || running.agent.claim.is_active()).await;
}

async fn sees_placement(running: &RunningAgent, model: &str) {
    let node = &running.agent.node;
    wait_until("the placement is seen", async || {
        node.placements.get(model).is_some() && node.models.get(model).is_some()
    })
    .await;
}

#[test]
fn a_load_of_unknown_outcome_keeps_its_memory_while_the_engine_reports_the_state_before() {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        rig.configure(one_slot()).await;
        let models = ["m-1", "m-2", "m-3"];
        for model in models {
            rig.put_model(model).await;
            rig.place(model, &["e-a"]).await;
        }
        let engine = rig.engine(EngineSettings {
            lose_load_answer: 1,
            report_lag_ms: REPORT_LAG_MS,
            ..small_engine()
        });
        let running = rig.agent(agent_settings(&rig, "e-a", &engine), &stop).await;
        standing(&running).await;
        for model in models {
            sees_placement(&running, model).await;
        }
        let (address, life) = (running.address, running.agent.incarnation.clone());
        let first = {
            let life = life.clone();
            compio::runtime::spawn(async move { submit(address, &life, "m-1").await })
        };
        wait_until("the engine holds it", async || rig.replicas("m-1") == 1).await;
        // The engine goes on reporting that it holds nothing. The order is dead by now.
        sleep_ms(2 * running.agent.settings.order_life_ms).await;
        assert_eq!(running.agent.ledger.borrow().free_bytes(), 500);
        // There is room for one more; the third takes the memory of the second.
        assert_eq!(submit(address, &life, "m-2").await, Ok(()));
        assert_eq!(submit(address, &life, "m-3").await, Ok(()));
        assert_eq!(rig.replicas("m-1"), 1, "its memory was not given away");
        assert_eq!(rig.witness.observations().overcommit_faults, 0);
        assert_eq!(first.await.ok(), Some(Ok(())), "a later report settles it");
        assert_eq!(rig.replicas_peak("m-1"), 1);
        stop.end();
    });
}

fn an_agent_cut_off_from_the_store_loads_nothing_once_another_has_claimed(checks_orders: bool) {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        rig.configure(one_slot()).await;
        rig.put_model("m-1").await;
        rig.place("m-1", &["e-a"]).await;
        let engine = rig.engine(EngineSettings {
            checks_orders,
            ..small_engine()
        });
        let settings = || AgentSettings {
            engine_checks_orders: checks_orders,
            ..agent_settings(&rig, "e-a", &engine)
        };
        let link = Link::to(&rig.platform_url).await;
        let mut cut_off = settings();
        cut_off.process.platform.url.clone_from(&link.url);
        let older = rig.agent(cut_off, &stop).await;
        standing(&older).await;
        sees_placement(&older, "m-1").await;
        link.cut();
        let newer = rig.agent(settings(), &stop).await;
        standing(&newer).await;
        // The newer one has given the slot back, and its new holder may load at any moment.
        rig.place("m-1", &["e-b"]).await;
        let refused = submit(older.address, &older.agent.incarnation, "m-1").await;
        assert!(refused.is_err(), "the older one has answered");
        assert_eq!(rig.witness.observations().loads, 0);
        let (_, seen) = older.agent.node.placements.get("m-1").expect("a placement");
        assert_eq!(seen.slots[0].upstream.as_str(), "e-a", "it was cut off");
        stop.end();
    });
}

#[test]
fn an_agent_cut_off_from_the_store_loads_nothing_at_an_engine_that_checks() {
    an_agent_cut_off_from_the_store_loads_nothing_once_another_has_claimed(true);
}

#[test]
fn an_agent_cut_off_from_the_store_loads_nothing_at_an_engine_that_does_not_check() {
    an_agent_cut_off_from_the_store_loads_nothing_once_another_has_claimed(false);
}

#[test]
fn an_order_that_was_held_up_is_dead_before_a_later_claim_stands() {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        rig.configure(one_slot()).await;
        rig.put_model("m-1").await;
        rig.place("m-1", &["e-a"]).await;
        let engine = rig.engine(EngineSettings {
            checks_orders: false,
            ..small_engine()
        });
        let settings = |url: &str| AgentSettings {
            engine_checks_orders: false,
            ..agent_settings(&rig, "e-a", url)
        };
        let link = Link::that_holds(&engine, "POST /orders/load ").await;
        let older = rig.agent(settings(&link.url), &stop).await;
        standing(&older).await;
        sees_placement(&older, "m-1").await;
        let (address, life) = (older.address, older.agent.incarnation.clone());
        let waiting = compio::runtime::spawn(async move { submit(address, &life, "m-1").await });
        wait_until("the order is on its way", async || link.has_held()).await;
        let newer = rig.agent(settings(&engine), &stop).await;
        standing(&newer).await;
        rig.place("m-1", &["e-b"]).await;
        link.release();
        assert!(waiting.await.expect("a task").is_err());
        assert_eq!(
            rig.witness.observations().loads,
            0,
            "the order came too late"
        );
        stop.end();
    });
}

/// An agent in the second life of its instance, which holds no slot of the first.
async fn second_life(rig: &Rig, upstream: &str, stop: &Stop) -> RunningAgent {
    // The first life is still on the platform's list: its slot does not move.
    rig.announce(&format!("{upstream}.1"), "live").await;
    let engine = rig.engine(small_engine());
    let settings = AgentSettings {
        instance: format!("{upstream}.2").into(),
        ..agent_settings(rig, upstream, &engine)
    };
    let running = rig.agent(settings, stop).await;
    standing(&running).await;
    running
}

async fn knows_agents(router: &celerystair::router::prelude::RunningRouter, names: &[&str]) {
    let node = &router.router.node;
    wait_until("the router knows the agents", async || {
        names.iter().all(|name| node.agents.get(name).is_some())
            && node.models.get("m-1").is_some()
            && node.placements.get("m-1").is_some()
            && node.instances.state("e-a.1").is_some()
    })
    .await;
}

fn call(router: &celerystair::router::prelude::RunningRouter) -> Call {
    Call {
        router: router.address,
        organisation: "office".into(),
        kind: "draft".into(),
        target: CallTarget::Completion {
            model: "m-1".to_owned(),
            tokens: 2,
            stream: false,
            marker: "x".to_owned(),
        },
        timeout_ms: LONG_TIMEOUT_MS,
    }
}

#[test]
fn a_router_that_missed_the_move_of_a_slot_reads_where_it_went() {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        rig.configure(one_slot()).await;
        rig.put_model("m-1").await;
        rig.place("m-1", &["e-a"]).await;
        let _first = second_life(&rig, "e-a", &stop).await;
        let engine = rig.engine(small_engine());
        let second = rig.agent(agent_settings(&rig, "e-b", &engine), &stop).await;
        standing(&second).await;
        let router = rig.router(&stop).await;
        knows_agents(&router, &["e-a", "e-b"]).await;
        // No watch tells of the move.
        rig.faults(&PlatformFaults {
            missed_watches_percent: 100,
            ..PlatformFaults::default()
        })
        .await;
        rig.place("m-1", &["e-b"]).await;
        let moved = rig.store.get("placements/m-1").await;
        let moved = moved.expect("an answer").expect("a placement");
        let placements = &second.agent.node.placements;
        placements.apply(&moved).expect("a placement");
        let (_, known) = router.router.node.placements.get("m-1").expect("one");
        assert_eq!(
            known.slots[0].upstream.as_str(),
            "e-a",
            "it missed the move"
        );
        let received = Caller::new().expect("a caller").call(&call(&router)).await;
        assert_eq!(received.outcome, Outcome::Answered);
        let (_, known) = router.router.node.placements.get("m-1").expect("one");
        assert_eq!(known.slots[0].upstream.as_str(), "e-b");
        stop.end();
    });
}

#[test]
fn a_request_that_meets_no_holder_is_refused_after_a_bounded_number_of_hops() {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        rig.configure(one_slot()).await;
        rig.put_model("m-1").await;
        rig.place("m-1", &["e-a"]).await;
        let _first = second_life(&rig, "e-a", &stop).await;
        let router = rig.router(&stop).await;
        knows_agents(&router, &["e-a"]).await;
        let received = Caller::new().expect("a caller").call(&call(&router)).await;
        let expected = Outcome::Refused {
            reason: RefusalReason::NotHere,
            run: RunState::NotRun,
        };
        assert_eq!(received.outcome, expected);
        assert!(received.ended_unix_ms < received.called_unix_ms + LONG_TIMEOUT_MS / 2);
        assert_eq!(rig.witness.observations().loads, 0);
        stop.end();
    });
}
