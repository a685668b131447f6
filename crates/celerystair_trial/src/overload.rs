//! Open-loop load beyond the capacity of the upstreams, and the resulting goodput, weighted by
//! kind.

use std::rc::Rc;

use celerystair_core::prelude::*;
use futures_util::future::join_all;
use serde::Deserialize;

use crate::{
    caller::{Call, CallTarget, Caller, Outcome, Received},
    faults::FaultFleet,
};

/// Share and weight of the calls of one organisation and kind.
#[derive(Clone, Debug, Deserialize)]
pub struct LoadKind {
    /// Organisation of the caller.
    pub organisation: OrganisationName,
    /// Kind of the calls.
    pub kind: KindName,
    /// Weight of an answer in time.
    pub weight: u32,
    /// Percentage of all calls.
    pub percent: u32,
}

/// Outcome of one load.
#[derive(Clone, Debug, Default)]
pub struct Goodput {
    /// Sum of the weights of all calls made.
    pub offered: u64,
    /// Sum of the weights of the calls that were answered in time.
    pub answered: u64,
    /// Calls made and calls answered in time, by organisation and kind.
    pub by_kind: HashMap<String, (u64, u64)>,
    /// Time from each refused call to its refusal.
    pub refused_ms: Vec<u64>,
    /// Refusals by reason.
    pub refused: HashMap<&'static str, u64>,
}

/// Makes calls at `calls_per_second` for `length_ms`, in turn at each of the first `routers`
/// routers, and waits until all have ended.
pub async fn run_load(
    fleet: &FaultFleet,
    routers: usize,
    kinds: &[LoadKind],
    calls_per_second: f64,
    length_ms: u64,
    timeout_ms: u64,
) -> Result<Goodput, cyper::Error> {
    let caller = Caller::new()?;
    let total = (calls_per_second * length_ms as f64 / 1000.0) as u64;
    let start_unix_ms = now_unix_ms();
    let mut calls = Vec::new();
    for number in 0..total {
        let due_ms = (number as f64 / calls_per_second * 1000.0) as u64;
        sleep_until(start_unix_ms + due_ms).await;
        let kind = Rc::new(choose_kind(kinds).clone());
        let call = Call {
            router: fleet.router_address(number as usize % routers),
            organisation: kind.organisation.clone(),
            kind: kind.kind.clone(),
            target: CallTarget::Service {
                method: http::Method::GET,
                path: "/services/ledger/status".to_owned(),
                key: String::new(),
            },
            timeout_ms,
        };
        let caller = caller.clone();
        let task = compio::runtime::spawn(async move { caller.call(&call).await });
        calls.push(async move { (kind, task.await) });
    }
    let mut goodput = Goodput::default();
    for (kind, received) in join_all(calls).await {
        if let Ok(received) = received {
            add_call(&mut goodput, &kind, &received);
        }
    }
    Ok(goodput)
}

async fn sleep_until(due_unix_ms: u64) {
    let now = now_unix_ms();
    if now < due_unix_ms {
        sleep_ms(due_unix_ms - now).await;
    }
}

fn choose_kind(kinds: &[LoadKind]) -> &LoadKind {
    let mut remaining_percent =
        rand::random_range(0..kinds.iter().map(|kind| kind.percent).sum::<u32>());
    for kind in kinds {
        if remaining_percent < kind.percent {
            return kind;
        }
        remaining_percent -= kind.percent;
    }
    &kinds[0]
}

fn add_call(goodput: &mut Goodput, kind: &LoadKind, received: &Received) {
    let weight = u64::from(kind.weight);
    let name = format!("{} {}", kind.organisation, kind.kind);
    let by_kind = goodput.by_kind.entry(name).or_default();
    goodput.offered += weight;
    by_kind.0 += 1;
    match &received.outcome {
        Outcome::Answered if received.ended_unix_ms <= received.deadline_unix_ms => {
            goodput.answered += weight;
            by_kind.1 += 1;
        }
        Outcome::Refused { reason, .. } => {
            let waited_ms = received.ended_unix_ms - received.called_unix_ms;
            goodput.refused_ms.push(waited_ms);
            *goodput.refused.entry(reason.as_str()).or_default() += 1;
        }
        _ => {}
    }
}
