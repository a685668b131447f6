//! Calls that may not be repeated. All who send one key share one run; the run is claimed in the
//! journal before it is handed to the upstream, and goes on when its callers have left. See
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

/// When a caller may ask again for the outcome of a call that still runs.
pub(crate) const RETRY_AFTER_MS: u64 = 1000;

/// The answer of a call, as every caller under its key receives it.
#[derive(Clone, Debug)]
pub struct KeyedResponse {
    /// HTTP status.
    pub status: u32,
    /// Type of the body.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// What a run came to.
pub type KeyedOutcome = Result<KeyedResponse, Refusal>;

/// One run of a call that may not be repeated.
pub struct KeyedRun {
    /// A hash of the request.
    pub fingerprint: u64,
    outcome: RefCell<Option<KeyedOutcome>>,
    completed: Event,
}

impl KeyedRun {
    /// Gives the outcome to all who wait.
    pub fn complete(&self, outcome: KeyedOutcome) {
        *self.outcome.borrow_mut() = Some(outcome);
        self.completed.notify(usize::MAX);
    }

    fn is_complete(&self) -> bool {
        self.outcome.borrow().is_some()
    }

    /// The outcome, once there is one.
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

/// The runs of this agent, until the journal has their outcomes.
#[derive(Default)]
pub struct KeyedRuns {
    by_key: RefCell<HashMap<CallKey, Rc<KeyedRun>>>,
    changed: Event,
}

impl KeyedRuns {
    /// The run of `key`.
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

    /// How many there are.
    pub fn len(&self) -> u32 {
        self.by_key.borrow().len() as u32
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_key.borrow().is_empty()
    }

    /// Forgets the run; whoever sends the key now finds it in the journal.
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

/// Serves one attempt of a call that may not be repeated, and tells the router of each step.
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
    let answer = {
        let work = pin!(join_or_begin(agent, request, id, deadline_unix_ms));
        match select(work, pin!(events.closed())).await {
            Either::Left((answer, _)) => answer?,
            Either::Right(_) => {
                // A run that has started goes on without its caller.
                agent.attempts.settle(id);
                return Ok(());
            }
        }
    };
    let body_bytes = answer.body.len() as u64;
    let steps = [
        Step::Started(Started { cold_start_ms: 0 }),
        Step::Head(Head {
            status: answer.status,
            content_type: answer.content_type,
        }),
        Step::Chunk(answer.body),
        Step::End(End { body_bytes }),
    ];
    for step in steps {
        send_event(agent, request, events, step).await;
    }
    Ok(())
}

/// The answer of the run of the key, which is begun here if there is none.
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
        // What is joined counts as started: "not run" would be read as "the call never ran".
        agent.attempts.try_start(id);
        match wait_for_outcome(&run, deadline_unix_ms).await {
            // The one who began it left before it started.
            Err(refusal) if refusal.reason == RefusalReason::Cancelled => {}
            outcome => return outcome,
        }
    }
    Err(not_started_in_time())
}

/// Begins a run, unless there is no room for it.
fn begin_run(
    agent: &Agent,
    request: &SubmitRequest,
    key: CallKey,
) -> Result<Rc<KeyedRun>, Refusal> {
    refuse_if_leaving(agent)?;
    let run_request = run_request(agent, request, wait_deadline_unix_ms(request));
    agent.queue.check_admission(run_request)?;
    // Runs that wait for the store hold no place in the queue, and are bounded all the same.
    let runs_max = run_request.waiting_max + agent.queue.running_max();
    if agent.keyed_runs.len() >= runs_max {
        let detail = format!("{runs_max} calls under keys are under way already");
        return Err(Refusal::not_run(RefusalReason::Overloaded, detail).retry_after(RETRY_AFTER_MS));
    }
    let run = agent.keyed_runs.begin_run(&key, request.fingerprint);
    let (agent, request, running) = (agent.clone(), request.clone(), run.clone());
    compio::runtime::spawn(async move { execute(&agent, &request, &key, &running).await }).detach();
    Ok(run)
}

/// What a call asks of the queue.
pub(crate) fn run_request<'a>(
    agent: &Agent,
    request: &'a SubmitRequest,
    deadline_unix_ms: u64,
) -> RunRequest<'a> {
    let config = agent.node.config.current();
    let domain = &agent.node.settings.failure_domain;
    let limits = fleet::for_upstream(&config, domain, &agent.settings.upstream, now_unix_ms());
    RunRequest {
        organisation: &request.organisation,
        priority: request.priority,
        deadline_unix_ms,
        waiting_max: limits.queue_max,
    }
}

/// Waits for a run until the deadline.
async fn wait_for_outcome(run: &KeyedRun, deadline_unix_ms: u64) -> KeyedOutcome {
    match before_deadline(deadline_unix_ms, run.outcome()).await {
        Some(outcome) => outcome,
        None => Err(still_running()),
    }
}

/// The refusal of a call that was not started in time.
pub fn not_started_in_time() -> Refusal {
    let detail = "the deadline came before the call was started";
    Refusal::not_run(RefusalReason::DeadlineExceeded, detail)
}

/// The refusal of another request under a key that is known.
pub fn key_reused() -> Refusal {
    let detail = "the key was used for another request";
    Refusal::not_run(RefusalReason::KeyReused, detail)
}

/// The refusal of a call whose outcome nobody will ever know.
pub fn outcome_unknown() -> Refusal {
    let detail = "the call may have run; its answer is lost, and it will not run again";
    Refusal::unknown(RefusalReason::OutcomeUnknown, detail)
}

/// The refusal of a call whose outcome came too late for this caller.
pub fn still_running() -> Refusal {
    let detail = "the call runs still; send its key again for its outcome";
    Refusal::unknown(RefusalReason::DeadlineExceeded, detail).retry_after(RETRY_AFTER_MS)
}
