//! Settings of routers and agents. Durations in the settings are converted to deadlines at their
//! first use.

use std::{net::SocketAddr, path::PathBuf};

use celerystair_core::prelude::*;
use celerystair_net::prelude::TlsSettings;
use celerystair_platform::prelude::StoreSettings;
use serde::{Deserialize, Serialize};

use crate::read::{Checked, Problems};

/// Settings that routers and agents share.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// The failure domain that the process runs in.
    pub failure_domain: FailureDomain,
    /// The region that contains the failure domain.
    #[serde(default)]
    pub region: String,
    /// How to reach the platform's object API and instance list.
    pub platform: StoreSettings,
    /// Interval between reads of the platform's list of instances.
    #[serde(default = "default_instances_interval_ms")]
    pub instances_interval_ms: u64,
    /// Addresses where other processes of the system listen, such as the entry instances. A
    /// process that starts while the store is down fetches the configuration from these.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The certificate that the process presents to other processes of the system; without it
    /// they connect unencrypted, and over loopback only.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// The format of the process's logs.
    #[serde(default)]
    pub log_format: LogFormat,
    /// The file for events of the timeline, as JSON lines; none are written if absent.
    #[serde(default)]
    pub timeline_file: Option<PathBuf>,
    /// How many times faster than real time the clock runs; equal for all processes of a trial.
    #[serde(default = "default_clock_scale")]
    pub clock_scale: u64,
    /// How long a planned stop may take before the remaining work is aborted.
    #[serde(default = "default_stop_timeout_ms")]
    pub stop_timeout_ms: u64,
    /// How long a process still accepts connections after a planned stop begins. In this time the
    /// load balancer notices the stop by `/readyz`, and routers notice it by the agents' reports. A
    /// router serves the requests that arrive meanwhile; an agent reports that it is leaving.
    #[serde(default = "default_stop_notice_ms")]
    pub stop_notice_ms: u64,
}

/// The format of logs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// No logs.
    Off,
    /// Human-readable lines.
    #[default]
    Terminal,
}

/// Settings of `celerystair router`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// The router's name, unique in the fleet.
    pub router: String,
    /// The address where callers connect.
    pub listen: SocketAddr,
    /// The address where other processes of the system connect.
    pub peer_listen: SocketAddr,
    /// Settings that routers and agents share.
    pub process: ProcessSettings,
    /// Maximum size of a request's body.
    #[serde(default = "default_body_max_bytes")]
    pub body_max_bytes: usize,
    /// Time reserved before a request's deadline, so that a refusal reaches the caller in time.
    #[serde(default = "default_answer_margin_ms")]
    pub answer_margin_ms: u64,
    /// The administration API; not served if absent.
    #[serde(default)]
    pub admin: Option<AdminSettings>,
}

/// Settings of a router's administration API.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// The address where operators connect.
    pub listen: SocketAddr,
    /// The accepted bearer tokens.
    pub tokens: Vec<AdminToken>,
}

/// A bearer token and the role of its holder.
#[derive(Clone, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdminToken {
    /// The holder's name, recorded as the author of changes.
    pub name: String,
    /// The secret that the holder sends.
    pub token: String,
    /// The role of the holder.
    pub role: AdminRole,
}

impl std::fmt::Debug for AdminToken {
    /// Omits the token, so that it is never logged.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdminToken")
            .field("name", &self.name)
            .field("role", &self.role)
            .finish_non_exhaustive()
    }
}

/// The permissions of a token's holder.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminRole {
    /// May read everything.
    Read,
    /// May read and edit everything.
    Edit,
}

/// The kind of an upstream.
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
    /// The upstream's name, unique in the fleet.
    pub upstream: UpstreamId,
    /// The id of the upstream's instance in the platform's list; a restart gets a new id.
    pub instance: InstanceId,
    /// Whether the upstream is a model engine or a plain service.
    pub upstream_kind: UpstreamKind,
    /// The upstream's URL, such as `http://127.0.0.1:8000`.
    pub upstream_url: String,
    /// The upstream's pool; upstreams of one pool serve the same models and services.
    pub pool: String,
    /// The address where routers and other agents connect.
    pub listen: SocketAddr,
    /// The address where `/metrics` is served; not served if absent.
    #[serde(default)]
    pub metrics_listen: Option<SocketAddr>,
    /// Settings that routers and agents share.
    pub process: ProcessSettings,
    /// Whether the engine refuses orders with an outdated fencing token.
    #[serde(default = "default_true")]
    pub engine_checks_orders: bool,
    /// How long an order to the engine is valid; the engine must not execute it later.
    #[serde(default = "default_order_life_ms")]
    pub order_life_ms: u64,
    /// Maximum requests that the upstream runs concurrently.
    #[serde(default = "default_running_max")]
    pub running_max: u32,
}

/// Minimum length of a token; shorter ones could be guessed.
const TOKEN_MIN_BYTES: usize = 16;

fn default_instances_interval_ms() -> u64 {
    1000
}

fn default_clock_scale() -> u64 {
    1
}

fn default_stop_notice_ms() -> u64 {
    5_000
}

fn default_stop_timeout_ms() -> u64 {
    120_000
}

fn default_body_max_bytes() -> usize {
    8 << 20
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
            self.stop_notice_ms < self.stop_timeout_ms,
            "stop_notice_ms",
            "must be less than stop_timeout_ms",
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

/// Requires a loopback address or TLS: over an unencrypted network, anyone could send an agent
/// orders or a process a configuration.
fn check_peer_listen(
    problems: &mut Problems,
    field: &str,
    listen: SocketAddr,
    process: &ProcessSettings,
) {
    let is_protected = listen.ip().is_loopback() || process.tls.is_some();
    problems.require(
        is_protected,
        field,
        "must be a loopback address unless process.tls is set",
    );
}

impl Checked for AdminSettings {
    fn check(&self, problems: &mut Problems) {
        problems.require(
            self.listen.ip().is_loopback(),
            "listen",
            "must be a loopback address: bearer tokens must not be sent over a network unencrypted",
        );
        problems.require(!self.tokens.is_empty(), "tokens", "must not be empty");
        for (index, token) in self.tokens.iter().enumerate() {
            problems.within(format!("tokens.{index}"), |problems| {
                problems.require(!token.name.is_empty(), "name", "must not be empty");
                let is_long_enough = token.token.len() >= TOKEN_MIN_BYTES;
                problems.require(is_long_enough, "token", "must have at least 16 bytes");
                let is_duplicate = self.tokens[..index].iter().any(|t| t.token == token.token);
                problems.require(!is_duplicate, "token", "is a duplicate of an earlier token");
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
