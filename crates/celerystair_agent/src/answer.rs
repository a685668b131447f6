//! Serves one attempt: it waits for a replica and a permit, is sent to the upstream, and its
//! response is streamed to the router, chunk by chunk.

use std::pin::pin;

use celerystair_core::{prelude::*, time::now_unix_us};
use celerystair_net::events::EventScanner;
use celerystair_protocol::{
    End, Head, Queued, Refused, Started, SubmitEvent, SubmitRequest, submit_event::Event as Step,
};
use celerystair_telemetry::prelude::*;
use futures_util::{
    StreamExt,
    future::{Either, select},
};
use tonic::Status;

use crate::{
    adapters::ensure_adapter_loaded,
    agent::Agent,
    attempts::AttemptPhase,
    crashes,
    keyed::{run_request, serve_keyed},
    news::news,
    queue::{ExclusivePermit, RunPermit},
    replicas::{ReplicaGuard, acquire_replica},
    upstream::{UpstreamError, call_upstream},
};

/// Sends the events of an attempt to its router; closed once the router has disconnected.
pub type EventSender = async_channel::Sender<Result<SubmitEvent, Status>>;

/// Time reserved before the deadline, so that a refusal still reaches the router in time.
pub(crate) const REFUSAL_MARGIN_MS: u64 = 50;

/// Returns until when an attempt may wait, so that its refusal arrives before the deadline.
pub(crate) fn wait_deadline_unix_ms(request: &SubmitRequest) -> u64 {
    request.deadline_unix_ms.saturating_sub(REFUSAL_MARGIN_MS)
}

/// Creates the refusal of an attempt that has a tombstone, or whose router has disconnected.
pub(crate) fn cancelled_by_router() -> Refusal {
    Refusal::not_run(RefusalReason::Cancelled, "the router cancelled the attempt")
}

/// Refuses new work while the agent is draining.
///
/// # Errors
/// The refusal.
pub(crate) fn refuse_if_leaving(agent: &Agent) -> Result<(), Refusal> {
    if agent.node.stop.is_draining() {
        let detail = "the agent is draining";
        return Err(Refusal::not_run(RefusalReason::Leaving, detail));
    }
    Ok(())
}

/// The permit and the replica that an attempt holds while it runs.
struct AttemptResources {
    cold_start_ms: u64,
    _permit: Permit,
    _replica: Option<ReplicaGuard>,
}

/// A permit of the admission queue, shared or exclusive.
enum Permit {
    Exclusive(#[expect(dead_code, reason = "held until the attempt ends")] ExclusivePermit),
    Shared(#[expect(dead_code, reason = "held until the attempt ends")] RunPermit),
}

/// Runs one attempt and sends its events to the router.
pub async fn serve_attempt(agent: &Agent, request: &SubmitRequest, events: &EventSender) {
    let id = AttemptId::from(request.attempt_id.as_str());
    if request.agent_life != agent.incarnation {
        let detail = "the request is for an earlier incarnation of the agent";
        send_refusal(
            agent,
            request,
            events,
            Refusal::not_run(RefusalReason::NotHere, detail),
        )
        .await;
        return;
    }
    if !agent.attempts.register(&id, request.deadline_unix_ms) {
        send_refusal(agent, request, events, duplicate_attempt(agent, &id)).await;
        return;
    }
    let outcome = if request.idempotent {
        run_attempt(agent, request, &id, events).await
    } else {
        serve_keyed(agent, request, &id, events).await
    };
    agent.attempts.mark_not_run(&id);
    agent.attempts.mark_done(&id);
    if let Err(refusal) = outcome {
        send_refusal(agent, request, events, refusal).await;
    }
}

/// Creates the refusal of an attempt whose identifier is known already.
fn duplicate_attempt(agent: &Agent, id: &AttemptId) -> Refusal {
    match agent.attempts.phase(id) {
        Some(AttemptPhase::NotRun) => Refusal::not_run(
            RefusalReason::Cancelled,
            "the attempt was cancelled before it arrived",
        ),
        _ => Refusal::unknown(RefusalReason::Cancelled, "the attempt was submitted twice"),
    }
}

async fn run_attempt(
    agent: &Agent,
    request: &SubmitRequest,
    id: &AttemptId,
    events: &EventSender,
) -> Result<(), Refusal> {
    let deadline_unix_ms = wait_deadline_unix_ms(request);
    let resources = {
        let wait = pin!(acquire_resources(agent, request, deadline_unix_ms, events));
        let cancelled = pin!(wait_until_cancelled(agent, id, events));
        match select(wait, cancelled).await {
            Either::Left((resources, _)) => resources?,
            Either::Right(_) => return Err(cancelled_by_router()),
        }
    };
    if agent.crash_state.is_engine_down() {
        let detail = "the engine has crashed and has not restarted yet";
        return Err(Refusal::not_run(RefusalReason::UpstreamFailed, detail));
    }
    if !agent.attempts.try_start(id) {
        return Err(cancelled_by_router());
    }
    record_attempt_event(agent, request, "attempt_started", String::new());
    send_event(
        agent,
        request,
        events,
        Step::Started(Started {
            cold_start_ms: resources.cold_start_ms,
        }),
    )
    .await;
    let outcome = {
        let forwarding = pin!(forward(agent, request, events));
        match select(forwarding, pin!(events.closed())).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) => return Ok(()),
        }
    };
    let outcome = match outcome {
        Ok(()) => {
            crashes::clear_if_suspect(agent, request);
            Ok(())
        }
        // The permit is held meanwhile: a request that got it now would be interrupted by the same
        // crash.
        Err(refusal) if refusal.run == RunState::Unknown => {
            Err(crashes::handle_interrupted(agent, request, id, refusal).await)
        }
        Err(refusal) => Err(refusal),
    };
    drop(resources);
    outcome
}

