//! Whether a request that its upstream leaves without an answer, or without the next event, goes on
//! at another one: it gathers what is known, and leaves the decision to `celerystair_policy`.

use celerystair_core::prelude::*;
use celerystair_policy::{prelude::*, stall::should_switch_upstream};

use crate::{
    front::PlatformRouter,
    pick::{Pick, pick_upstream},
    request::CallerRequest,
};

/// How often it is asked again while the silence lasts: room at another upstream comes and goes
/// with each answer that ends there.
pub const SILENCE_RECHECK_MS: u64 = 250;

/// Whether the silent request goes elsewhere now. It was sent to the upstreams in `tried`, of which
/// it has reached `sent`.
pub fn should_leave_silent_upstream(
    router: &PlatformRouter,
    request: &CallerRequest,
    service: &ServiceName,
    tried: &[UpstreamId],
    reached_upstreams: u32,
) -> bool {
    let inputs = StallInputs {
        is_repeatable: request.route.is_repeatable(),
        attempts: reached_upstreams,
        attempts_max: request.route.attempts_max,
        has_retry_budget: router.has_retry_budget(service),
        has_ready_alternative: matches!(
            pick_upstream(router, request, service, tried),
            Pick::Now(_)
        ),
    };
    should_switch_upstream(&inputs)
}
