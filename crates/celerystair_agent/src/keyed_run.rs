//! The run of a call with an idempotency key: it is claimed in the journal, waits for a permit, is
//! sent to the upstream, and its outcome is written to the journal.

use std::pin::pin;

use bytes::BytesMut;
use celerystair_core::{
    prelude::*,
    time::{before_deadline, remaining_ms},
};
use celerystair_journal::{entry::RECORDED_BODY_MAX_BYTES, prelude::*};
use celerystair_platform::objects::AGENT_KEY_PREFIX;
use celerystair_protocol::SubmitRequest;
use celerystair_telemetry::prelude::*;
use futures_util::{
    StreamExt,
    future::{Either, select},
};

use crate::{
    agent::Agent,
    answer::{
        REFUSAL_MARGIN_MS, cancelled_by_router, record_attempt_event, upstream_refusal,
        wait_deadline_unix_ms,
    },
    attempts::AttemptPhase,
    keyed::{
        KeyedOutcome, KeyedResponse, KeyedRun, RETRY_AFTER_MS, key_reused, not_started_in_time,
        outcome_unknown, run_request, still_running,
    },
    queue::RunPermit,
    upstream::call_upstream,
};

/// Shortest interval between reads of the journal for a call that runs on another agent; it doubles
/// up to [`POLL_MAX_MS`].
const POLL_MIN_MS: u64 = 50;
const POLL_MAX_MS: u64 = 1000;
/// How long a run may go on after its request's deadline.
const RUN_GRACE_MS: u64 = 60_000;
/// The largest response body of a keyed call, which is buffered as a whole.
const RESPONSE_MAX_BYTES: usize = 8 << 20;

/// Returns until when the call must have started, so that the callers that wait for it learn of a
/// refusal before they give up.
fn start_deadline_unix_ms(request: &SubmitRequest) -> u64 {
    wait_deadline_unix_ms(request).saturating_sub(REFUSAL_MARGIN_MS)
}

/// Claims and runs the call, or follows its run on another agent, and completes `run` with the
/// outcome.
pub async fn execute(agent: &Agent, request: &SubmitRequest, key: &CallKey, run: &KeyedRun) {
    let id = AttemptId::from(request.attempt_id.as_str());
    let deadline_unix_ms = start_deadline_unix_ms(request);
    let outcome = loop {
        match claim(agent, request, &id, key, deadline_unix_ms).await {
            Ok(ClaimOutcome::Granted) => {
                return execute_claimed(agent, request, key, run, &id).await;
            }
            Ok(ClaimOutcome::KeyReused) => break Err(key_reused()),
            Ok(ClaimOutcome::AlreadyClaimed(entry)) => {
                agent.attempts.try_start(&id);
                if let Some(outcome) = follow_other_run(agent, key, *entry, deadline_unix_ms).await
                {
                    break outcome;
                }
            }
            Err(refusal) => break Err(refusal),
        }
    };
    agent.keyed_runs.remove(key);
    run.complete(outcome);
}

async fn execute_claimed(
    agent: &Agent,
    request: &SubmitRequest,
    key: &CallKey,
    run: &KeyedRun,
    id: &AttemptId,
) {
    let outcome = match wait_for_permit(agent, request, id).await {
        Ok(_permit) => {
            record_attempt_event(agent, request, "attempt_started", String::new());
            collect_response(agent, request).await
        }
        Err(refusal) => Err(refusal),
    };
    agent.attempts.mark_not_run(id);
    agent.attempts.mark_done(id);
    let forget_unix_ms = forget_unix_ms(agent, request);
    if let Some(state) = journal_state(&outcome) {
        run.complete(outcome);
        record_attempt_event(agent, request, "attempt_done", String::new());
        agent.journal.record(key, id, state, forget_unix_ms).await;
        agent.keyed_runs.remove(key);
    } else {
        // A request with the key from now on claims it again, after this release.
        agent.keyed_runs.remove(key);
        run.complete(outcome);
        agent.journal.release(key, id, forget_unix_ms).await;
    }
}

