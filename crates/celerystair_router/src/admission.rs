//! Which requests are taken on when there are more than the upstreams can serve: shed by the
//! weight of their kind, then fairly between organisations, before anything is queued. See
//! `docs/OVERLOAD.md`.

use std::{cell::RefCell, rc::Rc};

use celerystair_core::{prelude::*, time::remaining_ms};

use crate::{caller_request::CallerRequest, router::Router};

/// Share of its time that a request of the least weight may be expected to wait.
const LEAST_SHARE: f64 = 0.25;
/// Share of its time that a request of the greatest weight may be expected to wait.
const GREATEST_SHARE: f64 = 0.8;

/// The requests that a router has now.
#[derive(Default)]
pub struct Admission {
    by_organisation: RefCell<HashMap<OrganisationName, u32>>,
    by_weight: RefCell<HashMap<u32, u32>>,
}

/// A request that was taken on; it is counted until this is dropped.
pub struct Admitted {
    router: Router,
    organisation: OrganisationName,
    weight: u32,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let admission = &self.router.admission;
        count_down(
            &mut admission.by_organisation.borrow_mut(),
            &self.organisation,
        );
        count_down(&mut admission.by_weight.borrow_mut(), &self.weight);
    }
}

fn count_down<K: Eq + std::hash::Hash>(counts: &mut HashMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

/// Takes the request on, or sheds it.
///
/// # Errors
/// [`RefusalReason::OrganisationLimit`] or [`RefusalReason::Overloaded`], not run, at once.
pub fn admit(router: &Router, request: &CallerRequest) -> Result<Rc<Admitted>, Refusal> {
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
        let detail = format!("the organisation has {organisation_requests} requests here");
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
    Ok(Rc::new(Admitted {
        router: router.clone(),
        organisation: request.organisation.clone(),
        weight: request.weight,
    }))
}

/// Sheds an admitted request whose expected wait is too long for its weight and its organisation.
///
/// # Errors
/// [`RefusalReason::Overloaded`], not run, with the time after which the wait is short enough.
pub fn check_wait(
    router: &Router,
    request: &CallerRequest,
    expected_wait_ms: u64,
) -> Result<(), Refusal> {
    if !router.node.config.current().defaults.shedding {
        return Ok(());
    }
    let own_part = own_part(&router.admission, &request.organisation);
    let expected_wait_ms = (expected_wait_ms as f64 * own_part) as u64;
    let left_ms = remaining_ms(request.deadline_unix_ms);
    let wait_max_ms = (left_ms as f64 * share(&router.admission, request)) as u64;
    if expected_wait_ms <= wait_max_ms {
        return Ok(());
    }
    let detail = format!("the expected wait is {expected_wait_ms} ms, past {wait_max_ms} ms");
    let refusal = Refusal::not_run(RefusalReason::Overloaded, detail);
    Err(refusal.retry_after(expected_wait_ms - wait_max_ms))
}

/// The share of its time that the request may be expected to wait.
fn share(admission: &Admission, request: &CallerRequest) -> f64 {
    let weights = admission.by_weight.borrow();
    let greatest = weights.keys().max().copied().unwrap_or(request.weight);
    let relative = f64::from(request.weight) / f64::from(greatest.max(1));
    LEAST_SHARE + (GREATEST_SHARE - LEAST_SHARE) * relative
}

/// How much of the wait that agents report is the organisation's own. An agent's queue puts an
/// organisation that sends many behind itself, so that one with a small part of the requests
/// waits for little more than its own. An organisation's only request here waits for none of its
/// own: the agent, which sees all routers' requests, decides on it.
fn own_part(admission: &Admission, organisation: &OrganisationName) -> f64 {
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
