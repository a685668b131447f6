//! Which route a request takes. A configuration may have hundreds of routes on one host, of which
//! callers use a few.

use std::rc::Rc;

use celerystair_core::prelude::*;

use crate::fleet::{Route, RouteTarget, ServingConfig};

/// The routes of one configuration, by host.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The routes of each host in lower case, longest prefix first.
    by_host: HashMap<String, Vec<Rc<Route>>>,
}

impl RouteTable {
    /// Builds the table of `config`.
    pub fn new(config: &ServingConfig) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::default();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            by_host
                .entry(host)
                .or_default()
                .push(Rc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route of `host` with the longest prefix of `path`, if there is one.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let host = host_name(host).to_ascii_lowercase();
        let routes = self.by_host.get(&host)?;
        let route = routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))?;
        Some(route.clone())
    }
}

/// Returns the host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Picks the service for a request of `route` by weight; `draw` is uniform in 0..1.
pub fn choose_service(route: &Route, draw: f64) -> Option<&ServiceName> {
    let total: f64 = route.targets.iter().map(|target| target.weight).sum();
    let mut rest = draw * total;
    let has_weight = |target: &&RouteTarget| target.weight > 0.0;
    let mut chosen = None;
    for target in route.targets.iter().filter(has_weight) {
        chosen = Some(&target.service);
        rest -= target.weight;
        if rest < 0.0 {
            break;
        }
    }
    chosen
}
