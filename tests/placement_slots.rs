//! Slots move only after a confirmed release, or once the platform's list no longer has their
//! holder. Over real sockets.

#[path = "support/rig.rs"]
mod rig;

use celerystair::{
    agent::prelude::*,
    config::prelude::*,
    core::{prelude::*, rendezvous},
    platform::prelude::*,
    protocol::ReplicaState,
    standin::prelude::*,
};
use rig::{Rig, agent_settings, small_engine, submit, wait_until};

fn block_on<T>(work: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("a runtime")
        .block_on(work)
}

fn document(revision: u64, change: impl FnOnce(&mut FleetDocument)) -> FleetDocument {
    let mut document = FleetDocument {
        revision,
        ..FleetDocument::default()
    };
    document.defaults.keep_alive_min_ms = 600_000;
    change(&mut document);
    document
}

/// An exception that sets `field` to true.
fn exception(kind: ScopeKind, name: &str, field: &str) -> Exception {
    Exception {
        scope: Scope {
            kind,
            name: name.to_owned(),
        },
        field: field.to_owned(),
        value: serde_json::Value::Bool(true),
        reason: "a test".to_owned(),
        author: "ops".to_owned(),
        from_unix_ms: None,
        until_unix_ms: None,
    }
}

/// An agent of upstream `name` with an engine of its own, whose claim stands.
async fn upstream(rig: &Rig, name: &str, stop: &Stop) -> RunningAgent {
    let engine = rig.engine(small_engine());
    let running = rig.agent(agent_settings(rig, name, &engine), stop).await;
    wait_until("the claim stands", async || running.agent.claim.is_active()).await;
    running
}

async fn wake(running: &RunningAgent, model: &str) {
    let life = running.agent.incarnation.clone();
    wait_until("the model is served", async || {
        submit(running.address, &life, model).await.is_ok()
    })
    .await;
}

#[test]
fn placements_are_made_in_different_failure_domains_though_answers_are_lost() {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        let mut agents = Vec::new();
        // So few in the second failure domain that an even spread of slots alone is not enough.
        for name in ["e1-a", "e2-a", "e3-a", "e4-b"] {
            agents.push(upstream(&rig, name, &stop).await);
        }
        for model in ["m-1", "m-2", "m-3", "m-4"] {
            rig.put_model(model).await;
        }
        rig.faults(&PlatformFaults {
            lose_write_answers_percent: 50,
            ..PlatformFaults::default()
        })
        .await;
        let _router = rig.router(&stop).await;
        for model in ["m-1", "m-2", "m-3", "m-4"] {
            wait_until("the model is placed", async || {
                rig.placed(model).await.len() == 2
            })
            .await;
            let placed = rig.placed(model).await;
            let domain = |name: &str| name.rsplit('-').next().map(str::to_owned);
            assert_ne!(domain(&placed[0]), domain(&placed[1]), "{placed:?}");
        }
        stop.end();
    });
}

#[test]
fn a_lowered_count_takes_the_slot_after_its_replica_is_gone() {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        rig.configure(document(1, |_| {})).await;
        rig.put_model("m-1").await;
        rig.place("m-1", &["e-a", "e-b"]).await;
        let first = upstream(&rig, "e-a", &stop).await;
        let second = upstream(&rig, "e-b", &stop).await;
        wake(&first, "m-1").await;
        wake(&second, "m-1").await;
        assert_eq!(rig.replicas("m-1"), 2);
        rig.configure(document(2, |d| d.defaults.slots_per_model = 1))
            .await;
        wait_until("the slot is given back", async || {
            rig.placed("m-1").await == ["e-a"]
        })
        .await;
        assert_eq!(rig.replicas("m-1"), 1, "the replica went before its slot");
        let life = second.agent.incarnation.clone();
        let refused = submit(second.address, &life, "m-1").await;
        assert_eq!(refused, Err(RefusalReason::NotHere));
        stop.end();
    });
}

#[test]
fn a_slot_moves_when_the_list_no_longer_has_its_holder_and_not_before() {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        let lost = Stop::new();
        rig.put_model("m-1").await;
        rig.place("m-1", &["e-a", "e-b"]).await;
        let _first = upstream(&rig, "e-a", &lost).await;
        let _second = upstream(&rig, "e-b", &stop).await;
        let _third = upstream(&rig, "e-c", &stop).await;
        let router = rig.router(&stop).await;
        wait_until("the list is seen", async || {
            router.router.node.instances.state("e-a.1").is_some()
        })
        .await;
        // The agent of e-a can't be reached any more, and its engine still runs.
        lost.end();
        // Proposers have looked at the placements a few times by then.
        sleep_ms(3000).await;
        assert_eq!(rig.placed("m-1").await, ["e-a", "e-b"]);
        rig.announce("e-a.1", "gone").await;
        wait_until("the slot has moved", async || {
            rig.placed("m-1").await == ["e-b", "e-c"]
        })
        .await;
        stop.end();
    });
}

