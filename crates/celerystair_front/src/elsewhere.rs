//! Whether a request whose upstream sends no response, or no next event, moves to another upstream.
//! This module gathers the inputs; `celerystair_policy` decides.

use celerystair_core::prelude::*;
use celerystair_policy::{
    prelude::*,
    stall::{MoveObstacle, should_switch_upstream},
};

use crate::{
    front::PlatformRouter,
    pick::{Pick, pick_upstream},
    request::CallerRequest,
    suspicion::suspicion_refusal,
};

/// How often the decision is repeated while the silence lasts: another upstream gains or loses
/// capacity with each request that starts or ends there.
pub const SILENCE_RECHECK_MS: u64 = 250;

/// Returns whether a request whose upstream is silent should move to another upstream now, of the
/// given software version if there is one. `tried` are the upstreams already attempted, and
/// `reached_upstreams` the number of them that it reached.
pub fn should_leave_silent_upstream(
    router: &PlatformRouter,
    request: &CallerRequest,
    service: &ServiceName,
    version: Option<&SoftwareVersion>,
    tried: &[UpstreamId],
    reached_upstreams: u32,
) -> bool {
    let obstacle = if router.closing.is_draining() {
        Some(MoveObstacle::Stopping)
    } else {
        suspicion_refusal(router, request, now_unix_ms()).map(|_| MoveObstacle::Suspected)
    };
    let inputs = StallInputs {
        obstacle,
        is_repeatable: request.route.is_repeatable(),
        attempts: reached_upstreams,
        attempts_max: request.route.attempts_max,
        has_retry_budget: router.has_retry_budget(service),
        has_ready_alternative: matches!(
            pick_upstream(router, request, service, version, tried, false),
            Pick::Now(_)
        ),
    };
    should_switch_upstream(&inputs)
}
