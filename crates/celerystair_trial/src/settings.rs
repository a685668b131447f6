//! Settings of a trial: the sizes of an organisation's fleet, its stand-ins and its calls.

use celerystair_config::{
    prelude::*,
    read::{Checked, Problems},
};
use celerystair_core::prelude::*;
use celerystair_platform::prelude::{ModelObject, ServiceObject};
use celerystair_standin::prelude::*;
use serde::{Deserialize, Serialize};

/// A whole system in one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TrialSettings {
    /// The organisation whose callers are played.
    pub organisation: OrganisationName,
    /// Its region.
    pub region: String,
    /// The region's failure domains.
    pub failure_domains: Vec<FailureDomain>,
    /// How much faster than real time the clock runs.
    pub clock_scale: u64,
    /// Routers.
    pub routers: u32,
    /// Pools of upstreams.
    pub pools: Vec<PoolSettings>,
    /// Models, in groups of alike ones.
    pub models: Vec<ModelGroup>,
    /// Plain services.
    pub services: Vec<NamedService>,
    /// The weight store.
    pub weights: WeightsSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// The fleet's configuration at the start.
    #[serde(default)]
    pub config: FleetDocument,
    /// The calls.
    pub workload: WorkloadSettings,
    /// How logs are written.
    #[serde(default = "default_log_format")]
    pub log_format: LogFormat,
    /// Where events of the time line go, as JSON lines.
    #[serde(default)]
    pub timeline_file: Option<std::path::PathBuf>,
    /// Kept by routers from a request's time for the way back to its caller.
    #[serde(default = "default_answer_margin_ms")]
    pub answer_margin_ms: u64,
    /// How long an agent whose planned stop has begun still takes connections.
    #[serde(default = "default_agent_stop_notice_ms")]
    pub agent_stop_notice_ms: u64,
    /// How long a router whose planned stop has begun still takes connections.
    #[serde(default = "default_router_stop_notice_ms")]
    pub router_stop_notice_ms: u64,
}

fn default_answer_margin_ms() -> u64 {
    200
}

fn default_agent_stop_notice_ms() -> u64 {
    500
}

fn default_router_stop_notice_ms() -> u64 {
    3000
}

fn default_log_format() -> LogFormat {
    LogFormat::Off
}

/// What the upstreams of a pool are.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Plain services.
    Service,
}

/// Upstreams that serve the same models or services, spread over the failure domains.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Its name.
    pub name: String,
    /// What its upstreams are.
    pub kind: PoolKind,
    /// How many there are.
    pub upstreams: u32,
    /// Requests that each runs at once.
    pub running_max: u32,
    /// How its engines behave.
    #[serde(default)]
    pub engine: EngineSettings,
    /// How its services behave.
    #[serde(default)]
    pub service: ServiceSettings,
}

/// Models that are alike but for their names: `<prefix>-<number>`, from 1.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelGroup {
    /// What their names start with.
    pub prefix: String,
    /// How many there are.
    pub count: u32,
    /// The pool of upstreams that may hold them.
    pub pool: String,
    /// Size of a checkpoint.
    pub checkpoint_bytes: u64,
    /// Room for KV cache beside it.
    pub kv_cache_bytes: u64,
    /// Adapters of each, named `a1`, `a2` and so on.
    pub adapters: u32,
}

/// A plain service with its name.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NamedService {
    /// Its name.
    pub name: String,
    /// The pool of upstreams that run it.
    pub pool: String,
    /// Methods whose calls may be repeated.
    pub idempotent_methods: Vec<String>,
}

/// The calls of a trial, in the trial's own time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadSettings {
    /// How long it takes in all.
    pub length_ms: u64,
    /// Every model and half of the adapters are first called within this time.
    pub burst_ms: u64,
    /// Calls a second, on average, after the burst.
    pub calls_per_second: f64,
    /// Tokens of an answer.
    pub tokens: u64,
    /// How long callers wait.
    pub timeout_ms: u64,
}

impl TrialSettings {
    /// Every model with its name.
    pub fn model_objects(&self) -> Vec<(String, ModelObject)> {
        let mut models = Vec::new();
        for group in &self.models {
            let adapters: Vec<String> = (1..=group.adapters).map(|n| format!("a{n}")).collect();
            models.extend((1..=group.count).map(|number| {
                let object = ModelObject {
                    pool: group.pool.clone(),
                    version: "1".to_owned(),
                    checkpoint_bytes: group.checkpoint_bytes,
                    kv_cache_bytes: group.kv_cache_bytes,
                    adapters: adapters.clone(),
                };
                (format!("{}-{number}", group.prefix), object)
            }));
        }
        models
    }

    /// Every service with its name.
    pub fn service_objects(&self) -> Vec<(String, ServiceObject)> {
        let objects = self.services.iter().map(|service| {
            let object = ServiceObject {
                pool: service.pool.clone(),
                idempotent_methods: service.idempotent_methods.clone(),
            };
            (service.name.clone(), object)
        });
        objects.collect()
    }
}

impl Checked for TrialSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require(
            !self.organisation.is_empty(),
            "organisation",
            "must not be empty",
        );
        problems.require(
            !self.failure_domains.is_empty(),
            "failure_domains",
            "must not be empty",
        );
        problems.require(self.routers > 0, "routers", "must be over 0");
        problems.within("config", |problems| self.config.check(problems));
        problems.require(
            (1..=10_000).contains(&self.clock_scale),
            "clock_scale",
            "must be from 1 to 10000",
        );
        problems.require(
            self.weights.loads_per_second > 0.0,
            "weights.loads_per_second",
            "must be over 0",
        );
        let has_pool = |name: &str| self.pools.iter().any(|pool| pool.name == name);
        for (index, group) in self.models.iter().enumerate() {
            problems.within(format!("models.{index}"), |problems| {
                let detail = format!("there is no pool {}", group.pool);
                problems.require(has_pool(&group.pool), "pool", detail);
            });
        }
        for (index, service) in self.services.iter().enumerate() {
            problems.within(format!("services.{index}"), |problems| {
                let detail = format!("there is no pool {}", service.pool);
                problems.require(has_pool(&service.pool), "pool", detail);
            });
        }
    }
}
