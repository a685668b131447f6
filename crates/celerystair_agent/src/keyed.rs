//! Calls that must not be repeated, identified by an idempotency key.
//!
//! All requests with the same key share one run. The run is claimed in the journal before it is
//! sent to the upstream, and goes on when its callers have disconnected. See
//! `docs/AT_MOST_ONCE.md`.

use std::{cell::RefCell, pin::pin, rc::Rc};

use bytes::Bytes;
use celerystair_config::fleet;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_journal::prelude::*;
use celerystair_protocol::{
    End, Head, Queued, Started, SubmitRequest, submit_event::Event as Step,
};
use event_listener::Event;
use futures_util::future::{Either, select};

use crate::{
    agent::Agent,
    answer::{EventSender, refuse_if_leaving, send_event, wait_deadline_unix_ms},
    attempts::AttemptPhase,
    keyed_run::execute,
    queue::RunRequest,
};

/// How long a caller waits before it retries for the outcome of a running call.
pub(crate) const RETRY_AFTER_MS: u64 = 1000;

/// The response to a call, as every caller with its key receives it.
#[derive(Clone, Debug)]
pub struct KeyedResponse {
    /// HTTP status.
    pub status: u32,
    /// Value of the `content-type` header; empty if absent.
    pub content_type: String,
    /// The whole body.
    pub body: Bytes,
}

/// The outcome of a run.
pub type KeyedOutcome = Result<KeyedResponse, Refusal>;

/// One run of a call that must not be repeated.
pub struct KeyedRun {
    /// Fingerprint of the request, to detect another request under the same key.
    pub fingerprint: u64,
    outcome: RefCell<Option<KeyedOutcome>>,
    completed: Event,
}

impl KeyedRun {
    /// Sets the outcome and wakes all callers that wait for it.
    pub fn complete(&self, outcome: KeyedOutcome) {
        *self.outcome.borrow_mut() = Some(outcome);
        self.completed.notify(usize::MAX);
    }

    fn is_complete(&self) -> bool {
        self.outcome.borrow().is_some()
    }

    /// Waits for the outcome.
    async fn outcome(&self) -> KeyedOutcome {
        loop {
            let completed = self.completed.listen();
            if let Some(outcome) = &*self.outcome.borrow() {
                return outcome.clone();
            }
            completed.await;
        }
    }
}

/// The runs of this agent. Each is kept until its outcome is in the journal.
#[derive(Default)]
pub struct KeyedRuns {
    by_key: RefCell<HashMap<CallKey, Rc<KeyedRun>>>,
    changed: Event,
}

impl KeyedRuns {
    /// Returns the run of `key`.
    pub fn get(&self, key: &CallKey) -> Option<Rc<KeyedRun>> {
        self.by_key.borrow().get(key).cloned()
    }

    fn begin_run(&self, key: &CallKey, fingerprint: u64) -> Rc<KeyedRun> {
        let run = Rc::new(KeyedRun {
            fingerprint,
            outcome: RefCell::default(),
            completed: Event::new(),
        });
        self.by_key.borrow_mut().insert(key.clone(), run.clone());
        run
    }

    /// Returns how many runs there are.
    pub fn len(&self) -> u32 {
        self.by_key.borrow().len() as u32
    }

    /// Returns whether there is no run.
    pub fn is_empty(&self) -> bool {
        self.by_key.borrow().is_empty()
    }

    /// Removes the run. Later requests with the key consult the journal.
    pub fn remove(&self, key: &CallKey) {
        self.by_key.borrow_mut().remove(key);
        self.changed.notify(usize::MAX);
    }

    /// Returns once no run is left.
    pub async fn wait_until_empty(&self) {
        loop {
            let changed = self.changed.listen();
            if self.is_empty() {
                return;
            }
            changed.await;
        }
    }
}

/// Serves one attempt of a call that must not be repeated, and sends its events to the router.
///
/// # Errors
/// A refusal, `not_run` only if this call has not run and never will.
pub async fn serve_keyed(
    agent: &Agent,
    request: &SubmitRequest,
    id: &AttemptId,
    events: &EventSender,
) -> Result<(), Refusal> {
    let deadline_unix_ms = wait_deadline_unix_ms(request);
    let queued = Queued {
        expected_start_unix_ms: now_unix_ms(),
    };
    send_event(agent, request, events, Step::Queued(queued)).await;
    let response = {
        let work = pin!(join_or_begin(agent, request, id, deadline_unix_ms));
        match select(work, pin!(events.closed())).await {
            Either::Left((response, _)) => response?,
            Either::Right(_) => {
                // A run that has started goes on without its caller.
                agent.attempts.settle(id);
                return Ok(());
            }
        }
    };
    let body_bytes = response.body.len() as u64;
    let steps = [
        Step::Started(Started { cold_start_ms: 0 }),
        Step::Head(Head {
            status: response.status,
            content_type: response.content_type,
        }),
        Step::Chunk(response.body),
        Step::End(End { body_bytes }),
    ];
    for step in steps {
        send_event(agent, request, events, step).await;
    }
    Ok(())
}

