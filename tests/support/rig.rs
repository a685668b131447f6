//! Single roles and stand-ins on the test's own runtime, for tests of placements.

#![allow(dead_code)]

use std::net::SocketAddr;

use celerystair::{
    agent::prelude::*,
    config::prelude::*,
    core::{prelude::*, time::before_deadline},
    net::prelude::*,
    platform::{
        objects::{CONFIG_HEAD_KEY, MODEL_KEY_PREFIX, PLACEMENT_KEY_PREFIX},
        prelude::*,
    },
    protocol::{Stamp, SubmitRequest, agent_client::AgentClient, submit_event::Event as Step},
    router::prelude::*,
    standin::prelude::*,
    trial::fleet::{set_instance_state, store_settings},
};

/// How long a condition may take on a loaded machine.
const CONDITION_TIMEOUT_MS: u64 = 60_000;
const POLL_MS: u64 = 5;
/// How long requests of tests may take.
pub const REQUEST_TIMEOUT_MS: u64 = 30_000;

/// A platform, and what tests need beside it.
pub struct Rig {
    pub stop: Stop,
    pub witness: Witness,
    pub store: Store,
    pub platform_url: String,
    pub client: cyper::Client,
}

impl Rig {
    /// Starts the platform.
    pub fn start() -> Self {
        let stop = Stop::new();
        let settings = PlatformSettings {
            list_lag_ms: 50,
            ..PlatformSettings::default()
        };
        let address = run_platform(settings, &stop).expect("the platform listens");
        let platform_url = format!("http://{address}");
        Self {
            store: Store::new(store_settings(&platform_url)).expect("a store"),
            client: cyper::Client::new().expect("a client"),
            witness: Witness::default(),
            platform_url,
            stop,
        }
    }

    /// Starts an engine; gives its URL.
    pub fn engine(&self, settings: EngineSettings) -> String {
        let address = run_engine(settings, &self.witness, &self.stop).expect("the engine listens");
        format!("http://{address}")
    }

    /// Starts an agent, whose instance the platform lists.
    pub async fn agent(&self, settings: AgentSettings, stop: &Stop) -> RunningAgent {
        self.announce(&settings.instance, "live").await;
        run_agent(settings, stop).await.expect("the agent starts")
    }

    /// Starts a router, which makes and mends placements.
    pub async fn router(&self, stop: &Stop) -> RunningRouter {
        let settings = RouterSettings {
            router: "router-1".to_owned(),
            listen: loopback(),
            peer_listen: loopback(),
            process: process_settings(&self.platform_url, "a"),
            body_max_bytes: 1 << 20,
            answer_margin_ms: 100,
            admin: None,
        };
        run_router(settings, stop).await.expect("the router starts")
    }

    /// Tells the platform what becomes of an instance.
    pub async fn announce(&self, instance: &str, state: &str) {
        set_instance_state(&self.client, &self.platform_url, instance, state)
            .await
            .expect("the platform answers");
    }

    /// Lets the platform fail.
    pub async fn faults(&self, faults: &PlatformFaults) {
        let body = serde_json::to_vec(faults).expect("JSON");
        self.post(&format!("{}/faults", self.platform_url), body, true)
            .await;
    }

    /// Gives an engine an order as another claimant would.
    pub async fn order(&self, engine_url: &str, name: &str, order: &impl serde::Serialize) -> u16 {
        let body = serde_json::to_vec(order).expect("JSON");
        self.post(&format!("{engine_url}/orders/{name}"), body, false)
            .await
    }

    async fn post(&self, url: &str, body: Vec<u8>, put: bool) -> u16 {
        let request = if put {
            self.client.put(url)
        } else {
            self.client.post(url)
        };
        let response = request.expect("a URL").body(body).send().await;
        response.expect("an answer").status().as_u16()
    }

