//! What must hold, by what callers were told and what upstreams saw.

use std::collections::BTreeMap;

use crate::{
    callers::{Kind, Outcome, Told},
    fleet::Fleet,
    plan::Plan,
    retries,
    support::upstream::AcceptedOrder,
};

/// Upstreams that may run one request.
const ATTEMPTS_MAX: u32 = 2;
/// A connection that ends sooner after the request was sent has crossed it.
const LOSS_SLACK_MS: u64 = 200;
/// Accelerator memory of an engine of the tests' configuration, in models: two fit.
const MODELS_MAX: usize = 2;
/// Places for adapters there.
const ADAPTERS_MAX: usize = 2;

/// What did not hold.
pub fn check(fleet: &Fleet, plan: &Plan, told: &[Told]) -> Vec<String> {
    let runs = fleet.runs_by_id();
    let mut broken = Vec::new();
    for told in told {
        let ran = runs.get(&told.id).copied().unwrap_or_default();
        broken.extend(check_request(plan, told, ran));
    }
    broken.extend(check_unasked(&runs, told));
    broken.extend(check_versions(fleet));
    broken.extend(retries::check(fleet, told));
    broken.extend(fleet.orders().into_iter().flat_map(check_orders));
    broken
}

/// No connection ended with a request on it, also not one that crossed its end.
pub fn check_none_lost(told: &[Told]) -> Vec<String> {
    let lost = told
        .iter()
        .filter(|told| matches!(told.outcome, Outcome::Lost(_) | Outcome::Cut));
    lost.map(|told| format!("{told:?}: lost")).collect()
}

fn check_request(plan: &Plan, told: &Told, ran: u32) -> Option<String> {
    let Told {
        id, kind, outcome, ..
    } = told;
    let runs_max = if kind.is_repeatable() {
        ATTEMPTS_MAX
    } else {
        1
    };
    if ran > runs_max {
        return Some(format!("{id} ({kind:?}) ran {ran} times: {outcome:?}"));
    }
    match outcome {
        Outcome::Wrong(what) => Some(what.clone()),
        Outcome::NotRun if ran > 0 && !kind.is_repeatable() => {
            Some(format!("{id} ({kind:?}) was refused as not run and ran"))
        }
        Outcome::Answered if ran == 0 => Some(format!("{id} was answered and never ran")),
        Outcome::Cut | Outcome::Failed(_) if plan.is_planned => {
            Some(format!("{told:?}: cut off by planned work"))
        }
        // One that crosses the router's close is not read, and has not run.
        Outcome::Lost(after_ms) if plan.is_planned && (ran > 0 || *after_ms > LOSS_SLACK_MS) => {
            Some(format!("{told:?}: lost by planned work; ran {ran} times"))
        }
        _ => None,
    }
}

/// No upstream runs what no caller has sent.
fn check_unasked(runs: &BTreeMap<String, u32>, told: &[Told]) -> Vec<String> {
    let known: std::collections::HashSet<&str> = told.iter().map(|told| told.id.as_str()).collect();
    let is_probe = |id: &str| id.starts_with("probe-");
    let unasked = runs
        .keys()
        .filter(|id| !known.contains(id.as_str()) && !is_probe(id));
    unasked
        .map(|id| format!("{id} ran and was not sent"))
        .collect()
}

/// A stream goes on at one software version, at which it has run before.
fn check_versions(fleet: &Fleet) -> Vec<String> {
    let versions = fleet.versions_by_id().into_iter();
    let mixed = versions.filter(|(_, [began, went_on])| {
        went_on.len() > 1 || !went_on.iter().all(|version| began.contains(version))
    });
    mixed
        .map(|(id, [began, went_on])| format!("{id} began at {began:?} and went on at {went_on:?}"))
        .collect()
}

/// Replays an engine's orders: fences never fall, and what is loaded always fits.
fn check_orders(orders: Vec<AcceptedOrder>) -> Vec<String> {
    let mut broken = Vec::new();
    let (mut fence, mut holder) = (0, String::new());
    for order in orders {
        if order.fence < fence {
            broken.push(format!("a lower fence after {fence}: {order:?}"));
        }
        if !holder.is_empty() && order.holder != holder {
            broken.push(format!("another holder than {holder}: {order:?}"));
        }
        if order.models_after > MODELS_MAX || order.adapters_after > ADAPTERS_MAX {
            broken.push(format!("more than the engine holds: {order:?}"));
        }
        fence = order.fence;
        holder.clone_from(&order.holder);
    }
    broken
}

/// Kinds that every router must serve once all is mended.
pub const KINDS: [Kind; 4] = [Kind::Read, Kind::Write, Kind::Stream, Kind::ResumedStream];