#[test]
fn a_planned_stop_hands_slots_over_and_is_never_one_over() {
    block_on(async {
        let rig = Rig::start();
        let (stop, leaving) = (Stop::new(), Stop::new());
        rig.configure(document(1, |d| d.defaults.slots_per_model = 1))
            .await;
        for model in ["m-1", "m-2"] {
            rig.put_model(model).await;
            rig.place(model, &["e-a"]).await;
        }
        let first = upstream(&rig, "e-a", &leaving).await;
        let second = upstream(&rig, "e-b", &stop).await;
        wake(&first, "m-1").await;
        leaving.drain();
        first.served.await.ok();
        for model in ["m-1", "m-2"] {
            assert_eq!(rig.placed(model).await, ["e-b"]);
        }
        wake(&second, "m-1").await;
        assert_eq!(rig.replicas_peak("m-1"), 1);
        leaving.end();
        stop.end();
    });
}

#[test]
fn a_warm_window_loads_ahead_and_its_end_lets_the_replica_go() {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        let short = |d: &mut FleetDocument| d.defaults.keep_alive_min_ms = 100;
        let warm = exception(ScopeKind::Model, "m-1", "keep_warm");
        rig.configure(document(1, |d| {
            short(d);
            d.exceptions.push(warm);
        }))
        .await;
        for model in ["m-1", "m-2"] {
            rig.put_model(model).await;
            rig.place(model, &["e-a", "e-b"]).await;
        }
        let _first = upstream(&rig, "e-a", &stop).await;
        let _second = upstream(&rig, "e-b", &stop).await;
        wait_until("it is loaded without calls", async || {
            rig.replicas("m-1") == 1
        })
        .await;
        rig.configure(document(2, |d| {
            short(d);
            d.defaults.keep_alive_max_ms = 100;
        }))
        .await;
        wait_until("it is unloaded", async || rig.replicas("m-1") == 0).await;
        assert_eq!(rig.replicas_peak("m-1"), 1);
        assert_eq!(rig.replicas_peak("m-2"), 0);
        stop.end();
    });
}

#[test]
fn an_issuer_of_permits_that_is_gone_holds_up_no_load() {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        let before = |name: &String| {
            rendezvous::weight("load-permits", name) > rendezvous::weight("load-permits", "e-a")
        };
        let issuer = (0..1000).map(|n| format!("gone-{n}")).find(before);
        let issuer = issuer.expect("a name before e-a");
        let object = AgentObject {
            fence: 1,
            instance: format!("{issuer}.1").into(),
            claim_id: "gone".to_owned(),
            // Nobody listens there.
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: "a".into(),
            pool: "engines".to_owned(),
            memory_bytes: 1000,
            leaving: false,
        };
        let key = format!("agents/{issuer}");
        let written = rig
            .store
            .put(&key, &object, Expected::Absent, CallPriority::Normal);
        written.await.expect("the agent is written");
        rig.put_model("m-1").await;
        rig.place("m-1", &["e-a"]).await;
        let running = upstream(&rig, "e-a", &stop).await;
        wait_until("the issuer is seen", async || {
            running.agent.node.agents.get(&issuer).is_some()
        })
        .await;
        wake(&running, "m-1").await;
        assert_eq!(rig.witness.observations().loads, 1);
        let life = running.agent.incarnation.clone();
        let adapters = (0..8).map(|n| format!("m-1:a{n}"));
        let loads = adapters.map(|adapter| {
            let (address, life) = (running.address, life.clone());
            async move { submit(address, &life, &adapter).await }
        });
        let answers = futures_util::future::join_all(loads).await;
        assert!(
            answers.iter().all(|answer| answer == &Ok(())),
            "{answers:?}"
        );
        stop.end();
    });
}

