//! Settings of routers and agents. A duration in the settings becomes a deadline where it is
//! first used.

use std::{net::SocketAddr, path::PathBuf};

use celerystair_core::prelude::*;
use celerystair_net::prelude::TlsSettings;
use celerystair_platform::prelude::StoreSettings;
use serde::{Deserialize, Serialize};

use crate::read::{Checked, Problems};

/// What every process has.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Where the process stands.
    pub failure_domain: FailureDomain,
    /// The region of the failure domain.
    #[serde(default)]
    pub region: String,
    /// The platform's object API and instance list.
    pub platform: StoreSettings,
    /// How often the platform's list of instances is read.
    #[serde(default = "default_instances_interval_ms")]
    pub instances_interval_ms: u64,
    /// Where other processes of the system listen, such as the entry instances: a process that
    /// starts while the store is down asks these what is in force.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The certificate that the process shows to others of the system; without it they talk
    /// in the clear, and on loopback only.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// How logs are written.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Where events of the time line go, as JSON lines; nowhere if absent.
    #[serde(default)]
    pub timeline_file: Option<PathBuf>,
    /// How much faster than real time the clock runs; all processes of a trial share it.
    #[serde(default = "default_clock_scale")]
    pub clock_scale: u64,
    /// How long a planned stop may take before what is left is cut off.
    #[serde(default = "default_stop_timeout_ms")]
    pub stop_timeout_ms: u64,
}

/// How logs are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Nothing is written.
    Off,
    /// For people.
    #[default]
    Terminal,
}

/// Settings of `celerystair router`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// The router's name, unique in the fleet.
    pub router: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where other processes of the system connect.
    pub peer_listen: SocketAddr,
    /// What every process has.
    pub process: ProcessSettings,
    /// The largest body that a caller may send.
    #[serde(default = "default_body_max_bytes")]
    pub body_max_bytes: usize,
    /// Kept from a request's time, so that a refusal reaches the caller before the deadline.
    #[serde(default = "default_answer_margin_ms")]
    pub answer_margin_ms: u64,
    /// How long the balancer may take to see that a router is not ready any more; until then a
    /// stopping router takes what still comes.
    #[serde(default = "default_balancer_lag_ms")]
    pub balancer_lag_ms: u64,
    /// The administration API; none is served if absent.
    #[serde(default)]
    pub admin: Option<AdminSettings>,
}

/// The administration API of a router.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// Where operators connect.
    pub listen: SocketAddr,
    /// Who may do what.
    pub tokens: Vec<AdminToken>,
}

/// A bearer token and what its holder may do.
#[derive(Clone, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdminToken {
    /// The holder, named as the author of edits.
    pub name: String,
    /// The token.
    pub token: String,
    /// What its holder may do.
    pub role: AdminRole,
}

impl std::fmt::Debug for AdminToken {
    /// Leaves the token out, so that no log has it.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdminToken")
            .field("name", &self.name)
            .field("role", &self.role)
            .finish_non_exhaustive()
    }
}

/// What the holder of a token may do.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminRole {
    /// Read everything.
    Read,
    /// Read and edit everything.
    Edit,
}

/// What stands behind an agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Settings of `celerystair agent`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The upstream's name.
    pub upstream: UpstreamId,
    /// The life of the upstream's instance, as the platform's list names it.
    pub instance: InstanceId,
    /// What stands behind the agent.
    pub upstream_kind: UpstreamKind,
    /// Where the upstream listens, such as `http://127.0.0.1:8000`.
    pub upstream_url: String,
    /// Upstreams of one pool serve the same models and services.
    pub pool: String,
    /// Where routers and other agents connect.
    pub listen: SocketAddr,
    /// Where metrics are served, at `/metrics`; nowhere if absent.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// What every process has.
    pub process: ProcessSettings,
    /// Whether the engine refuses an order with an old fencing number.
    #[serde(default = "default_true")]
    pub engine_checks_orders: bool,
    /// How long an order may live before the engine must not act on it.
    #[serde(default = "default_order_life_ms")]
    pub order_life_ms: u64,
    /// Requests that the upstream runs at once.
    #[serde(default = "default_running_max")]
    pub running_max: u32,
}

