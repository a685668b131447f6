//! Holds where streams began, for routers that are asked to take them up and don't know it. An agent
//! outlives a router's process.

use std::net::SocketAddr;

use celerystair_core::prelude::*;
use celerystair_news::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::prelude::*;

use crate::agent::EngineAgent;

/// Records where streams began, as a router has told.
pub fn record_origins(agent: &EngineAgent, origins: &[(StreamId, Option<StreamOrigin>)]) {
    let now = now_unix_ms();
    let mut known = agent.stream_origins.borrow_mut();
    for (stream, origin) in origins {
        if let Some(origin) = origin {
            known.insert(*stream, origin.clone(), now);
        }
    }
}

/// Answers a router that asks where streams began, also about those that this agent doesn't know.
pub async fn send_origins(agent: &EngineAgent, streams: &[StreamId], router: SocketAddr) {
    let answers: Vec<(StreamId, Option<StreamOrigin>)> = {
        let known = agent.stream_origins.borrow();
        let answers = streams.iter().flat_map(|stream| {
            let origins = known.all(*stream).cloned().map(Some);
            let mut answers: Vec<(StreamId, Option<StreamOrigin>)> =
                origins.map(|origin| (*stream, origin)).collect();
            if answers.is_empty() {
                answers.push((*stream, None));
            }
            answers
        });
        answers.collect()
    };
    let message = GossipMessage::StreamOrigins(answers);
    if let Err(error) = agent.gossip_socket.send_to(&message, router).await {
        debug!(agent.log, "news_not_sent"; "to" => %router, "error" => %error);
    }
}
