//! The load of `celerystair try`: a burst of first requests at all routers, then infrequent calls
//! of all kinds with idle periods between them.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use celerystair_core::prelude::*;
use rand::Rng;

use crate::{
    caller::{Call, CallTarget, Caller},
    settings::TrialSettings,
    tally::Tally,
};

/// One call in this many after the burst goes to a plain service.
const SERVICE_SHARE: u32 = 3;

/// A call, and its time in milliseconds from the start.
struct PlannedCall {
    due_ms: u64,
    target: CallTarget,
}

/// Makes all calls, and returns counts of what their callers received. Calls `progress` with the
/// counts so far and the elapsed milliseconds, once per second of real time.
pub async fn run_workload(
    settings: &TrialSettings,
    caller: &Caller,
    routers: &[SocketAddr],
    progress: impl Fn(&Tally, u64),
) -> Tally {
    let start_unix_ms = now_unix_ms();
    let tally = Rc::new(RefCell::new(Tally::default()));
    let mut plan = plan(settings);
    plan.sort_by_key(|planned| planned.due_ms);
    let mut calls = Vec::new();
    let report_interval_ms = 1000 * celerystair_core::time::clock_scale();
    let mut next_report_unix_ms = start_unix_ms + report_interval_ms;
    for (index, planned) in plan.into_iter().enumerate() {
        let due_unix_ms = start_unix_ms + planned.due_ms;
        while next_report_unix_ms < due_unix_ms {
            sleep_until_unix_ms(next_report_unix_ms).await;
            progress(&tally.borrow(), now_unix_ms() - start_unix_ms);
            next_report_unix_ms += report_interval_ms;
        }
        sleep_until_unix_ms(due_unix_ms).await;
        let call = Call {
            router: routers[index % routers.len()],
            organisation: settings.organisation.clone(),
            kind: kind_of(&planned.target),
            target: planned.target,
            timeout_ms: settings.workload.timeout_ms,
        };
        let (caller, tally) = (caller.clone(), tally.clone());
        calls.push(compio::runtime::spawn(async move {
            let received = caller.call(&call).await;
            tally.borrow_mut().add(&received);
        }));
    }
    for call in calls {
        call.await.ok();
    }
    let tally = tally.borrow();
    tally.clone()
}

fn kind_of(target: &CallTarget) -> KindName {
    match target {
        CallTarget::Completion { .. } => "draft".into(),
        CallTarget::Service { method, .. } if *method == http::Method::GET => "status".into(),
        CallTarget::Service { .. } => "record".into(),
    }
}

fn plan(settings: &TrialSettings) -> Vec<PlannedCall> {
    let mut random = rand::rng();
    let workload = &settings.workload;
    let mut names = Vec::new();
    for (model, object) in settings.model_objects() {
        let half = object.adapters.len() / 2;
        names.extend(
            object
                .adapters
                .iter()
                .take(half)
                .map(|adapter| format!("{model}:{adapter}")),
        );
        names.push(model);
    }
    let mut plan: Vec<PlannedCall> = names
        .iter()
        .enumerate()
        .map(|(index, model)| PlannedCall {
            due_ms: random.random_range(0..=workload.burst_ms),
            target: completion(settings, model, format!("b{index}"), index % 2 == 0),
        })
        .collect();
    let mean_interval_ms = 1000.0 / workload.calls_per_second;
    let mut due_ms = workload.burst_ms as f64;
    for index in 0.. {
        due_ms += -mean_interval_ms * (1.0 - random.random::<f64>()).ln();
        if due_ms as u64 > workload.length_ms {
            break;
        }
        let target = if index % SERVICE_SHARE == 0 && !settings.services.is_empty() {
            service_call(settings, index)
        } else {
            let model = &names[random.random_range(0..names.len())];
            completion(settings, model, format!("c{index}"), index % 2 == 0)
        };
        plan.push(PlannedCall {
            due_ms: due_ms as u64,
            target,
        });
    }
    plan
}

fn completion(settings: &TrialSettings, model: &str, marker: String, stream: bool) -> CallTarget {
    CallTarget::Completion {
        model: model.to_owned(),
        tokens: settings.workload.tokens,
        stream,
        marker,
    }
}

fn service_call(settings: &TrialSettings, index: u32) -> CallTarget {
    let service = &settings.services[index as usize % settings.services.len()].name;
    if index.is_multiple_of(2) {
        let path = format!("/services/{service}/entries");
        CallTarget::Service {
            method: http::Method::POST,
            path,
            key: format!("key-{index}"),
        }
    } else {
        let path = format!("/services/{service}/status/{index}");
        CallTarget::Service {
            method: http::Method::GET,
            path,
            key: String::new(),
        }
    }
}
