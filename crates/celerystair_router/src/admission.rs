//! Admission control and load shedding, before a request is queued at an upstream: by the weight of
//! the request's kind, then fairly between organisations. See `docs/OVERLOAD.md`.

use std::{cell::RefCell, rc::Rc};

use celerystair_core::{prelude::*, time::remaining_ms};

use crate::{caller_request::CallerRequest, router::Router};

/// Share of its remaining time that a request of weight 0 may spend waiting.
const WAIT_SHARE_MIN: f64 = 0.25;
/// Share of its remaining time that a request of the greatest weight in the router may spend
/// waiting.
const WAIT_SHARE_MAX: f64 = 0.8;

/// Counts of the admitted requests in a router.
#[derive(Default)]
pub struct Admission {
    by_organisation: RefCell<HashMap<OrganisationName, u32>>,
    by_weight: RefCell<HashMap<u32, u32>>,
}

/// Counts an admitted request until it is dropped.
pub struct AdmissionGuard {
    router: Router,
    organisation: OrganisationName,
    weight: u32,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let admission = &self.router.admission;
        decrement(
            &mut admission.by_organisation.borrow_mut(),
            &self.organisation,
        );
        decrement(&mut admission.by_weight.borrow_mut(), &self.weight);
    }
}

fn decrement<K: Eq + std::hash::Hash>(counts: &mut HashMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

/// Admits the request, or refuses it if its organisation is at its limit.
///
/// # Errors
/// [`RefusalReason::OrganisationLimit`], not run.
pub fn admit(router: &Router, request: &CallerRequest) -> Result<Rc<AdmissionGuard>, Refusal> {
    let admission = &router.admission;
    let organisation_requests = admission
        .by_organisation
        .borrow()
        .get(&request.organisation)
        .copied();
    let organisation_requests = organisation_requests.unwrap_or_default();
    if request.organisation_requests_max > 0
        && organisation_requests >= request.organisation_requests_max
    {
        let detail =
            format!("the organisation already has {organisation_requests} requests in this router");
        return Err(Refusal::not_run(RefusalReason::OrganisationLimit, detail));
    }
    let organisation = request.organisation.clone();
    *admission
        .by_organisation
        .borrow_mut()
        .entry(organisation)
        .or_default() += 1;
    let mut by_weight = admission.by_weight.borrow_mut();
    *by_weight.entry(request.weight).or_default() += 1;
    Ok(Rc::new(AdmissionGuard {
        router: router.clone(),
        organisation: request.organisation.clone(),
        weight: request.weight,
    }))
}

/// Sheds an admitted request if its expected wait is too long for its weight and its organisation.
///
/// # Errors
/// [`RefusalReason::Overloaded`], not run, with the delay after which the wait is short enough.
pub fn check_expected_wait(
    router: &Router,
    request: &CallerRequest,
    expected_wait_ms: u64,
) -> Result<(), Refusal> {
    if !router.node.config.current().defaults.shedding {
        return Ok(());
    }
    let own_share = own_queue_share(&router.admission, &request.organisation);
    let expected_wait_ms = (expected_wait_ms as f64 * own_share) as u64;
    let left_ms = remaining_ms(request.deadline_unix_ms);
    let wait_max_ms = (left_ms as f64 * wait_share(&router.admission, request)) as u64;
    if expected_wait_ms <= wait_max_ms {
        return Ok(());
    }
    let detail = format!("the expected wait of {expected_wait_ms} ms exceeds {wait_max_ms} ms");
    let refusal = Refusal::not_run(RefusalReason::Overloaded, detail);
    Err(refusal.retry_after(expected_wait_ms - wait_max_ms))
}

/// Returns the share of its remaining time that the request may spend waiting.
fn wait_share(admission: &Admission, request: &CallerRequest) -> f64 {
    let weights = admission.by_weight.borrow();
    let max_weight = weights.keys().max().copied().unwrap_or(request.weight);
    let relative = f64::from(request.weight) / f64::from(max_weight.max(1));
    WAIT_SHARE_MIN + (WAIT_SHARE_MAX - WAIT_SHARE_MIN) * relative
}

/// Returns the share of an agent's reported queue delay that applies to the organisation. The
/// agent's queue is fair between organisations, so an organisation with few requests waits for
/// little more than its own. For its only request in this router the share is 0: the agent, which
/// sees the requests of all routers, decides about that one.
fn own_queue_share(admission: &Admission, organisation: &OrganisationName) -> f64 {
    let by_organisation = admission.by_organisation.borrow();
    let total: u32 = by_organisation.values().sum();
    match by_organisation
        .get(organisation)
        .copied()
        .unwrap_or_default()
    {
        0 | 1 => 0.0,
        _ if by_organisation.len() == 1 => 1.0,
        own => (f64::from(own - 1) * by_organisation.len() as f64 / f64::from(total)).min(1.0),
    }
}