/// A shorter token could be guessed.
const TOKEN_MIN_BYTES: usize = 16;

fn default_instances_interval_ms() -> u64 {
    1000
}

fn default_clock_scale() -> u64 {
    1
}

fn default_stop_timeout_ms() -> u64 {
    120_000
}

fn default_body_max_bytes() -> usize {
    8 << 20
}

fn default_balancer_lag_ms() -> u64 {
    10_000
}

fn default_answer_margin_ms() -> u64 {
    100
}

fn default_true() -> bool {
    true
}

fn default_order_life_ms() -> u64 {
    2000
}

fn default_running_max() -> u32 {
    16
}

impl Checked for ProcessSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require(
            !self.failure_domain.is_empty(),
            "failure_domain",
            "must not be empty",
        );
        problems.require(
            self.platform.url.starts_with("http://") || self.platform.url.starts_with("https://"),
            "platform.url",
            "must start with http:// or https://",
        );
        problems.require(
            self.platform.call_timeout_ms > 0,
            "platform.call_timeout_ms",
            "must be over 0",
        );
        problems.require(
            self.instances_interval_ms > 0,
            "instances_interval_ms",
            "must be over 0",
        );
        problems.require(
            (1..=10_000).contains(&self.clock_scale),
            "clock_scale",
            "must be from 1 to 10000",
        );
    }
}

/// Anybody could give an agent orders, or a process a configuration, over a network in the
/// clear.
fn check_peer_listen(
    problems: &mut Problems,
    field: &str,
    listen: SocketAddr,
    process: &ProcessSettings,
) {
    let is_guarded = listen.ip().is_loopback() || process.tls.is_some();
    problems.require(
        is_guarded,
        field,
        "must be a loopback address unless process.tls is set",
    );
}

impl Checked for AdminSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require(
            self.listen.ip().is_loopback(),
            "listen",
            "must be a loopback address: bearer tokens must not cross a network in the clear",
        );
        problems.require(!self.tokens.is_empty(), "tokens", "must not be empty");
        for (index, token) in self.tokens.iter().enumerate() {
            problems.within(format!("tokens.{index}"), |problems| {
                problems.require(!token.name.is_empty(), "name", "must not be empty");
                let is_long = token.token.len() >= TOKEN_MIN_BYTES;
                problems.require(is_long, "token", "must have 16 bytes or more");
                let is_twice = self.tokens[..index].iter().any(|t| t.token == token.token);
                problems.require(!is_twice, "token", "stands twice");
            });
        }
    }
}

impl Checked for RouterSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require(!self.router.is_empty(), "router", "must not be empty");
        check_peer_listen(problems, "peer_listen", self.peer_listen, &self.process);
        problems.require(self.body_max_bytes > 0, "body_max_bytes", "must be over 0");
        if let Some(admin) = &self.admin {
            problems.within("admin", |problems| admin.check(problems));
        }
        problems.within("process", |problems| self.process.check(problems));
    }
}

impl Checked for AgentSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require(!self.upstream.is_empty(), "upstream", "must not be empty");
        problems.require(!self.instance.is_empty(), "instance", "must not be empty");
        problems.require(!self.pool.is_empty(), "pool", "must not be empty");
        problems.require(
            self.upstream_url.starts_with("http://"),
            "upstream_url",
            "must start with http://",
        );
        check_peer_listen(problems, "listen", self.listen, &self.process);
        problems.require(self.running_max > 0, "running_max", "must be over 0");
        problems.require(self.order_life_ms > 0, "order_life_ms", "must be over 0");
        problems.within("process", |problems| self.process.check(problems));
    }
}
