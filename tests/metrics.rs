//! Metrics as scrapers read them, at a router and at an agent.

mod support;

use celerystair::trial::{caller::CallTarget, prelude::*};
use serde_json::json;
use support::{block_on, call_to, processes::Process, small_trial};

async fn scrape(url: &str) -> String {
    let client = cyper::Client::new().expect("a client");
    let request = client.get(url).expect("a request");
    let response = request.send().await.expect("an answer");
    response.text().await.expect("a text")
}

#[test]
fn a_router_counts_requests_and_names_no_model() {
    block_on(async {
        let settings = small_trial();
        let mut fleet = Fleet::start(&settings).await.expect("the fleet starts");
        let caller = Caller::new().expect("a caller");
        let completion = CallTarget::Completion {
            model: "m-1:a1".to_owned(),
            tokens: 4,
            stream: true,
            marker: "x".to_owned(),
        };
        let received = caller.call(&call_to(&fleet, completion)).await;
        assert_eq!(received.outcome, Outcome::Answered);
        let text = scrape(&format!("http://{}/metrics", fleet.router_addresses[0])).await;
        fleet.end();
        for name in [
            "celerystair_requests_total",
            "celerystair_first_byte_seconds_bucket",
            "celerystair_config_revision",
            "celerystair_store_calls",
        ] {
            assert!(text.contains(name), "{name} is missing in {text}");
        }
        assert!(!text.contains("m-1"), "a model is no label");
    });
}

#[test]
fn an_agent_serves_its_metrics() {
    let process = json!({
        "failure_domain": "a", "platform": { "url": "http://127.0.0.1:9" }, "log_format": "json",
    });
    let mut agent = Process::start(
        "agent",
        &json!({ "upstream": "s-1", "instance": "s-1.1", "upstream_kind": "service",
            "upstream_url": "http://127.0.0.1:9", "pool": "services", "listen": "127.0.0.1:0",
            "metrics_listen": "127.0.0.1:0", "process": process }),
    );
    let address = agent.logged("metrics");
    let text = block_on(scrape(&format!("http://{address}/metrics")));
    for name in [
        "celerystair_waiting",
        "celerystair_free_memory_bytes",
        "celerystair_draining",
    ] {
        assert!(text.contains(name), "{name} is missing in {text}");
    }
}
