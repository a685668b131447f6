//! Responses of an upstream that end with their connection, before their end.

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpListener,
    pin::pin,
};

use celerystair_agent::{engine::EngineClient, upstream::call_upstream};
use celerystair_net::prelude::*;
use celerystair_protocol::{SubmitRequest, engine_api::EngineState};
use futures_util::StreamExt;

/// Answers one call with this response and closes its connection; with `has_ended`, it listens no more.
fn start_upstream(response: &'static str, has_ended: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection comes");
        let mut reader = BufReader::new(&stream);
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|bytes| bytes > 2) {
            line.clear();
        }
        (&stream)
            .write_all(response.as_bytes())
            .expect("the response is sent");
        if has_ended {
            drop(listener);
            return;
        }
        drop(stream);
        // Keeps its listener open.
        listener.accept().ok();
    });
    format!("http://{address}")
}

/// Calls such an upstream; returns the body if it is taken for whole.
fn call(response: &'static str, has_ended: bool) -> Option<String> {
    let url = start_upstream(response, has_ended);
    let request = SubmitRequest {
        method: "GET".to_owned(),
        path: "/run".to_owned(),
        ..Default::default()
    };
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let client = HttpClient::default();
        let response = call_upstream(&client, &url, &request).await.ok()?;
        let mut chunks = pin!(response.chunks);
        let mut body = String::new();
        while let Some(chunk) = chunks.next().await {
            body += &String::from_utf8_lossy(&chunk.ok()?);
        }
        Some(body)
    })
}

const TEXT: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nok";
const JSON: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json; x=y\r\n\r\n{\"a\": 1}";
const CUT_JSON: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"a\": ";
const NO_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
const CODED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok";
const FRAMED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Half of a JSON document, or nothing, was passed on as a complete response.
#[test]
fn a_response_that_is_cut_is_never_taken_for_whole() {
    for response in [CUT_JSON, NO_BODY, CODED] {
        assert_eq!(call(response, false), None, "{response}");
    }
}

#[test]
fn a_response_without_framing_that_ends_with_its_upstream_is_never_taken_for_whole() {
    for response in [TEXT, JSON] {
        assert_eq!(call(response, true), None, "{response}");
    }
}

// A status that HTTP doesn't have was passed on to the router.
#[test]
fn a_response_that_is_not_http_is_never_taken_for_whole() {
    for status_and_lines in [
        "000 x",
        "600 x",
        "101 x",
        "200 OK\r\nBad Name: x",
        "200 OK\r\nBad\x01Name: x",
    ] {
        let response = format!("HTTP/1.1 {status_and_lines}\r\nContent-Length: 2\r\n\r\nok");
        assert_eq!(call(response.clone().leak(), false), None, "{response:?}");
    }
}

#[test]
fn a_whole_response_is_passed_on() {
    assert_eq!(call(TEXT, false).as_deref(), Some("ok"));
    assert_eq!(call(JSON, false).as_deref(), Some("{\"a\": 1}"));
    for has_ended in [false, true] {
        assert_eq!(call(FRAMED, has_ended).as_deref(), Some("ok"));
    }
}

// Whatever an engine in trouble wrote was taken for its state if it could be read so.
#[test]
fn the_state_in_an_error_of_an_engine_is_not_taken_for_its_state() {
    let state = serde_json::to_string(&EngineState::default()).expect("the state is written");
    let ask = |status: &str| {
        let length = state.len();
        let response = format!("HTTP/1.1 {status} x\r\nContent-Length: {length}\r\n\r\n{state}");
        let url = start_upstream(response.leak(), false);
        let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
        let engine = EngineClient::new(&HttpClient::default(), &url);
        runtime.block_on(engine.state()).is_ok()
    };
    assert!(ask("200"));
    for status in ["500", "503", "404", "206"] {
        assert!(!ask(status), "{status}");
    }
}
