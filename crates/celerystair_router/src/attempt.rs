//! One try of a request at one upstream.

use std::rc::Rc;

use bytes::Bytes;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_protocol::{
    AttemptState, Head, SettleRequest, SubmitEvent, SubmitRequest, agent_client::AgentClient,
    submit_event::Event as Step,
};
use tonic::Streaming;

use crate::{
    caller_request::{CallerRequest, Target},
    peers::Peer,
    router::Router,
};

/// How long an agent may take to say what became of an attempt.
const SETTLE_TIMEOUT_MS: u64 = 500;

/// An attempt whose answer has begun.
pub struct Answering {
    /// Status and type.
    pub head: Head,
    /// How long the request waited for a replica to be loaded.
    pub cold_start_ms: u64,
    /// What follows.
    pub rest: AnswerStream,
}

/// The rest of an answer, as it comes.
pub struct AnswerStream {
    events: Streaming<SubmitEvent>,
    peer: Rc<Peer>,
    received_bytes: u64,
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        self.peer.outstanding.set(self.peer.outstanding.get() - 1);
    }
}

impl AnswerStream {
    /// The next chunk, or `None` once the answer is whole.
    ///
    /// # Errors
    /// A refusal: the answer ends here and is not whole.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Refusal> {
        loop {
            match self.step().await? {
                Step::Chunk(chunk) => {
                    self.received_bytes += chunk.len() as u64;
                    return Ok(Some(chunk));
                }
                Step::End(end) if end.body_bytes == self.received_bytes => return Ok(None),
                Step::End(end) => {
                    let detail =
                        format!("{} of {} bytes came", self.received_bytes, end.body_bytes);
                    return Err(Refusal::unknown(RefusalReason::UpstreamFailed, detail));
                }
                Step::Refused(refused) => return Err(read_refusal(&refused)),
                Step::Queued(_) | Step::Started(_) | Step::Head(_) => {}
            }
        }
    }

    async fn step(&mut self) -> Result<Step, Refusal> {
        loop {
            match self.events.message().await {
                Ok(Some(event)) => {
                    if let Some(news) = event.news {
                        self.peer.hear(news);
                    }
                    if let Some(step) = event.event {
                        return Ok(step);
                    }
                }
                Ok(None) => {
                    let detail = "the agent ended the answer early";
                    return Err(Refusal::unknown(RefusalReason::ConnectionLost, detail));
                }
                Err(status) => {
                    let detail = format!("the agent was lost: {}", status.message());
                    return Err(Refusal::unknown(RefusalReason::ConnectionLost, detail));
                }
            }
        }
    }
}

/// Submits the request to the agent and waits until its answer begins.
///
/// # Errors
/// A refusal that says truly whether the upstream may have executed it.
pub async fn submit(
    router: &Router,
    peer: &Rc<Peer>,
    request: &CallerRequest,
    generation: u64,
) -> Result<Answering, Refusal> {
    let life = peer.life.borrow().clone();
    let message = message(router, request, &life, generation);
    let attempt = message.attempt_id.clone();
    let lost = |detail: String| Refusal::not_run(RefusalReason::ConnectionLost, detail);
    let channel = peer
        .connection
        .channel()
        .await
        .map_err(|error| lost(error.to_string()))?;
    let origin = channel.origin();
    let mut client = AgentClient::with_origin(channel, origin);
    let submitted = client.submit(message).await;
    let events = match submitted {
        Ok(response) => response.into_inner(),
        Err(status) => {
            let refusal =
                Refusal::unknown(RefusalReason::ConnectionLost, status.message().to_owned());
            return Err(settle(router, peer, &attempt, &life, refusal).await);
        }
    };
    peer.outstanding.set(peer.outstanding.get() + 1);
    let mut rest = AnswerStream {
        events,
        peer: peer.clone(),
        received_bytes: 0,
    };
    let mut cold_start_ms = 0;
    loop {
        match rest.step().await {
            Ok(Step::Started(started)) => cold_start_ms = started.cold_start_ms,
            Ok(Step::Head(head)) => {
                return Ok(Answering {
                    head,
                    cold_start_ms,
                    rest,
                });
            }
            Ok(Step::Refused(refused)) => return Err(read_refusal(&refused)),
            Ok(_) => {}
            Err(refusal) => return Err(settle(router, peer, &attempt, &life, refusal).await),
        }
    }
}

/// Asks the agent what became of an attempt that was lost sight of, so that "not run" is said
/// where it is true.
async fn settle(
    router: &Router,
    peer: &Peer,
    attempt: &str,
    life: &str,
    refusal: Refusal,
) -> Refusal {
    let ask = async {
        let channel = peer.connection.channel().await.ok()?;
        let origin = channel.origin();
        let request = SettleRequest {
            stamp: router.node.stamp(),
            attempt_id: attempt.to_owned(),
            agent_life: life.to_owned(),
        };
        AgentClient::with_origin(channel, origin)
            .settle(request)
            .await
            .ok()
    };
    match before_deadline(now_unix_ms() + SETTLE_TIMEOUT_MS, ask)
        .await
        .flatten()
    {
        Some(reply) if reply.get_ref().state() == AttemptState::NotRun => Refusal {
            run: RunState::NotRun,
            ..refusal
        },
        _ => refusal,
    }
}

fn message(router: &Router, request: &CallerRequest, life: &str, generation: u64) -> SubmitRequest {
    let (model, adapter, service) = match &request.target {
        Target::Model(model) => (
            model.base.to_string(),
            model.adapter.as_deref().unwrap_or_default().to_owned(),
            String::new(),
        ),
        Target::Service(service) => (String::new(), String::new(), service.clone()),
    };
    SubmitRequest {
        stamp: router.node.stamp(),
        request_id: request.id.to_string(),
        attempt_id: AttemptId::random().to_string(),
        firm: request.firm.to_string(),
        kind: request.kind.to_string(),
        model,
        adapter,
        service,
        method: request.method.clone(),
        path: request.path.clone(),
        content_type: request.content_type.clone(),
        body: request.body.clone(),
        deadline_unix_ms: request.deadline_unix_ms - router.settings.answer_margin_ms,
        idempotent: request.idempotent,
        idempotency_key: request.idempotency_key.clone(),
        priority: request.weight,
        stream: request.stream,
        placement_generation: generation,
        hops: 0,
        fingerprint: request.fingerprint,
        agent_life: life.to_owned(),
    }
}

fn read_refusal(refused: &celerystair_protocol::Refused) -> Refusal {
    Refusal {
        reason: RefusalReason::from_word(&refused.reason),
        run: RunState::from_word(&refused.run),
        retry_after_ms: refused.retry_after_ms,
        detail: refused.detail.clone(),
    }
}
