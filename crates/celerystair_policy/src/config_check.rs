//! Whether a version of the configuration comes into force. A version that could serve nothing on some
//! route replaces none that does, and a number that was mistyped locks no later version out. What an
//! operator does about a refused one: `docs/CONFIGURATION.md`.

use std::fmt;

use celerystair_core::prelude::*;

use crate::fleet::{CallerLimits, EngineConfig, Route, ServingConfig};

/// Versions rise in steps below this. It is far above any step between counters or between Unix times in
/// milliseconds, and so far below the highest number that thousands of such steps remain after a mistake.
pub const VERSION_STEP_MAX: u64 = 1 << 48;

/// What becomes of a version that was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigDecision {
    /// It replaces the one in force.
    ComesIntoForce,
    /// It is the one in force.
    IsInForce,
    /// A later one is in force.
    IsOlder,
    /// It can't be in force.
    Refused(ConfigFault),
}

impl ConfigDecision {
    /// Returns the name of the outcome, for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::ComesIntoForce => "in_force",
            Self::IsInForce => "known",
            Self::IsOlder => "older",
            Self::Refused(_) => "refused",
        }
    }
}

/// Why a configuration can't be in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigFault {
    /// Its version is so far above the one in force that no later one might follow.
    VersionStep {
        /// The version in force.
        in_force: u64,
    },
    /// A route takes no request, or another route takes the same ones.
    Route {
        /// The route's name.
        route: String,
        /// What is wrong with it.
        detail: String,
    },
    /// The engines of a service can't be as described.
    Service {
        /// The service.
        service: ServiceName,
        /// What is wrong with it.
        detail: &'static str,
    },
    /// No caller can keep to a limit.
    Limits {
        /// What is wrong with it.
        detail: &'static str,
    },
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::VersionStep { in_force } => {
                write!(
                    formatter,
                    "the version is too far above {in_force}, which is in force"
                )
            }
            Self::Route { route, detail } => write!(formatter, "route {route}: {detail}"),
            Self::Service { service, detail } => write!(formatter, "service {service}: {detail}"),
            Self::Limits { detail } => formatter.write_str(detail),
        }
    }
}

/// Decides what becomes of `config` beside the version in force, if there is one. The first version of a
/// process may have any number: there is nothing to tell a mistake by.
pub fn decide_config(config: &ServingConfig, in_force: Option<u64>) -> ConfigDecision {
    match in_force {
        Some(in_force) if config.version == in_force => return ConfigDecision::IsInForce,
        Some(in_force) if config.version < in_force => return ConfigDecision::IsOlder,
        Some(in_force) if is_version_absurd(config.version, in_force) => {
            return ConfigDecision::Refused(ConfigFault::VersionStep { in_force });
        }
        _ => {}
    }
    match config_fault(config) {
        Some(fault) => ConfigDecision::Refused(fault),
        None => ConfigDecision::ComesIntoForce,
    }
}

/// Returns whether no operator would write this version after the one in force.
pub fn is_version_absurd(version: u64, in_force: u64) -> bool {
    version.saturating_sub(in_force) >= VERSION_STEP_MAX
}

/// Returns the first reason for which `config` can't be in force, whatever was before.
pub fn config_fault(config: &ServingConfig) -> Option<ConfigFault> {
    let mut requests_taken: HashSet<(String, &str)> = HashSet::default();
    for route in &config.routes {
        let is_new = requests_taken.insert((route.host.to_ascii_lowercase(), &route.path_prefix));
        let detail = if is_new {
            route_fault(config, route)
        } else {
            Some("another route has the same host and prefix".to_owned())
        };
        if let Some(detail) = detail {
            let route = route.name.clone();
            return Some(ConfigFault::Route { route, detail });
        }
    }
    for (service, service_config) in &config.services {
        if let Some(detail) = service_config.engine.as_ref().and_then(engine_fault) {
            let service = service.clone();
            return Some(ConfigFault::Service { service, detail });
        }
    }
    let detail = limits_fault(&config.caller_limits)?;
    Some(ConfigFault::Limits { detail })
}

fn route_fault(config: &ServingConfig, route: &Route) -> Option<String> {
    if route.host.is_empty() {
        return Some("it has no host".to_owned());
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Some("its prefix doesn't begin and end with a slash".to_owned());
    }
    if route.timeout_ms == 0 {
        return Some("its timeout leaves no time".to_owned());
    }
    let is_listed = |service: &ServiceName| config.services.contains_key(service);
    let mut services = route.targets.iter().map(|target| &target.service);
    if let Some(service) = services.find(|service| !is_listed(service)) {
        return Some(format!("its service {service} is not listed"));
    }
    let weights = || route.targets.iter().map(|target| target.weight);
    if weights().any(|weight| !is_quantity(weight)) {
        return Some("a weight is negative or no number".to_owned());
    }
    if weights().sum::<f64>() <= 0.0 {
        return Some("no service has a weight above 0".to_owned());
    }
    None
}

fn engine_fault(engine: &EngineConfig) -> Option<&'static str> {
    let models = engine.models.values();
    let mut sizes_mb = models.flat_map(|model| [model.weights_mb, model.adapter_mb]);
    if !is_quantity(engine.weights_mb) || !sizes_mb.all(is_quantity) {
        return Some("a size is negative or no number");
    }
    (engine.slots == 0).then_some("its engines run no request")
}

fn limits_fault(limits: &CallerLimits) -> Option<&'static str> {
    if limits.head_max_bytes == 0 {
        return Some("no head of a request is short enough");
    }
    (limits.head_timeout_ms == 0).then_some("no head of a request can come in time")
}

fn is_quantity(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}
