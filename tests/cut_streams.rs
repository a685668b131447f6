//! Streams of an upstream that break off, as an agent passes them on.

#[path = "support/rig.rs"]
mod rig;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
};

use celerystair::{
    config::prelude::*,
    core::prelude::*,
    platform::{
        objects::SERVICE_KEY_PREFIX,
        prelude::{CallPriority, Expected, ServiceObject},
    },
};
use rig::{Rig, agent_settings, submit_for_chunks, wait_until};

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
    let (chunks, result) = read_chunks_from_upstream(body);
    let body = chunks.concat();
    (String::from_utf8_lossy(&body).into_owned(), result)
}

/// The same, and gives the chunks in which the agent passed it on.
fn read_chunks_from_upstream(body: &'static str) -> (Vec<Vec<u8>>, Result<(), RefusalReason>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async move {
        let rig = Rig::start();
        let settings = AgentSettings {
            upstream_kind: UpstreamKind::Service,
            ..agent_settings(&rig, "u-a", &start_upstream(body))
        };
        let agent = rig.agent(settings, &rig.stop).await;
        let life = &agent.agent.incarnation;
        let mut chunks = Vec::new();
        let sent_unix_ms = now_unix_ms();
        let result = submit_for_chunks(agent.address, life, "", sent_unix_ms, &mut chunks).await;
        (chunks, result)
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

// An agent passed an empty chunk on before it refused, after which a router doesn't repeat the request.
#[test]
fn an_error_before_any_event_leaves_the_agent_as_a_refusal_alone() {
    let (chunks, result) = read_chunks_from_upstream("bad error\n\n");
    assert_eq!(chunks, Vec::<Vec<u8>>::new());
    assert_eq!(result, Err(RefusalReason::UpstreamFailed));
}

#[test]
fn events_with_every_field_and_comments_leave_the_agent_as_they_are() {
    const ANSWER: &str = ": wait\n\nevent: token\nid: 7\nretry: 10\ndata: HTTP/1.1 500 x\n\n\
        id: 7\ndata: again\r\n\r\ndata: [DONE]\n\n";
    assert_eq!(read_from_upstream(ANSWER), (ANSWER.to_owned(), Ok(())));
}

/// Reads a stream from a service through a router and an agent, up to the end of the connection. It is too
/// long to be buffered, so the router passes it on as it comes.
fn read_through_router(body: &'static str) -> String {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async move {
        let rig = Rig::start();
        rig.configure(FleetDocument {
            revision: 1,
            ..FleetDocument::default()
        })
        .await;
        let service = ServiceObject {
            pool: "feeds".to_owned(),
            idempotent_methods: vec!["GET".to_owned()],
        };
        let key = format!("{SERVICE_KEY_PREFIX}feed");
        let store = &rig.store;
        let written = store.put(&key, &service, Expected::Absent, CallPriority::Normal);
        written.await.expect("the service is written");
        let settings = AgentSettings {
            upstream_kind: UpstreamKind::Service,
            pool: service.pool,
            ..agent_settings(&rig, "u-a", &start_upstream(body))
        };
        let _agent = rig.agent(settings, &rig.stop).await;
        let router = rig.router(&rig.stop).await;
        let node = &router.router.node;
        wait_until("the router knows the service", async || {
            node.agents.get("u-a").is_some()
                && node.services.get("feed").is_some()
                && node.instances.state("u-a.1").is_some()
        })
        .await;
        let address = router.address;
        let reading = std::thread::spawn(move || read_feed(address));
        wait_until("the response ends", async || reading.is_finished()).await;
        reading.join().expect("the response is read")
    })
}

fn read_feed(router: SocketAddr) -> String {
    let mut caller = TcpStream::connect(router).expect("a connection");
    let request = "GET /services/feed/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
        celerystair-organisation: office\r\ncelerystair-kind: draft\r\n\
        Request-Timeout-Ms: 20000\r\n\r\n";
    caller.write_all(request.as_bytes()).expect("a request");
    let mut received = Vec::new();
    caller.read_to_end(&mut received).ok();
    String::from_utf8_lossy(&received).into_owned()
}

/// Whole events of one line, longer than a router buffers.
fn long_events() -> String {
    const LONGER_THAN_BUFFERED_BYTES: usize = 4 << 20;
    let event = format!("data: {}\n\n", "x".repeat(1000));
    event.repeat(LONGER_THAN_BUFFERED_BYTES / event.len())
}

// A router wrote its error event after the beginning of another one, which became a part of that.
#[test]
fn a_router_never_ends_half_an_event_with_an_error() {
    let received = read_through_router((long_events() + "data: tw").leak());
    assert!(received.starts_with("HTTP/1.1 200 "), "{received:.200}");
    assert!(!received.contains("event: error"), "{:?}", last(&received));
    assert!(!received.ends_with("0\r\n\r\n"), "{:?}", last(&received));
}

#[test]
fn a_router_ends_a_stream_that_breaks_off_between_events_with_an_error() {
    let received = read_through_router((long_events() + "bad error\n\n").leak());
    assert!(received.contains("event: error\n"), "{:?}", last(&received));
    assert!(!received.ends_with("0\r\n\r\n"), "{:?}", last(&received));
}

fn last(received: &str) -> &str {
    &received[received.len().saturating_sub(300)..]
}
