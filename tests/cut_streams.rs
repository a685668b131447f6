//! Streams of an upstream that break off, as an agent passes them on.

#[path = "support/rig.rs"]
mod rig;

use std::{
    io::{Read, Write},
    net::TcpListener,
};

use celerystair::{config::prelude::*, core::prelude::*};
use rig::{Rig, agent_settings, submit};

/// Starts an upstream that ends each response without a length or chunks; returns its URL.
fn start_upstream(body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4096];
            if stream.read(&mut request).is_ok_and(|count| count > 0) {
                let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
                stream.write_all((head.to_owned() + body).as_bytes()).ok();
            }
        }
    });
    format!("http://{address}")
}

/// Submits a request to an agent beside an upstream with this response.
fn submit_to_upstream(body: &'static str) -> Result<(), RefusalReason> {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async move {
        let rig = Rig::start();
        let settings = AgentSettings {
            upstream_kind: UpstreamKind::Service,
            ..agent_settings(&rig, "u-a", &start_upstream(body))
        };
        let agent = rig.agent(settings, &rig.stop).await;
        submit(agent.address, &agent.agent.incarnation, "").await
    })
}

// An agent passed a stream that broke off inside an event on as a complete one.
#[test]
fn a_stream_that_ends_inside_an_event_is_not_complete_at_the_agent() {
    let result = submit_to_upstream("data: one\n\ndata: tw");
    assert_eq!(result, Err(RefusalReason::UpstreamFailed));
}

#[test]
fn a_whole_stream_without_framing_is_complete_at_the_agent() {
    assert_eq!(submit_to_upstream("data: one\n\ndata: two\n\n"), Ok(()));
}
