//! The agent's HTTP endpoint for metrics and health checks. See `docs/METRICS.md`.

use celerystair_net::{json::typed_response, prelude::*};
use compio::net::TcpListener;

use crate::agent::Agent;

/// Serves `/metrics` and `/healthz` until the agent's stop drains.
pub async fn serve_metrics(agent: Agent, listener: TcpListener) {
    let stop = agent.node.stop.clone();
    let answer = move |request: HttpRequest| {
        let agent = agent.clone();
        async move {
            match request.uri().path() {
                "/healthz" => typed_response(200, "text/plain", "ok\n"),
                "/metrics" => {
                    typed_response(200, "text/plain; version=0.0.4", render_metrics(&agent))
                }
                _ => typed_response(404, "text/plain", "no such path\n"),
            }
        }
    };
    serve_http(listener, stop, answer).await.ok();
}

/// Updates the gauges and returns all metrics in the text exposition format.
fn render_metrics(agent: &Agent) -> Vec<u8> {
    let gauges = &agent.node.metrics.gauges;
    let free_bytes = agent.ledger.borrow().free_bytes();
    gauges.waiting.record(agent.queue.waiting().into(), &[]);
    gauges.running.record(agent.queue.running().into(), &[]);
    gauges.free_memory_bytes.record(free_bytes, &[]);
    gauges
        .replicas
        .record(agent.replicas.all().len() as u64, &[]);
    agent.node.scrape()
}
