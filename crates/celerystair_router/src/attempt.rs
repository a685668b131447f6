//! One attempt of a request at one upstream.

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_node::prelude::*;
use celerystair_protocol::{
    AttemptState, Head, News, SettleRequest, SubmitEvent, SubmitRequest, agent_client::AgentClient,
    submit_event::Event as AttemptEvent,
};
use celerystair_telemetry::prelude::*;
use tonic::Streaming;

use crate::{
    caller_request::{CallerRequest, Target},
    peers::Peer,
    router::Router,
};

/// Timeout of the call that asks an agent for the state of an attempt.
const SETTLE_TIMEOUT_MS: u64 = 500;

/// The response of an attempt, whose head has arrived.
pub struct StartedResponse {
    /// Status and content type.
    pub head: Head,
    /// Time that the request waited for a replica to be loaded.
    pub cold_start_ms: u64,
    /// The body as it arrives.
    pub body: ResponseStream,
}

/// The body of an upstream's response, chunk by chunk.
pub struct ResponseStream {
    node: Node,
    events: Streaming<SubmitEvent>,
    peer: Rc<Peer>,
    received_bytes: u64,
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        self.peer.outstanding.set(self.peer.outstanding.get() - 1);
    }
}

impl ResponseStream {
    /// Returns the next chunk, or `None` once the body is complete.
    ///
    /// # Errors
    /// A [`Refusal`] if the body ends before it is complete.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, Refusal> {
        loop {
            match self.next_event().await? {
                AttemptEvent::Chunk(chunk) => {
                    self.received_bytes += chunk.len() as u64;
                    return Ok(Some(chunk));
                }
                AttemptEvent::End(end) if end.body_bytes == self.received_bytes => return Ok(None),
                AttemptEvent::End(end) => {
                    let detail = format!(
                        "received {} of {} bytes",
                        self.received_bytes, end.body_bytes
                    );
                    return Err(Refusal::unknown(RefusalReason::UpstreamFailed, detail));
                }
                AttemptEvent::Refused(refused) => return Err(read_refusal(&refused)),
                AttemptEvent::Queued(_) | AttemptEvent::Started(_) | AttemptEvent::Head(_) => {}
            }
        }
    }

    /// Applies news of the upstream. Another upstream's agent may listen at the address of one that has
    /// ended, and would run what is addressed to its incarnation.
    fn apply_news(&self, news: News) {
        if self.peer.upstream.as_str() == news.upstream {
            self.peer.apply_news(news);
            return;
        }
        self.peer.start_backoff();
        warn!(self.node.log, "another upstream's agent answers at an agent's address";
            "upstream" => %self.peer.upstream, "answers" => news.upstream);
    }

    async fn next_event(&mut self) -> Result<AttemptEvent, Refusal> {
        loop {
            match self.events.message().await {
                Ok(Some(event)) => {
                    self.node.observe(event.stamp.as_ref());
                    if let Some(news) = event.news {
                        self.apply_news(news);
                    }
                    if let Some(event) = event.event {
                        return Ok(event);
                    }
                }
                Ok(None) => {
                    let detail = "the agent closed the stream before the response was complete";
                    return Err(Refusal::unknown(RefusalReason::ConnectionLost, detail));
                }
                Err(status) => {
                    let detail =
                        format!("the connection to the agent was lost: {}", status.message());
                    return Err(Refusal::unknown(RefusalReason::ConnectionLost, detail));
                }
            }
        }
    }
}

/// The router's record of an attempt, kept after it stops waiting for the attempt's response.
pub struct TrackedAttempt {
    /// The agent of the chosen upstream.
    pub peer: Rc<Peer>,
    /// The attempt's identifier.
    pub id: AttemptId,
    /// Whether the upstream must run it with no other request, because it may crash the upstream.
    pub is_suspect: bool,
    agent_incarnation: String,
    is_submitted: Cell<bool>,
    is_started: Cell<bool>,
}

impl TrackedAttempt {
    /// Creates an attempt for `peer` that is not yet submitted.
    pub fn new(peer: &Rc<Peer>, is_suspect: bool) -> Self {
        Self {
            peer: peer.clone(),
            id: AttemptId::random(),
            is_suspect,
            agent_incarnation: peer.incarnation.borrow().clone(),
            is_submitted: Cell::new(false),
            is_started: Cell::new(false),
        }
    }

