//! The retry budget of each service at this router, and what operators are told of it: whether a
//! retry was granted and by what, and the sums of each window. `docs/OPERATIONS.md` shows how to
//! read them.

use std::cell::RefCell;

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::{metrics::label, prelude::*};

use crate::{
    front::PlatformRouter,
    request::{CallerRequest, Progress},
};

/// This router's retries, by service.
pub struct Retries {
    bound: RetryBound,
    started_unix_ms: u64,
    services: RefCell<HashMap<ServiceName, ServiceRetries>>,
}

struct ServiceRetries {
    budget: RetryBudget,
    counts: AttemptCounts,
}

/// What was sent for one service since it was last logged.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct AttemptCounts {
    requests: u64,
    /// Attempts that an upstream saw, or may have seen.
    arrived: u64,
    /// Attempts that no upstream saw; they are not charged.
    unreachable: u64,
    charged: u64,
    denied: u64,
}

impl Retries {
    /// Nothing has been sent yet.
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

    /// The sums since the last call, and where the budget stands, of each service that was used.
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
    /// Counts a request of callers for the service.
    pub fn count_service_request(&self, service: &ServiceName) {
        self.retries.with_service(service, |retries| {
            retries.budget.record_request(now_unix_ms());
            retries.counts.requests += 1;
        });
    }

    /// Counts an attempt; `failure` says how it came to nothing, if it did.
    pub fn count_attempt(&self, service: &ServiceName, failure: Option<AttemptFailure>) {
        let has_arrived = failure.is_none_or(AttemptFailure::has_reached_any_upstream);
        self.retries.with_service(service, |retries| {
            retries.counts.arrived += u64::from(has_arrived);
            retries.counts.unreachable += u64::from(!has_arrived);
        });
        let outcome = failure.map_or("answered", AttemptFailure::as_str);
        let labels = [label("service", service), label("outcome", outcome)];
        self.metrics.attempts.add(1, &labels);
    }

    /// Whether the service's budget has room for one more retry.
    pub fn has_retry_budget(&self, service: &ServiceName) -> bool {
        let routers = self.router_count();
        self.retries.with_service(service, |retries| {
            retries.budget.can_retry(now_unix_ms(), routers)
        })
    }

    /// Takes one retry for the request, if the service's budget has room for it.
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

    /// Takes in how many routers an agent counts.
    pub fn record_router_count(&self, routers: u32, reported_by: &UpstreamId) {
        let before = self.router_count();
        self.routers
            .borrow_mut()
            .record_count(routers, now_unix_ms());
        let counted = self.router_count();
        if before != counted {
            info!(self.log, "routers_counted"; "routers" => counted, "before" => before,
                "told" => routers, "told_by" => %reported_by);
        }
    }

    /// Shows where the budgets stand in the metrics.
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

/// Logs the sums of each window until `stop` ends.
pub async fn log_attempts_per_window(router: PlatformRouter, stop: Stop) {
    while !stop.is_ended() {
        sleep_ms(router.settings.retry_bound.window_ms).await;
        let routers = router.router_count();
        for (service, counts, allowance) in router.retries.drain_counts(routers) {
            info!(router.log, "attempts_of_window"; "service" => %service,
                "window_ms" => router.settings.retry_bound.window_ms, "requests" => counts.requests,
                "arrived" => counts.arrived, "unreachable" => counts.unreachable,
                "charged" => counts.charged, "denied" => counts.denied,
                "allowed" => allowance.allowed, "routers" => allowance.routers);
        }
    }
}
