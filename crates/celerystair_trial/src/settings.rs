//! Settings of a trial: the size of the fleet, its stand-ins and the load of `celerystair try`.

use celerystair_config::{
    prelude::*,
    read::{Checked, Problems},
};
use celerystair_core::prelude::*;
use celerystair_platform::prelude::{ModelObject, ServiceObject};
use celerystair_standin::prelude::*;
use serde::{Deserialize, Serialize};

/// Settings of a trial, which runs a whole fleet in one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TrialSettings {
    /// Organisation of the simulated callers.
    pub organisation: OrganisationName,
    /// Region of the fleet.
    pub region: String,
    /// The region's failure domains.
    pub failure_domains: Vec<FailureDomain>,
    /// Factor by which the clock runs faster than real time.
    pub clock_scale: u64,
    /// Number of routers.
    pub routers: u32,
    /// Pools of upstreams.
    pub pools: Vec<PoolSettings>,
    /// Models, in groups that share all settings but the name.
    pub models: Vec<ModelGroup>,
    /// Plain services.
    pub services: Vec<NamedService>,
    /// Settings of the weight store stand-in.
    pub weights: WeightsSettings,
    /// Settings of the platform stand-in.
    pub platform: PlatformSettings,
    /// The fleet's configuration at the start.
    #[serde(default)]
    pub config: FleetDocument,
    /// Load of `celerystair try`.
    pub workload: WorkloadSettings,
    /// Format of logs.
    #[serde(default = "default_log_format")]
    pub log_format: LogFormat,
    /// File to which the timeline's events are written as JSON lines.
    #[serde(default)]
    pub timeline_file: Option<std::path::PathBuf>,
    /// Part of a request's deadline that routers reserve for returning the response to its caller.
    #[serde(default = "default_answer_margin_ms")]
    pub answer_margin_ms: u64,
    /// How long a draining agent still accepts connections.
    #[serde(default = "default_agent_stop_notice_ms")]
    pub agent_stop_notice_ms: u64,
    /// How long a draining router still accepts connections.
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

/// Kind of the upstreams in a pool.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Plain services.
    Service,
}

/// Upstreams that serve the same models or services, distributed over the failure domains.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Unique name.
    pub name: String,
    /// Kind of its upstreams.
    pub kind: PoolKind,
    /// Number of upstreams.
    pub upstreams: u32,
    /// Requests that each upstream runs concurrently.
    pub running_max: u32,
    /// Settings of each engine stand-in.
    #[serde(default)]
    pub engine: EngineSettings,
    /// Settings of each service stand-in.
    #[serde(default)]
    pub service: ServiceSettings,
}

/// Models that differ only in their names, `<prefix>-<number>` with numbers from 1.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelGroup {
    /// Prefix of their names.
    pub prefix: String,
    /// Number of models.
    pub count: u32,
    /// Pool of the upstreams that may load them.
    pub pool: String,
    /// Size of a checkpoint.
    pub checkpoint_bytes: u64,
    /// Accelerator memory for the KV cache, in addition to the checkpoint.
    pub kv_cache_bytes: u64,
    /// Number of adapters of each model, named `a1`, `a2` and so on.
    pub adapters: u32,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NamedService {
    /// Unique name.
    pub name: String,
    /// Pool of the upstreams that run it.
    pub pool: String,
    /// HTTP methods whose calls may be repeated.
    pub idempotent_methods: Vec<String>,
}

/// Load of `celerystair try`. Times are in the trial's scaled time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadSettings {
    /// Total length.
    pub length_ms: u64,
    /// Length of the initial burst, in which every model and half of the adapters are called once.
    pub burst_ms: u64,
    /// Average rate of calls after the burst.
    pub calls_per_second: f64,
    /// Tokens per response.
    pub tokens: u64,
    /// Request timeout of callers.
    pub timeout_ms: u64,
}

impl TrialSettings {
    /// Returns every model's name and its object in the store.
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

    /// Returns every service's name and its object in the store.
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
