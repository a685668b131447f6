//! Calls to an upstream that writes an earlier response once more.

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpListener,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use celerystair_agent::upstream::call_upstream;
use celerystair_core::prelude::*;
use celerystair_net::prelude::*;
use celerystair_protocol::SubmitRequest;
use futures_util::StreamExt;

const NOT_HERE: &str = "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n";
const ANSWER_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
const ANSWER_BODY: &str = "ok";
/// The body of an answer comes so long after its head.
const BODY_DELAY: Duration = Duration::from_millis(30);

/// Refuses requests to `/refuse` and runs others, with its last refusal on the connection once more
/// before the answer; returns its URL and the number of open connections.
fn start_upstream() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    let open: Arc<AtomicUsize> = Arc::default();
    let counted = open.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let open = counted.clone();
            open.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                let mut earlier = "";
                while let Some(request_line) = read_request(&mut reader) {
                    let write = |text: &str| (&stream).write_all(text.as_bytes()).is_ok();
                    let is_open = if request_line.contains("/refuse") {
                        earlier = NOT_HERE;
                        write(NOT_HERE)
                    } else {
                        let has_head = write(&(earlier.to_owned() + ANSWER_HEAD));
                        std::thread::sleep(BODY_DELAY);
                        has_head && write(ANSWER_BODY)
                    };
                    if !is_open {
                        break;
                    }
                }
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (format!("http://{address}"), open)
}

/// Reads a request with a body of one byte; returns its first line.
fn read_request(reader: &mut impl BufRead) -> Option<String> {
    let mut request_line = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if request_line.is_empty() {
            request_line.clone_from(&line);
        }
        if line.trim().is_empty() {
            reader.read_exact(&mut [0]).ok()?;
            return Some(request_line);
        }
    }
}

fn request(path: &str, idempotent: bool) -> SubmitRequest {
    SubmitRequest {
        method: "POST".to_owned(),
        path: path.to_owned(),
        body: "x".into(),
        idempotent,
        ..Default::default()
    }
}

async fn call(client: &HttpClient, url: &str, request: &SubmitRequest) -> (u16, String) {
    let response = call_upstream(client, url, request).await;
    let response = response.expect("the upstream answers");
    let mut chunks = pin!(response.chunks);
    let mut body = String::new();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.expect("the body is complete");
        body += &String::from_utf8_lossy(&chunk);
    }
    (response.status, body)
}

// The outcome of a call that may run once was an earlier response, which its engine wrote again.
#[test]
fn a_call_that_may_run_once_meets_no_earlier_response() {
    let (url, open) = start_upstream();
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let client = HttpClient::default();
        for is_first_repeatable in [true, false, true, false] {
            let first = request("/refuse", is_first_repeatable);
            assert_eq!(call(&client, &url, &first).await.0, 404);
            let (status, body) = call(&client, &url, &request("/run", false)).await;
            assert_eq!((status, body.as_str()), (200, ANSWER_BODY));
        }
        sleep_ms(100).await;
        assert!(open.load(Ordering::SeqCst) <= 1, "own connections end");
    });
}
