//! The gRPC service that routers and other agents call.

use std::pin::Pin;

use celerystair_core::{prelude::*, time::to_local_unix_ms};
use celerystair_protocol::{
    AttemptState, BidReply, BidRequest, CheckpointTier, ProbeReply, ProbeRequest, SettleReply,
    SettleRequest, SubmitEvent, SubmitRequest, agent_server,
};
use futures_util::Stream;
use send_wrapper::SendWrapper;
use tonic::{Request, Response, Status};

use crate::{agent::Agent, answer::serve_attempt, attempts::AttemptPhase, news::news, slots};

/// Capacity of the event buffer between an attempt and its router.
const EVENTS_MAX: usize = 16;

/// Implements the `Agent` gRPC service; must stay on the agent's thread.
pub struct AgentService {
    agent: SendWrapper<Agent>,
}

impl AgentService {
    /// Creates the service of `agent`.
    pub fn new(agent: &Agent) -> Self {
        Self {
            agent: SendWrapper::new(agent.clone()),
        }
    }
}

#[tonic::async_trait]
impl agent_server::Agent for AgentService {
    type SubmitStream = Pin<Box<dyn Stream<Item = Result<SubmitEvent, Status>> + Send>>;

    async fn submit(
        &self,
        request: Request<SubmitRequest>,
    ) -> Result<Response<Self::SubmitStream>, Status> {
        let mut request = request.into_inner();
        self.agent.node.observe(request.stamp.as_ref());
        let sent_unix_ms = request.stamp.as_ref().map_or(0, |stamp| stamp.sent_unix_ms);
        request.deadline_unix_ms =
            to_local_unix_ms(request.deadline_unix_ms, sent_unix_ms, now_unix_ms());
        let (events, stream) = async_channel::bounded(EVENTS_MAX);
        let agent = Agent::clone(&self.agent);
        compio::runtime::spawn(async move { serve_attempt(&agent, &request, &events).await })
            .detach();
        Ok(Response::new(Box::pin(stream)))
    }

    async fn settle(
        &self,
        request: Request<SettleRequest>,
    ) -> Result<Response<SettleReply>, Status> {
        let request = request.into_inner();
        self.agent.node.observe(request.stamp.as_ref());
        let state = if request.agent_life == self.agent.incarnation {
            match self
                .agent
                .attempts
                .settle(&AttemptId::from(request.attempt_id))
            {
                AttemptPhase::NotRun | AttemptPhase::Queued => AttemptState::NotRun,
                AttemptPhase::Started => AttemptState::Started,
                AttemptPhase::Done => AttemptState::Done,
            }
        } else {
            // The states of an earlier incarnation's attempts are lost.
            AttemptState::Unspecified
        };
        Ok(Response::new(SettleReply {
            stamp: self.agent.node.stamp(),
            state: state.into(),
            news: Some(news(&self.agent, None)),
        }))
    }

    async fn probe(&self, request: Request<ProbeRequest>) -> Result<Response<ProbeReply>, Status> {
        self.agent.node.observe(request.into_inner().stamp.as_ref());
        let reply = ProbeReply {
            stamp: self.agent.node.stamp(),
            news: Some(news(&self.agent, None)),
        };
        Ok(Response::new(reply))
    }

    async fn bid(&self, request: Request<BidRequest>) -> Result<Response<BidReply>, Status> {
        let request = request.into_inner();
        self.agent.node.observe(request.stamp.as_ref());
        let agent = Agent::clone(&self.agent);
        let state = SendWrapper::new(async move {
            match &agent.engine {
                Some(engine) => engine.state().await.ok(),
                None => None,
            }
        })
        .await;
        let state =
            state.ok_or_else(|| Status::unavailable("the engine does not report its state"))?;
        let holds = |models: &[ModelName]| models.iter().any(|m| m.as_str() == request.model);
        let tier = if holds(&state.in_memory) {
            CheckpointTier::Memory
        } else if holds(&state.on_disk) {
            CheckpointTier::Disk
        } else {
            CheckpointTier::Remote
        };
        Ok(Response::new(BidReply {
            stamp: self.agent.node.stamp(),
            tier: tier.into(),
            free_memory_bytes: self.agent.ledger.borrow().free_bytes(),
            expected_load_ms: self.agent.replicas.expected_load_ms(),
            slots: slots::held_count(&self.agent),
            fits: state.memory_bytes >= request.memory_bytes,
            leaving: slots::is_leaving(&self.agent),
        }))
    }
}
