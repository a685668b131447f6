//! One try of a request at one upstream.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_node::prelude::*;
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
    node: Node,
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
                    self.node.observe(event.stamp.as_ref());
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

/// An attempt as the router knows it; it outlives the wait for the attempt's answer.
pub struct Tracked {
    /// Where it goes.
    pub peer: Rc<Peer>,
    /// Its identifier.
    pub attempt: AttemptId,
    /// Whether it runs alone there.
    pub suspect: bool,
    life: String,
    sent: Cell<bool>,
    started: Cell<bool>,
}

impl Tracked {
    /// An attempt at `peer` that was not submitted yet; a suspect runs alone.
    pub fn new(peer: &Rc<Peer>, suspect: bool) -> Self {
        Self {
            peer: peer.clone(),
            attempt: AttemptId::random(),
            suspect,
            life: peer.life.borrow().clone(),
            sent: Cell::new(false),
            started: Cell::new(false),
        }
    }

    /// Gives the attempt up: asks the agent what became of it if that is not known, so that
    /// "not run" is said where it is true, and only there.
    pub async fn settle(
        &self,
        router: &Router,
        mut refusal: Refusal,
        deadline_unix_ms: u64,
    ) -> Refusal {
        let not_run =
            !self.sent.get() || (!self.started.get() && self.ask(router, deadline_unix_ms).await);
        refusal.run = if not_run {
            RunState::NotRun
        } else {
            RunState::Unknown
        };
        refusal
    }

    /// Whether the agent says that the attempt never started; from then on it never will.
    async fn ask(&self, router: &Router, deadline_unix_ms: u64) -> bool {
        let state = self.ask_state(router, deadline_unix_ms).await;
        state == Some(AttemptState::NotRun)
    }

    /// What the agent, or a later life of it, says of the attempt; `None` if it says nothing.
    pub async fn ask_state(&self, router: &Router, deadline_unix_ms: u64) -> Option<AttemptState> {
        let ask = async {
            let channel = self.peer.channel().await.ok()?;
            let origin = channel.origin();
            let request = SettleRequest {
                stamp: router.node.stamp(),
                attempt_id: self.attempt.to_string(),
                agent_life: self.life.clone(),
            };
            AgentClient::with_origin(channel, origin)
                .settle(request)
                .await
                .ok()
        };
        let deadline_unix_ms = deadline_unix_ms.min(now_unix_ms() + SETTLE_TIMEOUT_MS);
        let reply = before_deadline(deadline_unix_ms, ask).await.flatten()?;
        router.node.observe(reply.get_ref().stamp.as_ref());
        Some(reply.get_ref().state())
    }
}

/// Submits the request to the agent and waits until its answer begins.
///
/// # Errors
/// A refusal that says truly whether the upstream may have executed it.
pub async fn submit(
    router: &Router,
    tracked: &Tracked,
    request: &CallerRequest,
    generation: u64,
) -> Result<Answering, Refusal> {
    let peer = &tracked.peer;
    let message = message(router, request, tracked, generation);
    let lost = |detail: String| Refusal::unknown(RefusalReason::ConnectionLost, detail);
    let settle = async |refusal| {
        tracked
            .settle(router, refusal, request.deadline_unix_ms)
            .await
    };
    let channel = match peer.channel().await {
        Ok(channel) => channel,
        Err(error) => return Err(settle(lost(error.to_string())).await),
    };
    let origin = channel.origin();
    let mut client = AgentClient::with_origin(channel, origin);
    tracked.sent.set(true);
    let events = match client.submit(message).await {
        Ok(response) => response.into_inner(),
        Err(status) => return Err(settle(lost(status.message().to_owned())).await),
    };
    peer.outstanding.set(peer.outstanding.get() + 1);
    let mut rest = AnswerStream {
        node: router.node.clone(),
        events,
        peer: peer.clone(),
        received_bytes: 0,
    };
    let mut cold_start_ms = 0;
    loop {
        match rest.step().await {
            Ok(Step::Started(started)) => {
                tracked.started.set(true);
                cold_start_ms = started.cold_start_ms;
            }
            Ok(Step::Head(head)) => {
                return Ok(Answering {
                    head,
                    cold_start_ms,
                    rest,
                });
            }
            Ok(Step::Refused(refused)) => return Err(read_refusal(&refused)),
            Ok(_) => {}
            Err(refusal) => return Err(settle(refusal).await),
        }
    }
}

fn message(
    router: &Router,
    request: &CallerRequest,
    tracked: &Tracked,
    generation: u64,
) -> SubmitRequest {
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
        attempt_id: tracked.attempt.to_string(),
        organisation: request.organisation.to_string(),
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
        agent_life: tracked.life.clone(),
        suspect: tracked.suspect,
    }
}

fn read_refusal(refused: &celerystair_protocol::Refused) -> Refusal {
    Refusal {
        reason: RefusalReason::from_wire_name(&refused.reason),
        run: RunState::from_wire_name(&refused.run),
        retry_after_ms: refused.retry_after_ms,
        detail: refused.detail.clone(),
    }
}
