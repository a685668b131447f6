//! Random faults and requests against one simple oracle: at no instant do more replicas of a
//! model hold memory than were decided, none holds memory without a slot, memory is never
//! overcommitted, and every request is answered by its deadline.

#[path = "support/rig.rs"]
mod rig;

use std::{cell::Cell, rc::Rc};

use celerystair::{
    agent::prelude::*,
    config::prelude::*,
    core::prelude::*,
    platform::{objects::PLACEMENT_KEY_PREFIX, prelude::*},
    standin::prelude::*,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rig::{Rig, agent_settings, small_engine, submit, wait_until};

const UPSTREAMS: [&str; 3] = ["e-a", "e-b", "e-c"];
/// The upstream whose engine takes orders of any claim.
const UNCHECKED: &str = "e-c";
const MODELS: [&str; 4] = ["m-1", "m-2", "m-3", "m-4"];
const SEEDS: [u64; 4] = [1, 2, 3, 4];
const STEPS: u32 = 40;
/// Steps after which the fleet is left alone until the next.
const PAUSE_MAX_MS: u64 = 60;

/// An upstream whose agent may be replaced.
struct Member {
    engine: String,
    running: RunningAgent,
    stop: Stop,
}

struct Fuzz {
    rig: Rig,
    members: Vec<Member>,
    revision: u64,
    open: Rc<Cell<u32>>,
}

impl Fuzz {
    async fn start() -> Self {
        let rig = Rig::start();
        let mut fuzz = Self {
            members: Vec::new(),
            revision: 0,
            open: Rc::default(),
            rig,
        };
        fuzz.configure(2, None).await;
        for model in MODELS {
            fuzz.rig.put_model(model).await;
        }
        for name in UPSTREAMS {
            let engine = fuzz.rig.engine(EngineSettings {
                checks_orders: name != UNCHECKED,
                // Long enough for others to load meanwhile what must not be loaded yet.
                unload_ms: 300,
                // Two of the four models fit, and an engine has slots of more.
                memory_bytes: 1000,
                ..small_engine()
            });
            let (running, stop) = fuzz.agent(name, &engine).await;
            fuzz.members.push(Member {
                engine,
                running,
                stop,
            });
        }
        fuzz
    }

    async fn agent(&self, name: &str, engine: &str) -> (RunningAgent, Stop) {
        let stop = Stop::new();
        let settings = AgentSettings {
            engine_checks_orders: name != UNCHECKED,
            ..agent_settings(&self.rig, name, engine)
        };
        (self.rig.agent(settings, &stop).await, stop)
    }

    /// Sets the replicas decided for each model, and drains an upstream.
    async fn configure(&mut self, slots_per_model: u32, drained: Option<&str>) {
        self.revision += 1;
        let mut document = FleetDocument {
            revision: self.revision,
            ..FleetDocument::default()
        };
        document.defaults.slots_per_model = slots_per_model;
        document.defaults.keep_alive_min_ms = 1_000;
        document.defaults.keep_alive_max_ms = 2_000;
        document.exceptions.extend(drained.map(|name| Exception {
            scope: Scope {
                kind: ScopeKind::Upstream,
                name: name.to_owned(),
            },
            field: "drain".to_owned(),
            value: serde_json::Value::Bool(true),
            reason: "fuzz".to_owned(),
            author: "fuzz".to_owned(),
            from_unix_ms: None,
            until_unix_ms: None,
        }));
        self.rig.configure(document).await;
    }

    async fn faults(&self, faults: PlatformFaults) {
        self.rig.faults(&faults).await;
    }

    /// Asks an agent for a model; the answer is awaited beside the next steps.
    fn request(&self, member: usize, model: &'static str) {
        let running = &self.members[member].running;
        let (address, life) = (running.address, running.agent.incarnation.clone());
        let open = self.open.clone();
        open.set(open.get() + 1);
        compio::runtime::spawn(async move {
            submit(address, &life, model).await.ok();
            open.set(open.get() - 1);
        })
        .detach();
    }

    async fn step(&mut self, random: &mut StdRng) {
        let member = random.random_range(0..UPSTREAMS.len());
        match random.random_range(0..20) {
            0 => {
                // The agent is replaced, and the earlier one ends in the middle of its work.
                let engine = self.members[member].engine.clone();
                self.members[member].stop.end();
                let (running, stop) = self.agent(UPSTREAMS[member], &engine).await;
                self.members[member].running = running;
                self.members[member].stop = stop;
            }
            1 => {
                let engine = &self.members[member].engine;
                let url = format!("{engine}/faults/crash");
                let request = self.rig.client.post(url).expect("a URL");
                request.body("100").send().await.ok();
            }
            2 => {
                let faults = PlatformFaults {
                    down: true,
                    ..PlatformFaults::default()
                };
                self.faults(faults).await;
            }
            3 => {
                let faults = PlatformFaults {
                    lose_write_answers_percent: 50,
                    stale_reads_percent: 30,
                    ..PlatformFaults::default()
                };
                self.faults(faults).await;
            }
            4..=5 => self.faults(PlatformFaults::default()).await,
            6..=8 => {
                self.faults(PlatformFaults::default()).await;
                let drained = random.random_bool(0.5).then_some(UPSTREAMS[member]);
                self.configure(random.random_range(1..=2), drained).await;
            }
            _ => {
                for _ in 0..random.random_range(4..12) {
                    let member = random.random_range(0..UPSTREAMS.len());
                    self.request(member, MODELS[random.random_range(0..MODELS.len())]);
                }
            }
        }
        sleep_ms(random.random_range(0..PAUSE_MAX_MS)).await;
    }

    /// Checks that no engine holds a replica whose slot has been given back: one that held memory
    /// before and after a read of the placements did so at the read, too.
    async fn check_slots(&self, seed: u64, step: u32) {
        let before = self.rig.witness.observations().held_replicas;
        let Ok(list) = self.rig.store.list(PLACEMENT_KEY_PREFIX).await else {
            return;
        };
        let after = self.rig.witness.observations().held_replicas;
        for held in before.iter().filter(|held| after.contains(held)) {
            let key = format!("{PLACEMENT_KEY_PREFIX}{}", held.model);
            let object = list.objects.iter().find(|object| object.key == key);
            let placement = object.map(Object::read::<PlacementObject>);
            let slots = placement.expect("a placement").expect("a placement").slots;
            let url = format!("http://{}", held.engine);
            let member = self.members.iter().position(|m| m.engine == url);
            let upstream = UPSTREAMS[member.expect("an engine of the fuzz")];
            assert!(
                slots.iter().any(|slot| slot.upstream.as_str() == upstream),
                "{upstream} holds {} without a slot: seed {seed}, step {step}",
                held.model
            );
        }
    }

    fn check(&self, seed: u64, step: u32) {
        for model in MODELS {
            let peak = self.rig.replicas_peak(model);
            assert!(
                peak <= 2,
                "{peak} replicas of {model}: seed {seed}, step {step}"
            );
        }
        let faults = self.rig.witness.observations().overcommit_faults;
        assert_eq!(faults, 0, "memory: seed {seed}, step {step}");
    }
}

#[test]
fn what_must_always_hold_does_under_random_faults() {
    for seed in SEEDS {
        compio::runtime::Runtime::new()
            .expect("a runtime")
            .block_on(async {
                let mut random = StdRng::seed_from_u64(seed);
                let stop = Stop::new();
                let mut fuzz = Fuzz::start().await;
                let _router = fuzz.rig.router(&stop).await;
                for step in 0..STEPS {
                    fuzz.step(&mut random).await;
                    fuzz.check(seed, step);
                    fuzz.check_slots(seed, step).await;
                }
                fuzz.faults(PlatformFaults::default()).await;
                wait_until("all requests are answered", async || fuzz.open.get() == 0).await;
                fuzz.configure(2, None).await;
                // It has recovered: each model is served again by some holder of its slots.
                for model in MODELS {
                    wait_until("the model is served", async || {
                        served_by_any(&fuzz, model).await
                    })
                    .await;
                }
                fuzz.check(seed, STEPS);
                for member in &fuzz.members {
                    member.stop.end();
                }
                stop.end();
            });
    }
}

async fn served_by_any(fuzz: &Fuzz, model: &str) -> bool {
    for member in &fuzz.members {
        let life = member.running.agent.incarnation.clone();
        if submit(member.running.address, &life, model).await.is_ok() {
            return true;
        }
    }
    false
}