async fn claim(
    agent: &Agent,
    request: &SubmitRequest,
    id: &AttemptId,
    key: &CallKey,
    deadline_unix_ms: u64,
) -> Result<ClaimOutcome, Refusal> {
    unless_cancelled(agent, id, wait_for_claim(agent, deadline_unix_ms)).await??;
    let entry = JournalEntry {
        key: key.clone(),
        fingerprint: request.fingerprint,
        attempt: id.clone(),
        upstream: agent.settings.upstream.clone(),
        incarnation: agent.incarnation.clone(),
        state: EntryState::Started,
        forget_unix_ms: forget_unix_ms(agent, request),
    };
    let claim = agent.journal.claim(entry, deadline_unix_ms);
    let claimed = unless_cancelled(agent, id, claim).await?;
    claimed.map_err(|error| {
        let (reason, retry_after_ms) = match error {
            JournalError::Full {
                next_expiry_unix_ms,
            } => {
                let until_room_ms = remaining_ms(next_expiry_unix_ms).max(RETRY_AFTER_MS);
                (RefusalReason::JournalFull, until_room_ms)
            }
            JournalError::StoreUnavailable => (RefusalReason::StoreUnavailable, RETRY_AFTER_MS),
        };
        Refusal::not_run(reason, error.to_string()).retry_after(retry_after_ms)
    })
}

/// Waits until this incarnation has claimed its upstream, because other agents take the owner of a
/// key for dead unless the store lists it.
async fn wait_for_claim(agent: &Agent, deadline_unix_ms: u64) -> Result<(), Refusal> {
    let claimed = pin!(agent.claim.wait_until_claimed());
    let draining = pin!(agent.node.stop.draining());
    let ended = before_deadline(deadline_unix_ms, select(claimed, draining)).await;
    if let Some(Either::Left(_)) = ended {
        return Ok(());
    }
    let detail = "the agent has not claimed its upstream yet";
    Err(Refusal::not_run(RefusalReason::StoreUnavailable, detail).retry_after(RETRY_AFTER_MS))
}

/// Returns when the journal may drop the key. The attempt never starts after its deadline, so a
/// process that was paused beyond this time can't run a call whose key was dropped.
fn forget_unix_ms(agent: &Agent, request: &SubmitRequest) -> u64 {
    let config = agent.node.config.current();
    (now_unix_ms() + config.defaults.journal_retention_ms)
        .max(request.deadline_unix_ms + RUN_GRACE_MS)
}

/// Awaits `work`, unless the attempt gets a tombstone first.
async fn unless_cancelled<T>(
    agent: &Agent,
    id: &AttemptId,
    work: impl Future<Output = T>,
) -> Result<T, Refusal> {
    let Some(tombstone) = agent.attempts.listen_cancelled(id) else {
        return Err(cancelled_by_router());
    };
    if agent.attempts.phase(id) == Some(AttemptPhase::NotRun) {
        return Err(cancelled_by_router());
    }
    match select(pin!(work), tombstone).await {
        Either::Left((result, _)) => Ok(result),
        Either::Right(_) => Err(cancelled_by_router()),
    }
}

/// Polls the journal for the outcome of another attempt's run; `None` if its claim was released.
async fn follow_other_run(
    agent: &Agent,
    key: &CallKey,
    mut entry: JournalEntry,
    deadline_unix_ms: u64,
) -> Option<KeyedOutcome> {
    let mut poll_ms = POLL_MIN_MS;
    loop {
        match entry.state {
            EntryState::Done(response) => {
                return Some(Ok(KeyedResponse {
                    status: response.status,
                    content_type: response.content_type,
                    body: response.body.into(),
                }));
            }
            EntryState::Unknown => return Some(Err(outcome_unknown())),
            EntryState::Started if !is_owner_alive(agent, &entry, deadline_unix_ms).await => {
                // The owner may have written the outcome after the entry was read.
                let read = before_deadline(deadline_unix_ms, agent.journal.look_up(key)).await;
                match read {
                    Some(Ok(found)) if found.as_ref() != Some(&entry) => {
                        entry = found?;
                        continue;
                    }
                    _ => return Some(Err(outcome_unknown())),
                }
            }
            EntryState::Started => {}
        }
        if now_unix_ms() + poll_ms >= deadline_unix_ms {
            return Some(Err(still_running()));
        }
        sleep_ms(poll_ms).await;
        poll_ms = (poll_ms * 2).min(POLL_MAX_MS);
        // While the store is unavailable, continue with the last entry.
        let read = before_deadline(deadline_unix_ms, agent.journal.look_up(key)).await;
        if let Some(Ok(found)) = read {
            entry = found?;
        }
    }
}

