//! An agent's right to order its upstream: claims, pauses, outages of the store, and crashes of
//! the engine, over real sockets.

#[path = "support/rig.rs"]
mod rig;

use std::time::Duration;

use celerystair::{
    agent::prelude::*, core::prelude::*, protocol::engine_api::LoadOrder, standin::prelude::*,
    trial::prelude::*,
};
use rig::{Rig, agent_settings, small_engine, submit, wait_until};

fn block_on<T>(work: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("a runtime")
        .block_on(work)
}

fn load_order(model: &str, fence: u64) -> LoadOrder {
    LoadOrder {
        model: model.into(),
        version: "1".to_owned(),
        checkpoint_bytes: 400,
        memory_bytes: 500,
        fence,
        deadline_unix_ms: now_unix_ms() + 60_000,
    }
}

async fn standing(running: &RunningAgent) {
    wait_until("the claim stands", async || running.agent.claim.is_active()).await;
}

async fn sees_placement(running: &RunningAgent, model: &str) {
    let placements = &running.agent.node.placements;
    wait_until("the placement is seen", async || {
        placements.get(model).is_some() && running.agent.node.models.get(model).is_some()
    })
    .await;
}

#[test]
fn an_agent_that_starts_with_the_store_down_serves_what_is_loaded_and_orders_nothing() {
    block_on(async {
        let rig = Rig::start();
        let engine = rig.engine(small_engine());
        assert_eq!(rig.order(&engine, "load", &load_order("m-1", 0)).await, 200);
        rig.announce("e-a.1", "live").await;
        rig.configure(celerystair::config::prelude::FleetDocument {
            revision: 1,
            ..Default::default()
        })
        .await;
        // Without the store, the configuration comes from a peer that has it.
        let peer_stop = Stop::new();
        let peer_engine = rig.engine(small_engine());
        let peer = rig
            .agent(agent_settings(&rig, "e-b", &peer_engine), &peer_stop)
            .await;
        standing(&peer).await;
        wait_until("the peer knows the configuration", async || {
            peer.agent.node.config.revision() == 1
        })
        .await;
        rig.faults(&PlatformFaults {
            down: true,
            ..PlatformFaults::default()
        })
        .await;
        let stop = Stop::new();
        let mut settings = agent_settings(&rig, "e-a", &engine);
        settings.process.peers = vec![peer.address];
        let running = run_agent(settings, &stop).await.expect("the agent starts");
        wait_until("the replica is found", async || {
            running.agent.replicas.get("m-1").is_some() && running.agent.node.config.is_known()
        })
        .await;
        let life = running.agent.incarnation.clone();
        assert_eq!(submit(running.address, &life, "m-1").await, Ok(()));
        let adapter = submit(running.address, &life, "m-1:a1").await;
        assert_eq!(adapter, Err(RefusalReason::StoreUnavailable));
        let cold = submit(running.address, &life, "m-2").await;
        assert_eq!(cold, Err(RefusalReason::NotHere));
        assert_eq!(
            rig.witness.observations().loads,
            1,
            "only the order of this test"
        );
        peer_stop.end();
        stop.end();
    });
}

fn the_older_of_two_agents_stops_ordering(checks_orders: bool) {
    block_on(async {
        let rig = Rig::start();
        let engine = rig.engine(EngineSettings {
            checks_orders,
            ..small_engine()
        });
        for model in ["m-1", "m-2"] {
            rig.put_model(model).await;
            rig.place(model, &["e-a"]).await;
        }
        let settings = || celerystair::config::prelude::AgentSettings {
            engine_checks_orders: checks_orders,
            ..agent_settings(&rig, "e-a", &engine)
        };
        let stop = Stop::new();
        let older = rig.agent(settings(), &stop).await;
        standing(&older).await;
        sees_placement(&older, "m-1").await;
        let newer = rig.agent(settings(), &stop).await;
        standing(&newer).await;
        sees_placement(&newer, "m-2").await;
        wait_until("the older one is superseded", async || {
            older.agent.claim.is_superseded()
        })
        .await;
        let refused = submit(older.address, &older.agent.incarnation, "m-1").await;
        assert_eq!(refused, Err(RefusalReason::NotHere));
        assert_eq!(rig.witness.observations().loads, 0);
        let life = newer.agent.incarnation.clone();
        assert_eq!(submit(newer.address, &life, "m-2").await, Ok(()));
        assert_eq!(rig.witness.observations().overcommit_faults, 0);
        stop.end();
    });
}

