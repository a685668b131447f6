//! Calls at all routers for as long as a test lasts, while parts of the system fail: every
//! model in turn, and calls that may not be repeated, whose keys come at all routers at once.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_standin::witness::Observations;

use crate::{
    caller::{Call, CallTarget, Caller, Outcome, Received},
    checks::{Violation, check},
    settings::TrialSettings,
    tally::Tally,
};

const KEYED_EVERY: u64 = 4;

/// A call, and what its caller received.
#[derive(Clone, Debug)]
pub struct CompletedCall {
    /// The router that took it.
    pub router: usize,
    /// What was called.
    pub target: CallTarget,
    /// What came back.
    pub received: Received,
}

/// Calls that go on until [`SteadyLoad::end`].
pub struct SteadyLoad {
    shared: Rc<Shared>,
}

struct Shared {
    caller: Caller,
    models: Vec<String>,
    interval_ms: u64,
    timeout_ms: u64,
    /// Where each router takes calls; nothing while the balancer leaves it out.
    routers: RefCell<Vec<Option<SocketAddr>>>,
    completed_calls: RefCell<Vec<CompletedCall>>,
    /// Calls without their answer yet, and routers that are still called.
    running: Cell<usize>,
    is_ended: Cell<bool>,
}

impl SteadyLoad {
    /// Calls each of `routers` every `interval_ms`; callers wait for `timeout_ms`.
    pub fn start(
        settings: &TrialSettings,
        caller: &Caller,
        routers: Vec<Option<SocketAddr>>,
        interval_ms: u64,
        timeout_ms: u64,
    ) -> Self {
        let models = settings.model_objects().into_iter().map(|(name, _)| name);
        let count = routers.len();
        let shared = Rc::new(Shared {
            caller: caller.clone(),
            models: models.collect(),
            interval_ms,
            timeout_ms,
            routers: RefCell::new(routers),
            completed_calls: RefCell::default(),
            running: Cell::new(count),
            is_ended: Cell::new(false),
        });
        for router in 0..count {
            compio::runtime::spawn(call_router(shared.clone(), router)).detach();
        }
        Self { shared }
    }

    /// Sends the calls of a router to this address, or none at all.
    pub fn set_router_address(&self, router: usize, address: Option<SocketAddr>) {
        self.shared.routers.borrow_mut()[router] = address;
    }

    /// What came back so far.
    pub fn completed_calls(&self) -> Vec<CompletedCall> {
        self.shared.completed_calls.borrow().clone()
    }

    /// Makes no more calls, and returns what came back once all callers have their answers.
    pub async fn end(&self) -> Vec<CompletedCall> {
        self.shared.is_ended.set(true);
        while self.shared.running.get() > 0 {
            sleep_ms(self.shared.interval_ms).await;
        }
        self.shared.completed_calls.take()
    }
}

async fn call_router(shared: Rc<Shared>, router: usize) {
    for number in 0.. {
        if shared.is_ended.get() {
            break;
        }
        let address = shared.routers.borrow()[router];
        if let Some(address) = address {
            let target = target(&shared.models, router, number);
            shared.running.set(shared.running.get() + 1);
            compio::runtime::spawn(make_call(shared.clone(), router, address, target)).detach();
        }
        sleep_ms(shared.interval_ms).await;
    }
    shared.running.set(shared.running.get() - 1);
}

async fn make_call(shared: Rc<Shared>, router: usize, address: SocketAddr, target: CallTarget) {
    let call = Call {
        router: address,
        organisation: "office".into(),
        kind: "draft".into(),
        target,
        timeout_ms: shared.timeout_ms,
    };
    let received = shared.caller.call(&call).await;
    shared.completed_calls.borrow_mut().push(CompletedCall {
        router,
        target: call.target,
        received,
    });
    shared.running.set(shared.running.get() - 1);
}

fn target(models: &[String], router: usize, number: u64) -> CallTarget {
    if number % KEYED_EVERY == KEYED_EVERY - 1 {
        return CallTarget::Service {
            method: http::Method::POST,
            path: "/services/ledger/entries".to_owned(),
            key: format!("key-{number}"),
        };
    }
    CallTarget::Completion {
        model: models[number as usize % models.len()].clone(),
        tokens: 8,
        stream: number.is_multiple_of(2),
        marker: format!("r{router}-{number}"),
    }
}

impl CompletedCall {
    /// By what the stand-ins counted it.
    pub fn marker(&self) -> &str {
        match &self.target {
            CallTarget::Completion { marker, .. } => marker,
            CallTarget::Service { key, .. } => key,
        }
    }

    /// The model, if one was called.
    pub fn model(&self) -> Option<&str> {
        match &self.target {
            CallTarget::Completion { model, .. } => Some(model),
            CallTarget::Service { .. } => None,
        }
    }

    fn says_not_run(&self) -> bool {
        let run = RunState::NotRun;
        matches!(&self.received.outcome, Outcome::Refused { run: said, .. } if *said == run)
    }

    fn runs(&self, seen: &Observations) -> u32 {
        let counts = match &self.target {
            CallTarget::Completion { .. } => &seen.completions,
            CallTarget::Service { .. } => &seen.executions,
        };
        counts.get(self.marker()).copied().unwrap_or_default()
    }
}

/// All that did not hold. `decided` replicas of each model may be loaded; calls that
/// `is_excused` were at a router that was killed, and may have got no answer.
pub fn check_completed_calls(
    seen: &Observations,
    served: &[CompletedCall],
    decided: u32,
    is_excused: impl Fn(&CompletedCall) -> bool,
) -> Vec<Violation> {
    let mut tally = Tally::default();
    let mut by_marker: HashMap<&str, Vec<&CompletedCall>> = HashMap::default();
    for call in served {
        if !is_excused(call) {
            tally.add(&call.received);
        }
        by_marker.entry(call.marker()).or_default().push(call);
    }
    let mut violations = check(seen, &tally, |_| decided);
    for (marker, calls) in by_marker {
        let count = calls[0].runs(seen);
        if count > 0 && calls.iter().all(|call| call.says_not_run()) {
            let marker = marker.to_owned();
            violations.push(Violation::RanUnsaid { marker, count });
        }
        let is_answered = |call: &&CompletedCall| call.received.outcome == Outcome::Answered;
        if count == 0 && calls.iter().any(is_answered) {
            let marker = marker.to_owned();
            violations.push(Violation::AnsweredUnrun { marker });
        }
    }
    violations
}