#[test]
fn a_new_version_takes_the_place_of_the_old_one() {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        rig.configure(document(1, |_| {})).await;
        for model in ["m-1", "m-2"] {
            rig.put_model(model).await;
            rig.place(model, &["e-a"]).await;
        }
        let running = upstream(&rig, "e-a", &stop).await;
        // The accelerator is full: there is no room for a second version beside the first.
        wake(&running, "m-1").await;
        wake(&running, "m-2").await;
        rig.set_version("m-1", "2").await;
        let version = || {
            let replica = running.agent.replicas.get("m-1")?;
            Some(replica.version.clone())
        };
        wait_until("the old version is gone", async || {
            version().as_deref() != Some("1")
        })
        .await;
        wake(&running, "m-1").await;
        assert_eq!(version().as_deref(), Some("2"));
        assert_eq!(rig.replicas_peak("m-1"), 1);
        assert_eq!(rig.witness.observations().overcommit_faults, 0);
        assert_eq!(rig.replicas("m-2"), 1, "the other model stayed");
        stop.end();
    });
}

#[test]
fn an_operators_drain_empties_the_upstream_and_its_end_fills_it_again() {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        rig.configure(document(1, |_| {})).await;
        rig.put_model("m-1").await;
        rig.place("m-1", &["e-a"]).await;
        let first = upstream(&rig, "e-a", &stop).await;
        wake(&first, "m-1").await;
        let drain = exception(ScopeKind::Upstream, "e-a", "drain");
        rig.configure(document(2, |d| d.exceptions.push(drain)))
            .await;
        wait_until("it holds no slot", async || {
            rig.placed("m-1").await.is_empty()
        })
        .await;
        assert_eq!(rig.replicas("m-1"), 0);
        let _router = rig.router(&stop).await;
        rig.configure(document(3, |_| {})).await;
        wait_until("it holds the slot again", async || {
            rig.placed("m-1").await == ["e-a"]
        })
        .await;
        stop.end();
    });
}

#[test]
fn a_model_is_placed_where_memory_is_free_before_where_another_must_make_room() {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        rig.configure(document(1, |d| d.defaults.slots_per_model = 1))
            .await;
        let full = upstream(&rig, "e1-a", &stop).await;
        let _free = upstream(&rig, "e2-a", &stop).await;
        // Two replicas fill an accelerator, and each is the only one of its model.
        for model in ["x-1", "x-2"] {
            rig.put_model(model).await;
            rig.place(model, &["e1-a"]).await;
            wake(&full, model).await;
        }
        // By rendezvous order alone this model would go to the full one.
        let goes_there =
            |model: &String| rendezvous::weight(model, "e1-a") > rendezvous::weight(model, "e2-a");
        let model = (0..1000).map(|n| format!("m-{n}")).find(goes_there);
        let model = model.expect("a name that goes to e1-a first");
        // As many slots on either, so that those held decide nothing.
        for held in ["y-1", "y-2"] {
            rig.place(held, &["e2-a"]).await;
        }
        let _router = rig.router(&stop).await;
        rig.put_model(&model).await;
        wait_until("the model is placed", async || {
            !rig.placed(&model).await.is_empty()
        })
        .await;
        assert_eq!(rig.placed(&model).await, ["e2-a"]);
        stop.end();
    });
}

#[test]
fn a_request_that_waits_for_an_unload_loads_nothing_for_a_slot_on_its_way_back() {
    block_on(async {
        let rig = Rig::start();
        let stop = Stop::new();
        rig.configure(document(1, |_| {})).await;
        rig.put_model("m-1").await;
        rig.place("m-1", &["e-a", "e-b"]).await;
        let engine = rig.engine(EngineSettings {
            unload_ms: 500,
            ..small_engine()
        });
        let holder = rig.agent(agent_settings(&rig, "e-b", &engine), &stop).await;
        wait_until("the claim stands", async || holder.agent.claim.is_active()).await;
        wake(&holder, "m-1").await;
        rig.configure(document(2, |d| d.defaults.slots_per_model = 1))
            .await;
        wait_until("the unload has begun", async || {
            let replica = holder.agent.replicas.get("m-1");
            replica.is_none_or(|replica| replica.state.get() == ReplicaState::Unloading)
        })
        .await;
        let refused = submit(holder.address, &holder.agent.incarnation, "m-1").await;
        assert_eq!(refused, Err(RefusalReason::NotHere));
        wait_until("the slot is given back", async || {
            rig.placed("m-1").await == ["e-a"]
        })
        .await;
        assert_eq!(rig.replicas("m-1"), 0);
        assert_eq!(rig.witness.observations().loads, 1);
        stop.end();
    });
}
