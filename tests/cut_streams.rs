//! Streams of an upstream that break off, as an agent passes them on.

#[path = "support/rig.rs"]
mod rig;

use std::{
    io::{Read, Write},
    net::TcpListener,
};

use celerystair::{config::prelude::*, core::prelude::*};
use rig::{Rig, agent_settings, submit_for_body};

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
    read_from_upstream(body).1
}

/// The same, and gives the body that the agent passed on.
fn read_from_upstream(body: &'static str) -> (String, Result<(), RefusalReason>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async move {
        let rig = Rig::start();
        let settings = AgentSettings {
            upstream_kind: UpstreamKind::Service,
            ..agent_settings(&rig, "u-a", &start_upstream(body))
        };
        let agent = rig.agent(settings, &rig.stop).await;
        let life = &agent.agent.incarnation;
        let mut body = Vec::new();
        let sent_unix_ms = now_unix_ms();
        let result = submit_for_body(agent.address, life, "", sent_unix_ms, &mut body).await;
        (String::from_utf8_lossy(&body).into_owned(), result)
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

// An agent passed an upstream's error in the middle of a stream on as an event.
#[test]
fn an_error_after_an_event_never_leaves_the_agent() {
    const ANSWERS: [&str; 3] = [
        "data: one\n\nHTTP/1.1 500 x\r\nContent-Length: 9\r\n\r\nbad error",
        "data: one\n\nbad error\n\ndata: two\n\n",
        "data: one\n\n{\"error\": \"bad\"}\n\n",
    ];
    for answer in ANSWERS {
        let (body, result) = read_from_upstream(answer);
        assert_eq!(body, "data: one\n\n", "{answer}");
        assert_eq!(result, Err(RefusalReason::UpstreamFailed), "{answer}");
    }
}

#[test]
fn events_with_every_field_and_comments_leave_the_agent_as_they_are() {
    const ANSWER: &str = ": wait\n\nevent: token\nid: 7\nretry: 10\ndata: HTTP/1.1 500 x\n\n\
        id: 7\ndata: again\r\n\r\ndata: [DONE]\n\n";
    assert_eq!(read_from_upstream(ANSWER), (ANSWER.to_owned(), Ok(())));
}