/// Returns once the attempt has a tombstone or its router has disconnected.
async fn wait_until_cancelled(agent: &Agent, id: &AttemptId, events: &EventSender) {
    match agent.attempts.listen_cancelled(id) {
        Some(tombstone) => {
            select(tombstone, pin!(events.closed())).await;
        }
        None => events.closed().await,
    }
}

async fn acquire_resources(
    agent: &Agent,
    request: &SubmitRequest,
    deadline_unix_ms: u64,
    events: &EventSender,
) -> Result<AttemptResources, Refusal> {
    refuse_if_leaving(agent)?;
    let expected_start_unix_ms =
        now_unix_ms() + agent.queue.expected_wait_ms(agent.queue.waiting());
    send_event(
        agent,
        request,
        events,
        Step::Queued(Queued {
            expected_start_unix_ms,
        }),
    )
    .await;
    let entered_unix_ms = now_unix_ms();
    let mut replica = None;
    let mut cold_start_ms = 0;
    if !request.model.is_empty() {
        let Some(engine) = &agent.engine else {
            return Err(Refusal::not_run(
                RefusalReason::NotHere,
                "the upstream is not a model engine",
            ));
        };
        let model = ModelName::from(request.model.as_str());
        let arrived_unix_ms = now_unix_ms();
        let guard = acquire_replica(agent, engine, &model, deadline_unix_ms).await?;
        cold_start_ms = now_unix_ms() - arrived_unix_ms;
        if !request.adapter.is_empty() {
            let adapter = request.adapter.as_str();
            ensure_adapter_loaded(agent, engine, &guard.replica, adapter, deadline_unix_ms).await?;
        }
        replica = Some(guard);
    }
    let queue = &agent.queue;
    let run_request = run_request(agent, request, deadline_unix_ms);
    queue.set_shedding(agent.node.config.current().defaults.shedding);
    let permit = if request.suspect {
        Permit::Exclusive(queue.acquire_exclusive(run_request).await?)
    } else {
        Permit::Shared(queue.acquire(run_request).await?)
    };
    let waited_seconds = (now_unix_ms() - entered_unix_ms) as f64 / 1000.0;
    agent.node.metrics.wait_seconds.record(waited_seconds, &[]);
    Ok(AttemptResources {
        cold_start_ms,
        _permit: permit,
        _replica: replica,
    })
}

/// Media type of an event stream, which parameters may follow.
const EVENT_STREAM: &str = "text/event-stream";