    /// Abandons the attempt and sets `refusal.run`. Asks the agent for the attempt's state if it
    /// was submitted and no start was reported, so that "not run" is only returned if it is
    /// certain.
    pub async fn settle(
        &self,
        router: &Router,
        mut refusal: Refusal,
        deadline_unix_ms: u64,
    ) -> Refusal {
        let not_run = !self.is_submitted.get()
            || (!self.is_started.get()
                && self.is_confirmed_not_run(router, deadline_unix_ms).await);
        refusal.run = if not_run {
            RunState::NotRun
        } else {
            RunState::Unknown
        };
        refusal
    }

    /// Whether the agent confirms that the attempt has not started and never will.
    async fn is_confirmed_not_run(&self, router: &Router, deadline_unix_ms: u64) -> bool {
        let state = self.settle_with_agent(router, deadline_unix_ms).await;
        state == Some(AttemptState::NotRun)
    }

    /// Returns the attempt's state from the agent or a later incarnation of it; `None` if there is
    /// no reply in time. An attempt that has not started by then never starts.
    pub async fn settle_with_agent(
        &self,
        router: &Router,
        deadline_unix_ms: u64,
    ) -> Option<AttemptState> {
        let call = async {
            let channel = self.peer.channel().await.ok()?;
            let origin = channel.origin();
            let request = SettleRequest {
                stamp: router.node.stamp(),
                attempt_id: self.id.to_string(),
                agent_life: self.agent_incarnation.clone(),
            };
            AgentClient::with_origin(channel, origin)
                .settle(request)
                .await
                .ok()
        };
        let deadline_unix_ms = deadline_unix_ms.min(now_unix_ms() + SETTLE_TIMEOUT_MS);
        let reply = before_deadline(deadline_unix_ms, call).await.flatten()?;
        router.node.observe(reply.get_ref().stamp.as_ref());
        Some(reply.get_ref().state())
    }
}

/// Submits the request to the agent and waits for the head of the response.
///
/// # Errors
/// A [`Refusal`] whose `run` is "not run" only if the upstream can't have executed the request.
pub async fn submit(
    router: &Router,
    attempt: &TrackedAttempt,
    request: &CallerRequest,
    generation: u64,
) -> Result<StartedResponse, Refusal> {
    let peer = &attempt.peer;
    let message = submit_message(router, request, attempt, generation);
    let connection_lost = |detail: String| Refusal::unknown(RefusalReason::ConnectionLost, detail);
    let settle = async |refusal| {
        attempt
            .settle(router, refusal, request.deadline_unix_ms)
            .await
    };
    let channel = match peer.channel().await {
        Ok(channel) => channel,
        Err(error) => return Err(settle(connection_lost(error.to_string())).await),
    };
    let origin = channel.origin();
    let mut client = AgentClient::with_origin(channel, origin);
    attempt.is_submitted.set(true);
    let events = match client.submit(message).await {
        Ok(response) => response.into_inner(),
        Err(status) => return Err(settle(connection_lost(status.message().to_owned())).await),
    };
    peer.outstanding.set(peer.outstanding.get() + 1);
    let mut body = ResponseStream {
        node: router.node.clone(),
        events,
        peer: peer.clone(),
        received_bytes: 0,
    };
    let mut cold_start_ms = 0;
    loop {
        match body.next_event().await {
            Ok(AttemptEvent::Started(started)) => {
                attempt.is_started.set(true);
                cold_start_ms = started.cold_start_ms;
            }
            Ok(AttemptEvent::Head(head)) => {
                return Ok(StartedResponse {
                    head,
                    cold_start_ms,
                    body,
                });
            }
            Ok(AttemptEvent::Refused(refused)) => return Err(read_refusal(&refused)),
            Ok(_) => {}
            Err(refusal) => return Err(settle(refusal).await),
        }
    }
}

fn submit_message(
    router: &Router,
    request: &CallerRequest,
    attempt: &TrackedAttempt,
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
        attempt_id: attempt.id.to_string(),
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
        idempotent: request.is_idempotent,
        idempotency_key: request.idempotency_key.clone(),
        priority: request.weight,
        stream: request.stream,
        placement_generation: generation,
        hops: 0,
        fingerprint: request.fingerprint,
        agent_life: attempt.agent_incarnation.clone(),
        suspect: attempt.is_suspect,
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
