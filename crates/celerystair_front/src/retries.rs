//! The retry budget of each service at this router, and its logs and metrics: whether each retry
//! was granted and on which figures, and the totals of each window. `docs/OPERATIONS.md` explains
//! how to read them.

use std::cell::RefCell;

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::{metrics::label, prelude::*};

use crate::{
    front::PlatformRouter,
    request::{CallerRequest, Progress},
};

/// The retry budgets of this router, by service.
pub struct Retries {
    bound: RetryBound,
    /// When this router started.
    started_unix_ms: u64,
    services: RefCell<HashMap<ServiceName, ServiceRetries>>,
}

struct ServiceRetries {
    budget: RetryBudget,
    counts: AttemptCounts,
}

/// The requests and attempts of one service since they were last logged.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct AttemptCounts {
    requests: u64,
    /// Attempts that reached an upstream, or may have.
    delivered: u64,
    /// Attempts that reached no upstream; they are not charged to the budget.
    unreachable: u64,
    /// Retries that were charged to the budget.
    charged: u64,
    /// Retries that the budget denied.
    denied: u64,
}

impl Retries {
    /// Creates unused budgets with the given bound.
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            started_unix_ms: now_unix_ms(),
            services: RefCell::default(),
        }
    }

    fn with_service<T>(
        &self,
        service: &ServiceName,
        update: impl FnOnce(&mut ServiceRetries) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        let entry = services.entry(service.clone());
        update(entry.or_insert_with(|| ServiceRetries {
            budget: RetryBudget::new(self.bound, self.started_unix_ms),
            counts: AttemptCounts::default(),
        }))
    }

    /// Returns the counts since the last call and the state of the budget, for each service in use.
    fn drain_counts(
        &self,
        routers: Option<u32>,
    ) -> Vec<(ServiceName, AttemptCounts, RetryAllowance)> {
        let now = now_unix_ms();
        let mut services = self.services.borrow_mut();
        let used = services
            .iter_mut()
            .filter(|(_, retries)| retries.counts != AttemptCounts::default());
        used.map(|(service, retries)| {
            let counts = std::mem::take(&mut retries.counts);
            let allowance = retries.budget.allowance(now, routers);
            (service.clone(), counts, allowance)
        })
        .collect()
    }
}

impl PlatformRouter {
    /// Counts a caller's request for the service.
    pub fn count_service_request(&self, service: &ServiceName) {
        self.retries.with_service(service, |retries| {
            retries.budget.record_request(now_unix_ms());
            retries.counts.requests += 1;
        });
    }

    /// Counts an attempt, which succeeded if `failure` is `None`.
    pub fn count_attempt(&self, service: &ServiceName, failure: Option<AttemptFailure>) {
        let has_reached = failure.is_none_or(AttemptFailure::has_reached_any_upstream);
        self.retries.with_service(service, |retries| {
            retries.counts.delivered += u64::from(has_reached);
            retries.counts.unreachable += u64::from(!has_reached);
        });
        let outcome = failure.map_or("answered", AttemptFailure::as_str);
        let labels = [label("service", service), label("outcome", outcome)];
        self.metrics.attempts.add(1, &labels);
    }

    /// Returns whether the service's budget allows one more retry.
    pub fn has_retry_budget(&self, service: &ServiceName) -> bool {
        let routers = self.router_count();
        self.retries.with_service(service, |retries| {
            retries.budget.can_retry(now_unix_ms(), routers)
        })
    }

    /// Charges one retry of the request to the service's budget; returns false if it is exhausted.
    pub fn try_spend_retry(
        &self,
        request: &CallerRequest,
        service: &ServiceName,
        progress: &Progress,
    ) -> bool {
        let earlier = if progress.has_unresolved_attempt {
            EarlierAttempts::InDoubt
        } else {
            EarlierAttempts::Settled
        };
        let (now, routers) = (now_unix_ms(), self.router_count());
        let (allowance, is_granted) = self.retries.with_service(service, |retries| {
            let allowance = retries.budget.allowance(now, routers);
            let is_granted = retries.budget.try_take(now, routers, earlier);
            retries.counts.charged += u64::from(is_granted);
            retries.counts.denied += u64::from(!is_granted);
            (allowance, is_granted)
        });
        let outcome = if is_granted { "granted" } else { "denied" };
        let labels = [label("service", service), label("outcome", outcome)];
        self.metrics.retries.add(1, &labels);
        info!(self.log, "retry"; "request" => %request.head.id, "route" => &request.route.name,
            "service" => %service, "outcome" => outcome, "earlier" => ?earlier,
            "window_requests" => allowance.requests, "window_retries" => allowance.retries,
            "allowed" => allowance.allowed, "routers" => allowance.routers,
            "life_ms" => now.saturating_sub(self.retries.started_unix_ms),
            "age_ms" => request.age_ms(now));
        is_granted
    }

    /// Records the number of routers that an agent reports, and logs a change of the count in use.
    pub fn record_router_count(&self, routers: u32, reported_by: &UpstreamId) {
        let before = self.router_count();
        self.router_count_estimate
            .borrow_mut()
            .record_count(routers, now_unix_ms());
        let counted = self.router_count();
        if before != counted {
            info!(self.log, "routers_counted"; "routers" => counted, "before" => before,
                "told" => routers, "told_by" => %reported_by);
        }
    }

    /// Records the state of the budgets in the metrics.
    pub fn record_retry_gauges(&self) {
        let routers = self.router_count();
        let gauges = &self.metrics.gauges;
        let counted = routers.map_or(0, u64::from);
        gauges.routers.record(counted, &[]);
        let now = now_unix_ms();
        for (service, retries) in self.retries.services.borrow_mut().iter_mut() {
            let allowed = retries.budget.allowance(now, routers).allowed;
            let labels = [label("service", service)];
            gauges.retries_allowed.record(allowed, &labels);
        }
    }
}

/// Logs the totals of each budget window until `stop` ends.
pub async fn log_attempts_per_window(router: PlatformRouter, stop: Stop) {
    while !stop.is_ended() {
        sleep_ms(router.settings.retry_bound.window_ms).await;
        router.log_limited_upstreams();
        let routers = router.router_count();
        for (service, counts, allowance) in router.retries.drain_counts(routers) {
            info!(router.log, "attempts_of_window"; "service" => %service,
                "window_ms" => router.settings.retry_bound.window_ms, "requests" => counts.requests,
                "arrived" => counts.delivered, "unreachable" => counts.unreachable,
                "charged" => counts.charged, "denied" => counts.denied,
                "allowed" => allowance.allowed, "routers" => allowance.routers);
        }
    }
}
