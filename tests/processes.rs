//! The roles as separate processes, and their planned stop.

mod support;

use std::pin::pin;

use celerystair::{core::prelude::*, platform::prelude::*, trial::fleet::set_instance_state};
use futures_util::StreamExt;
use serde_json::{Value, json};
use support::{block_on, processes::Process};

const READY_TIMEOUT_MS: u64 = 30_000;
const TOKENS: usize = 60;

struct System {
    router: Process,
    agent: Process,
    router_url: String,
    _platform: Process,
    _engine: Process,
}

async fn start_system() -> System {
    let loopback = "127.0.0.1:0";
    let mut platform = Process::start("standin", &json!({ "platform": { "listen": loopback } }));
    let platform_url = format!("http://{}", platform.standin_address());
    let engine_settings = json!({
        "engine": { "listen": loopback, "memory_bytes": 1000, "memory_bytes_per_second": 10_000,
            "disk_bytes_per_second": 10_000, "token_interval_ms": 20 },
    });
    let mut engine = Process::start("standin", &engine_settings);
    let engine_url = format!("http://{}", engine.standin_address());
    let process = json!({
        "failure_domain": "a", "platform": { "url": platform_url }, "log_format": "json",
        "stop_notice_ms": 500,
    });
    let client = cyper::Client::new().expect("a client");
    set_instance_state(&client, &platform_url, "engine-1.1", "live")
        .await
        .expect("an announcement");
    seed_model(&platform_url).await;
    let mut agent = Process::start(
        "agent",
        &json!({ "upstream": "engine-1", "instance": "engine-1.1", "upstream_kind": "engine",
            "upstream_url": engine_url, "pool": "engines", "listen": loopback, "process": process }),
    );
    agent.logged("fence");
    let mut router = Process::start(
        "router",
        &json!({ "router": "router-1", "listen": loopback, "peer_listen": loopback,
            "process": process }),
    );
    let router_url = format!("http://{}", router.logged("callers"));
    System {
        router,
        agent,
        router_url,
        _platform: platform,
        _engine: engine,
    }
}

async fn seed_model(platform_url: &str) {
    let settings = json!({ "url": platform_url });
    let store = Store::new(serde_json::from_value(settings).expect("settings")).expect("a store");
    let model = ModelObject {
        pool: "engines".to_owned(),
        version: "1".to_owned(),
        checkpoint_bytes: 400,
        kv_cache_bytes: 100,
        adapters: Vec::new(),
    };
    let written = store
        .put("models/m", &model, Expected::Absent, CallPriority::Normal)
        .await;
    written.expect("the model is written");
}

/// A streamed completion, once the router has placed the model.
async fn begin_stream(router_url: &str) -> cyper::Response {
    let client = cyper::Client::new().expect("a client");
    let body = json!({ "model": "m", "stream": true, "max_tokens": TOKENS, "prompt": "own words" });
    let give_up_unix_ms = now_unix_ms() + READY_TIMEOUT_MS;
    loop {
        let request = client
            .post(format!("{router_url}/v1/completions"))
            .expect("a request");
        let response = request
            .body(body.to_string())
            .send()
            .await
            .expect("an answer");
        if response.status() == 200 {
            return response;
        }
        let refusal: Value = response.json().await.expect("a problem document");
        assert_eq!(refusal["run"], "not_run", "{refusal}");
        assert!(now_unix_ms() < give_up_unix_ms, "{refusal}");
        sleep_ms(50).await;
    }
}

/// Reads a stream of which the first chunk is out, after `stop`, and checks that it is whole.
async fn read_over(response: cyper::Response, stop: impl FnOnce()) {
    let mut chunks = pin!(response.bytes_stream());
    let mut text = chunks
        .next()
        .await
        .expect("a chunk")
        .expect("a whole chunk")
        .to_vec();
    stop();
    while let Some(chunk) = chunks.next().await {
        text.extend_from_slice(&chunk.expect("the stream is not cut"));
    }
    let text = String::from_utf8(text).expect("text");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert_eq!(text.matches("data: {").count(), TOKENS + 1, "{text}");
}

#[test]
fn a_planned_stop_of_the_router_finishes_its_streams() {
    block_on(async {
        let mut system = start_system().await;
        let response = begin_stream(&system.router_url).await;
        read_over(response, || system.router.terminate()).await;
        assert!(system.router.wait().success());
    });
}

#[test]
fn a_planned_stop_of_the_agent_finishes_its_streams() {
    block_on(async {
        let mut system = start_system().await;
        let response = begin_stream(&system.router_url).await;
        read_over(response, || system.agent.terminate()).await;
        assert!(system.agent.wait().success());
    });
}