    /// Configures a model of 400 bytes with 100 for KV cache.
    pub async fn put_model(&self, model: &str) {
        let object = ModelObject {
            pool: "engines".to_owned(),
            version: "1".to_owned(),
            checkpoint_bytes: 400,
            kv_cache_bytes: 100,
            adapters: vec!["a1".to_owned()],
        };
        let key = format!("{MODEL_KEY_PREFIX}{model}");
        let written = self
            .store
            .put(&key, &object, Expected::Absent, CallPriority::Normal);
        written.await.expect("the model is written");
    }

    /// Sets another version of a model.
    pub async fn set_version(&self, model: &str, version: &str) {
        let key = format!("{MODEL_KEY_PREFIX}{model}");
        let found = self.store.get(&key).await.expect("the store answers");
        let found = found.expect("the model is configured");
        let mut object: ModelObject = found.read().expect("a model");
        version.clone_into(&mut object.version);
        let expected = Expected::Version(found.version);
        let written = self
            .store
            .put(&key, &object, expected, CallPriority::Normal);
        written.await.expect("the model is written");
    }

    /// Places a model on these upstreams, each with the instance `<upstream>.1`.
    pub async fn place(&self, model: &str, upstreams: &[&str]) {
        let slots = upstreams.iter().map(|upstream| SlotObject {
            upstream: (*upstream).into(),
            instance: format!("{upstream}.1").into(),
            slot_generation: 1,
        });
        let key = format!("{PLACEMENT_KEY_PREFIX}{model}");
        let found = self.store.get(&key).await.expect("the store answers");
        let generation = match &found {
            Some(object) => {
                object
                    .read::<PlacementObject>()
                    .expect("a placement")
                    .generation
            }
            None => 0,
        };
        let placement = PlacementObject {
            generation: generation + 1,
            write_id: "test".to_owned(),
            slots: slots.collect(),
        };
        let expected = found.map_or(Expected::Absent, |o| Expected::Version(o.version));
        let written = self
            .store
            .put(&key, &placement, expected, CallPriority::Normal);
        written.await.expect("the placement is written");
    }

    /// The upstreams that hold slots of `model`, by the store.
    pub async fn placed(&self, model: &str) -> Vec<String> {
        let key = format!("{PLACEMENT_KEY_PREFIX}{model}");
        match self.store.get(&key).await {
            Ok(Some(object)) => {
                let placement = object.read::<PlacementObject>().expect("a placement");
                let slots = placement.slots.iter();
                slots.map(|slot| slot.upstream.to_string()).collect()
            }
            _ => Vec::new(),
        }
    }

    /// Puts a configuration in force.
    pub async fn configure(&self, document: FleetDocument) {
        let found = self
            .store
            .get(CONFIG_HEAD_KEY)
            .await
            .expect("the store answers");
        let expected = found.map_or(Expected::Absent, |o| Expected::Version(o.version));
        let written = self
            .store
            .put(CONFIG_HEAD_KEY, &document, expected, CallPriority::Normal);
        written.await.expect("the configuration is written");
    }

    /// Replicas of `model` that hold memory now.
    pub fn replicas(&self, model: &str) -> u32 {
        let seen = self.witness.observations();
        seen.replicas.get(model).copied().unwrap_or_default()
    }