/// Returns whether the agent that claimed the entry is still running.
///
/// Watches report a new incarnation up to a second late, so one that is unknown here is looked up
/// in the store: an agent writes its claim there before it claims any key.
async fn is_owner_alive(agent: &Agent, entry: &JournalEntry, deadline_unix_ms: u64) -> bool {
    if is_known_alive(agent, entry) || entry.incarnation == agent.incarnation {
        return is_known_alive(agent, entry);
    }
    let key = format!("{AGENT_KEY_PREFIX}{}", entry.upstream);
    let read = before_deadline(deadline_unix_ms, agent.node.store.get(&key)).await;
    if let Some(Ok(Some(object))) = read
        && let Err(error) = agent.node.agents.apply(&object)
    {
        warn!(agent.node.log, "failed to read an agent's object";
            "upstream" => %entry.upstream, "error" => %error);
    }
    is_known_alive(agent, entry)
}

/// Returns whether the agent that claimed the entry is running, by this agent's copies of the store
/// and of the platform's list. An agent has one run of a key at a time, so a run of this
/// incarnation under another attempt has ended.
fn is_known_alive(agent: &Agent, entry: &JournalEntry) -> bool {
    let owner = agent.node.agents.get(&entry.upstream);
    entry.incarnation != agent.incarnation
        && owner.is_some_and(|(_, owner)| {
            owner.claim_id == entry.incarnation && !agent.node.instances.is_gone(&owner.instance)
        })
}

/// Returns the state to write to the journal; `None` for a call that has not run, whose claim is
/// released.
fn journal_state(outcome: &KeyedOutcome) -> Option<EntryState> {
    match outcome {
        Ok(response) if response.body.len() <= RECORDED_BODY_MAX_BYTES => {
            let body = String::from_utf8(response.body.to_vec());
            Some(body.map_or(EntryState::Unknown, |body| {
                EntryState::Done(RecordedAnswer {
                    status: response.status,
                    content_type: response.content_type.clone(),
                    body,
                })
            }))
        }
        Err(refusal) if refusal.run == RunState::NotRun => None,
        Ok(_) | Err(_) => Some(EntryState::Unknown),
    }
}

async fn wait_for_permit(
    agent: &Agent,
    request: &SubmitRequest,
    id: &AttemptId,
) -> Result<RunPermit, Refusal> {
    let deadline_unix_ms = start_deadline_unix_ms(request);
    let acquired = agent
        .queue
        .acquire(run_request(agent, request, deadline_unix_ms));
    let permit = unless_cancelled(agent, id, acquired).await??;
    if now_unix_ms() >= deadline_unix_ms {
        // The process may have been paused, and the journal may have dropped the key meanwhile.
        return Err(not_started_in_time());
    }
    // An attempt that had joined an earlier run, whose caller cancelled it, counts as started
    // already.
    let may_start =
        agent.attempts.try_start(id) || agent.attempts.phase(id) == Some(AttemptPhase::Started);
    if may_start {
        Ok(permit)
    } else {
        Err(cancelled_by_router())
    }
}

async fn collect_response(agent: &Agent, request: &SubmitRequest) -> KeyedOutcome {
    let work = async {
        let url = &agent.settings.upstream_url;
        let response = call_upstream(&agent.client, url, request)
            .await
            .map_err(|error| upstream_refusal(&error))?;
        let mut body = BytesMut::new();
        let mut chunks = pin!(response.chunks);
        while let Some(chunk) = chunks.next().await {
            let chunk = chunk.map_err(|error| upstream_refusal(&error))?;
            if body.len() + chunk.len() > RESPONSE_MAX_BYTES {
                let detail =
                    format!("the upstream's response is larger than {RESPONSE_MAX_BYTES} bytes");
                return Err(Refusal::unknown(RefusalReason::UpstreamFailed, detail));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(KeyedResponse {
            status: response.status.into(),
            content_type: response.content_type,
            body: body.freeze(),
        })
    };
    before_deadline(request.deadline_unix_ms + RUN_GRACE_MS, work)
        .await
        .unwrap_or_else(|| {
            let detail =
                format!("the upstream did not respond within {RUN_GRACE_MS} ms after the deadline");
            Err(Refusal::unknown(RefusalReason::UpstreamFailed, detail))
        })
}