async fn forward(
    agent: &Agent,
    request: &SubmitRequest,
    events: &EventSender,
) -> Result<(), Refusal> {
    let url = &agent.settings.upstream_url;
    let response = call_upstream(&agent.client, url, request)
        .await
        .map_err(|error| upstream_refusal(&error))?;
    if !request.model.is_empty() {
        check_engine_status(response.status)?;
    }
    let is_event_stream = response.content_type.starts_with(EVENT_STREAM);
    let mut scanner = EventScanner::default();
    let head = Head {
        status: response.status.into(),
        content_type: response.content_type,
    };
    send_event(agent, request, events, Step::Head(head)).await;
    let mut chunks = pin!(response.chunks);
    let mut body_bytes = 0;
    let mut last_chunk_us = 0;
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| upstream_refusal(&error))?;
        let now_us = now_unix_us();
        if body_bytes > 0 {
            let between_seconds = (now_us - last_chunk_us) as f64 / 1e6;
            let metrics = &agent.node.metrics;
            metrics.between_tokens_seconds.record(between_seconds, &[]);
        }
        last_chunk_us = now_us;
        let events_end = scanner.scan(&chunk);
        if is_event_stream && let Some(reason) = scanner.invalid_event() {
            let whole_events = chunk.slice(..events_end.unwrap_or(0));
            // The router passes on whatever comes as a chunk, after which it can't repeat the request.
            if !whole_events.is_empty() {
                send_event(agent, request, events, Step::Chunk(whole_events)).await;
            }
            let detail = reason.as_str().to_owned();
            return Err(upstream_refusal(&UpstreamError::Interrupted { detail }));
        }
        body_bytes += chunk.len() as u64;
        send_event(agent, request, events, Step::Chunk(chunk)).await;
    }
    // A response without a length or chunks ends with its connection, also in the middle of an event.
    if is_event_stream && !scanner.is_between_events() {
        let detail = "the stream ended inside an event".to_owned();
        return Err(upstream_refusal(&UpstreamError::Interrupted { detail }));
    }
    record_attempt_event(
        agent,
        request,
        "attempt_done",
        format!("{body_bytes} bytes"),
    );
    send_event(agent, request, events, Step::End(End { body_bytes })).await;
    Ok(())
}

/// Refuses a response that reports an engine error. An engine that has lost a replica answers 404
/// before it runs anything.
fn check_engine_status(status: u16) -> Result<(), Refusal> {
    match status {
        404 => Err(Refusal::not_run(
            RefusalReason::NotHere,
            "the engine does not hold the model",
        )),
        500.. => Err(Refusal::unknown(
            RefusalReason::UpstreamFailed,
            format!("the engine answered {status}"),
        )),
        _ => Ok(()),
    }
}

pub(crate) fn upstream_refusal(error: &UpstreamError) -> Refusal {
    match error {
        UpstreamError::Unreachable { .. } => {
            Refusal::not_run(RefusalReason::UpstreamFailed, error.to_string())
        }
        UpstreamError::Interrupted { .. } => {
            Refusal::unknown(RefusalReason::UpstreamFailed, error.to_string())
        }
    }
}

async fn send_refusal(
    agent: &Agent,
    request: &SubmitRequest,
    events: &EventSender,
    refusal: Refusal,
) {
    record_attempt_event(agent, request, "attempt_refused", refusal.to_string());
    let placement = agent.node.placements.get(&request.model);
    let refused = Refused {
        reason: refusal.reason.as_str().to_owned(),
        run: refusal.run.as_str().to_owned(),
        retry_after_ms: refusal.retry_after_ms,
        detail: refusal.detail,
        placement_generation: placement.map_or(0, |(_, placement)| placement.generation),
    };
    send_event(agent, request, events, Step::Refused(refused)).await;
}

/// Sends an event to the router. A disconnected router shows as the closed channel, so errors are
/// ignored here.
pub(crate) async fn send_event(
    agent: &Agent,
    request: &SubmitRequest,
    events: &EventSender,
    step: Step,
) {
    // Chunks are frequent, so they carry no news.
    let has_news = !matches!(step, Step::Chunk(_));
    let event = SubmitEvent {
        stamp: if has_news { agent.node.stamp() } else { None },
        news: has_news.then(|| news(agent, Some(&request.model))),
        event: Some(step),
    };
    events.send(Ok(event)).await.ok();
}

pub(crate) fn record_attempt_event(
    agent: &Agent,
    request: &SubmitRequest,
    kind: &str,
    detail: String,
) {
    agent.node.timeline.record(Event {
        kind: kind.to_owned(),
        request: request.request_id.clone(),
        attempt: request.attempt_id.clone(),
        model: request.model.clone(),
        upstream: agent.settings.upstream.to_string(),
        detail,
        ..Event::default()
    });
}