    /// The most replicas of `model` that held memory at one instant.
    pub fn replicas_peak(&self, model: &str) -> u32 {
        let seen = self.witness.observations();
        seen.replicas_peak.get(model).copied().unwrap_or_default()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.stop.drain();
        self.stop.end();
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn process_settings(platform_url: &str, domain: &str) -> ProcessSettings {
    ProcessSettings {
        failure_domain: domain.into(),
        region: "r".to_owned(),
        platform: store_settings(platform_url),
        instances_interval_ms: 50,
        log_format: LogFormat::Off,
        peers: Vec::new(),
        tls: None,
        timeline_file: None,
        clock_scale: 1,
        stop_timeout_ms: 60_000,
        stop_notice_ms: 0,
    }
}

/// An engine of 1,000 bytes: two replicas fit.
pub fn small_engine() -> EngineSettings {
    EngineSettings {
        memory_bytes: 1000,
        host_memory_bytes: 1000,
        memory_bytes_per_second: 10_000,
        disk_bytes_per_second: 10_000,
        unload_ms: 20,
        first_token_ms: 2,
        token_interval_ms: 1,
        restart_ms: 200,
        ..EngineSettings::default()
    }
}

/// An agent beside the engine at `engine_url`, in the first life of its instance.
pub fn agent_settings(rig: &Rig, upstream: &str, engine_url: &str) -> AgentSettings {
    let domain = upstream.rsplit('-').next().unwrap_or_default();
    AgentSettings {
        upstream: upstream.into(),
        instance: format!("{upstream}.1").into(),
        upstream_kind: UpstreamKind::Engine,
        upstream_url: engine_url.to_owned(),
        pool: "engines".to_owned(),
        listen: loopback(),
        metrics_listen: None,
        process: process_settings(&rig.platform_url, domain),
        engine_checks_orders: true,
        order_life_ms: 1000,
        running_max: 4,
    }
}

/// Waits until `holds`.
///
/// # Panics
/// If it takes too long, with `what`.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline_unix_ms = now_unix_ms() + CONDITION_TIMEOUT_MS;
    while !holds().await {
        assert!(now_unix_ms() < deadline_unix_ms, "not in time: {what}");
        sleep_ms(POLL_MS).await;
    }
}

/// Sends a completion straight to an agent; gives the reason of a refusal.
pub async fn submit(address: SocketAddr, life: &str, model: &str) -> Result<(), RefusalReason> {
    submit_by_clock(address, life, model, now_unix_ms()).await
}

/// The same, from a router whose clock shows `sent_unix_ms`.
pub async fn submit_by_clock(
    address: SocketAddr,
    life: &str,
    model: &str,
    sent_unix_ms: u64,
) -> Result<(), RefusalReason> {
    let mut chunks = Vec::new();
    submit_for_chunks(address, life, model, sent_unix_ms, &mut chunks).await
}

/// The same, and gives the chunks of the body as far as they came.
pub async fn submit_for_chunks(
    address: SocketAddr,
    life: &str,
    model: &str,
    sent_unix_ms: u64,
    chunks: &mut Vec<Vec<u8>>,
) -> Result<(), RefusalReason> {
    let model = ModelRef::parse(model);
    let channel = Connection::new(address).channel().await;
    let channel = channel.map_err(|_| RefusalReason::ConnectionLost)?;
    let origin = channel.origin();
    let deadline_unix_ms = sent_unix_ms + REQUEST_TIMEOUT_MS;
    let stamp = Stamp {
        sent_unix_ms,
        ..Stamp::default()
    };
    let request = SubmitRequest {
        stamp: Some(stamp),
        attempt_id: AttemptId::random().to_string(),
        agent_life: life.to_owned(),
        body: format!(r#"{{"model":"{model}","prompt":"p","max_tokens":2}}"#).into(),
        content_type: "application/json".to_owned(),
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        model: model.base.to_string(),
        adapter: model.adapter.as_deref().unwrap_or_default().to_owned(),
        idempotent: true,
        deadline_unix_ms,
        ..SubmitRequest::default()
    };
    let work = async {
        let mut client = AgentClient::with_origin(channel, origin);
        let answer = client.submit(request).await;
        let mut events = answer
            .map_err(|_| RefusalReason::ConnectionLost)?
            .into_inner();
        while let Ok(Some(event)) = events.message().await {
            match event.event {
                Some(Step::Chunk(chunk)) => chunks.push(chunk.to_vec()),
                Some(Step::End(_)) => return Ok(()),
                Some(Step::Refused(refused)) => {
                    return Err(RefusalReason::from_wire_name(&refused.reason));
                }
                _ => {}
            }
        }
        Err(RefusalReason::ConnectionLost)
    };
    before_deadline(now_unix_ms() + REQUEST_TIMEOUT_MS, work)
        .await
        .expect("an answer by the deadline")
}
