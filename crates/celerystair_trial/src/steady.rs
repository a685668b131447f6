//! A steady load on all routers for as long as a test lasts, while parts of the system fail. It
//! calls each model in turn. Among those it makes calls that must not be repeated, and sends each
//! of their idempotency keys to all routers at the same time.

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

/// One call in this many is a keyed call to a plain service.
const KEYED_CALL_INTERVAL: u64 = 4;

/// A call that has ended, with what its caller received.
#[derive(Clone, Debug)]
pub struct CompletedCall {
    /// Index of the router to which it was sent.
    pub router: usize,
    /// What was called.
    pub target: CallTarget,
    /// What the caller received.
    pub received: Received,
}

/// A load that runs until [`SteadyLoad::end`].
pub struct SteadyLoad {
    shared: Rc<Shared>,
}

struct Shared {
    caller: Caller,
    models: Vec<String>,
    interval_ms: u64,
    timeout_ms: u64,
    /// Address of each router; `None` while the load balancer sends it no calls.
    routers: RefCell<Vec<Option<SocketAddr>>>,
    completed_calls: RefCell<Vec<CompletedCall>>,
    /// Number of calls in flight plus number of tasks that still make calls.
    running: Cell<usize>,
    is_ended: Cell<bool>,
}

impl SteadyLoad {
    /// Starts to call each of `routers` every `interval_ms`, with a request timeout of
    /// `timeout_ms`.
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

    /// Sends the calls of a router to `address` from now on; with `None`, makes no calls there.
    pub fn set_router_address(&self, router: usize, address: Option<SocketAddr>) {
        self.shared.routers.borrow_mut()[router] = address;
    }

    /// Returns the calls that have ended so far.
    pub fn completed_calls(&self) -> Vec<CompletedCall> {
        self.shared.completed_calls.borrow().clone()
    }

    /// Stops making calls, waits until those in flight have ended, and returns all of them.
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
    if number % KEYED_CALL_INTERVAL == KEYED_CALL_INTERVAL - 1 {
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
    /// Returns the prompt marker or idempotency key by which the stand-ins count its executions.
    pub fn marker(&self) -> &str {
        match &self.target {
            CallTarget::Completion { marker, .. } => marker,
            CallTarget::Service { key, .. } => key,
        }
    }

    /// Returns the model that was called, or `None` for a plain service.
    pub fn model(&self) -> Option<&str> {
        match &self.target {
            CallTarget::Completion { model, .. } => Some(model),
            CallTarget::Service { .. } => None,
        }
    }

    fn is_refused_as_not_run(&self) -> bool {
        let run = RunState::NotRun;
        matches!(&self.received.outcome, Outcome::Refused { run: reported, .. } if *reported == run)
    }

    fn execution_count(&self, observations: &Observations) -> u32 {
        let counts = match &self.target {
            CallTarget::Completion { .. } => &observations.completions,
            CallTarget::Service { .. } => &observations.executions,
        };
        counts.get(self.marker()).copied().unwrap_or_default()
    }
}

/// Returns all violated invariants. At most `max_replicas` replicas of each model may be loaded.
/// Calls for which `is_excused` returns true went to a router that was killed; their callers may
/// have received no response.
pub fn check_completed_calls(
    observations: &Observations,
    calls: &[CompletedCall],
    max_replicas: u32,
    is_excused: impl Fn(&CompletedCall) -> bool,
) -> Vec<Violation> {
    let mut tally = Tally::default();
    let mut by_marker: HashMap<&str, Vec<&CompletedCall>> = HashMap::default();
    for call in calls {
        if !is_excused(call) {
            tally.add(&call.received);
        }
        by_marker.entry(call.marker()).or_default().push(call);
    }
    let mut violations = check(observations, &tally, |_| max_replicas);
    for (marker, calls) in by_marker {
        let count = calls[0].execution_count(observations);
        if count > 0 && calls.iter().all(|call| call.is_refused_as_not_run()) {
            let marker = marker.to_owned();
            violations.push(Violation::RanButReportedNotRun { marker, count });
        }
        let is_answered = |call: &&CompletedCall| call.received.outcome == Outcome::Answered;
        if count == 0 && calls.iter().any(is_answered) {
            let marker = marker.to_owned();
            violations.push(Violation::AnsweredButNeverRan { marker });
        }
    }
    violations
}