#[test]
fn the_older_of_two_agents_stops_ordering_an_engine_that_checks() {
    the_older_of_two_agents_stops_ordering(true);
}

#[test]
fn the_older_of_two_agents_stops_ordering_an_engine_that_does_not_check() {
    the_older_of_two_agents_stops_ordering(false);
}

#[test]
fn a_paused_agent_claims_anew_and_unloads_what_it_no_longer_holds() {
    block_on(async {
        let rig = Rig::start();
        let engine = rig.engine(small_engine());
        rig.put_model("m-1").await;
        rig.place("m-1", &["e-a"]).await;
        rig.announce("e-a.1", "live").await;
        let settings = agent_settings(&rig, "e-a", &engine);
        let order_life_ms = settings.order_life_ms;
        let (pause, paused) = async_channel::unbounded::<u64>();
        let (_thread, (address, life)) =
            RoleThread::spawn("agent", &Stop::new(), move |stop| async move {
                let running = run_agent(settings, &stop).await.expect("the agent starts");
                let started = (running.address, running.agent.incarnation.clone());
                running.served.detach();
                compio::runtime::spawn(async move {
                    // Blocks the agent's only thread, as a frozen process is.
                    while let Ok(pause_ms) = paused.recv().await {
                        std::thread::sleep(Duration::from_millis(pause_ms));
                    }
                })
                .detach();
                Ok::<_, std::io::Error>(started)
            })
            .expect("a thread");
        wait_until("m-1 is served", async || {
            submit(address, &life, "m-1").await.is_ok()
        })
        .await;
        let fence_of = async || {
            let found = rig.store.get("agents/e-a").await.ok().flatten();
            let claim = found.and_then(|object| {
                object
                    .read::<celerystair::platform::prelude::AgentObject>()
                    .ok()
            });
            claim.map_or(0, |claim| claim.fence)
        };
        let fence = fence_of().await;
        pause.send(3 * order_life_ms).await.expect("the agent runs");
        // Meanwhile the slot has gone to another instance, as after a reclaim.
        rig.place("m-1", &["e-b"]).await;
        wait_until("it claims anew", async || fence_of().await > fence).await;
        wait_until("it has unloaded m-1", async || rig.replicas("m-1") == 0).await;
        let refused = submit(address, &life, "m-1").await;
        assert_eq!(refused, Err(RefusalReason::NotHere));
    });
}

#[test]
fn an_engine_that_dies_in_a_load_refuses_its_waiters_and_loads_again() {
    block_on(async {
        let rig = Rig::start();
        let engine = rig.engine(EngineSettings {
            crash_in_load: 1,
            ..small_engine()
        });
        rig.put_model("m-1").await;
        rig.place("m-1", &["e-a"]).await;
        let stop = Stop::new();
        let running = rig.agent(agent_settings(&rig, "e-a", &engine), &stop).await;
        standing(&running).await;
        sees_placement(&running, "m-1").await;
        let life = running.agent.incarnation.clone();
        let first = submit(running.address, &life, "m-1").await;
        assert_eq!(first, Err(RefusalReason::LoadFailed));
        wait_until("the model is served", async || {
            submit(running.address, &life, "m-1").await.is_ok()
        })
        .await;
        assert_eq!(rig.replicas_peak("m-1"), 1);
        assert_eq!(rig.witness.observations().overcommit_faults, 0);
        stop.end();
    });
}

#[test]
fn memory_that_another_claimant_took_is_seen_before_an_order() {
    block_on(async {
        let rig = Rig::start();
        let engine = rig.engine(EngineSettings {
            checks_orders: false,
            ..small_engine()
        });
        rig.put_model("m-1").await;
        rig.place("m-1", &["e-a"]).await;
        let stop = Stop::new();
        let settings = celerystair::config::prelude::AgentSettings {
            engine_checks_orders: false,
            ..agent_settings(&rig, "e-a", &engine)
        };
        let running = rig.agent(settings, &stop).await;
        standing(&running).await;
        sees_placement(&running, "m-1").await;
        // Orders of an earlier claimant, which this engine still takes, fill the accelerator.
        for model in ["x-1", "x-2"] {
            assert_eq!(rig.order(&engine, "load", &load_order(model, 0)).await, 200);
        }
        let life = running.agent.incarnation.clone();
        wait_until("m-1 is served", async || {
            submit(running.address, &life, "m-1").await.is_ok()
        })
        .await;
        assert_eq!(rig.witness.observations().overcommit_faults, 0);
        stop.end();
    });
}