/// Joins the run of the request's key, or begins one, and waits for its outcome.
async fn join_or_begin(
    agent: &Agent,
    request: &SubmitRequest,
    id: &AttemptId,
    deadline_unix_ms: u64,
) -> KeyedOutcome {
    let key = CallKey {
        organisation: request.organisation.as_str().into(),
        key: request.idempotency_key.clone(),
    };
    while now_unix_ms() < deadline_unix_ms {
        let Some(run) = agent.keyed_runs.get(&key) else {
            let run = begin_run(agent, request, key)?;
            let outcome = wait_for_outcome(&run, deadline_unix_ms).await;
            let gave_up = outcome.is_err() && !run.is_complete();
            return if gave_up && agent.attempts.settle(id) == AttemptPhase::NotRun {
                Err(not_started_in_time())
            } else {
                outcome
            };
        };
        if run.fingerprint != request.fingerprint {
            return Err(key_reused());
        }
        // An attempt that joins a run counts as started: a router would take "not run" to mean that
        // the call never ran.
        agent.attempts.try_start(id);
        match wait_for_outcome(&run, deadline_unix_ms).await {
            // The caller that began the run disconnected before it started; begin a new one.
            Err(refusal) if refusal.reason == RefusalReason::Cancelled => {}
            outcome => return outcome,
        }
    }
    Err(not_started_in_time())
}

/// Begins a run, unless the agent is draining or overloaded.
fn begin_run(
    agent: &Agent,
    request: &SubmitRequest,
    key: CallKey,
) -> Result<Rc<KeyedRun>, Refusal> {
    refuse_if_leaving(agent)?;
    let run_request = run_request(agent, request, wait_deadline_unix_ms(request));
    agent.queue.check_admission(run_request)?;
    // Runs that wait for the store are not in the queue yet, so they are bounded here.
    let runs_max = run_request.waiting_max + agent.queue.running_max();
    if agent.keyed_runs.len() >= runs_max {
        let detail = format!("{runs_max} calls with idempotency keys are in progress already");
        return Err(Refusal::not_run(RefusalReason::Overloaded, detail).retry_after(RETRY_AFTER_MS));
    }
    let run = agent.keyed_runs.begin_run(&key, request.fingerprint);
    let (agent, request, running) = (agent.clone(), request.clone(), run.clone());
    compio::runtime::spawn(async move { execute(&agent, &request, &key, &running).await }).detach();
    Ok(run)
}

/// Creates the request for a run permit, with the queue limit that is configured for the upstream.
pub(crate) fn run_request<'a>(
    agent: &Agent,
    request: &'a SubmitRequest,
    deadline_unix_ms: u64,
) -> RunRequest<'a> {
    let config = agent.node.config.current();
    let domain = &agent.node.settings.failure_domain;
    let limits =
        fleet::values_for_upstream(&config, domain, &agent.settings.upstream, now_unix_ms());
    RunRequest {
        organisation: &request.organisation,
        priority: request.priority,
        deadline_unix_ms,
        waiting_max: limits.queue_max,
    }
}

/// Waits for the outcome of a run until the deadline.
async fn wait_for_outcome(run: &KeyedRun, deadline_unix_ms: u64) -> KeyedOutcome {
    match before_deadline(deadline_unix_ms, run.outcome()).await {
        Some(outcome) => outcome,
        None => Err(still_running()),
    }
}

/// Creates the refusal of a call that was not started before its deadline.
pub fn not_started_in_time() -> Refusal {
    let detail = "the deadline passed before the call was started";
    Refusal::not_run(RefusalReason::DeadlineExceeded, detail)
}

/// Creates the refusal of a request whose key belongs to another request.
pub fn key_reused() -> Refusal {
    let detail = "the idempotency key was used for another request";
    Refusal::not_run(RefusalReason::KeyReused, detail)
}

/// Creates the refusal of a call whose outcome is lost.
pub fn outcome_unknown() -> Refusal {
    let detail = "the call may have run; its response is lost, and it will not run again";
    Refusal::unknown(RefusalReason::OutcomeUnknown, detail)
}

/// Creates the refusal of a call that still runs at this caller's deadline.
pub fn still_running() -> Refusal {
    let detail = "the call is still running; retry with the same idempotency key for its outcome";
    Refusal::unknown(RefusalReason::DeadlineExceeded, detail).retry_after(RETRY_AFTER_MS)
}
