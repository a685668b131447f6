//! Calls of the HTTP client to peers that answer in odd ways.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc,
    },
    time::Duration,
};

use bytes::Bytes;
use celerystair_net::prelude::*;
use futures_util::future::join;
use http::Request;

const BODY_MAX_BYTES: usize = 1000;

/// Serves each connection with `serve`; returns the URL and the number of connections.
fn start_peer(serve: fn(TcpStream)) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    let connections: Arc<AtomicUsize> = Arc::default();
    let counted = connections.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            counted.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || serve(stream));
        }
    });
    (format!("http://{address}/"), connections)
}

fn reads_request(mut stream: &TcpStream) -> bool {
    stream.read(&mut [0; 4096]).is_ok_and(|bytes| bytes > 0)
}

async fn fetch(client: &HttpClient, url: &str) -> Result<usize, ClientError> {
    let request = Request::get(url).body(Bytes::new()).expect("a request");
    let response = client.fetch(request, BODY_MAX_BYTES).await?;
    Ok(response.body().len())
}

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(test);
}

#[test]
fn a_body_up_to_the_limit_is_read_and_a_longer_one_fails() {
    fn serve(mut stream: TcpStream) {
        let mut request = [0; 4096];
        while let Ok(bytes @ 1..) = stream.read(&mut request) {
            let text = String::from_utf8_lossy(&request[..bytes]);
            let path = text.split(' ').nth(1).unwrap_or_default();
            let body_bytes: usize = path[2..].parse().expect("a length");
            let body = "x".repeat(body_bytes);
            let response = if path.starts_with("/l") {
                format!("HTTP/1.1 200 x\r\nContent-Length: {body_bytes}\r\n\r\n{body}")
            } else {
                let chunk = format!("{body_bytes:x}\r\n{body}\r\n0\r\nX-Trailer: x\r\n\r\n");
                format!(
                    "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}"
                )
            };
            stream.write_all(response.as_bytes()).ok();
        }
    }
    let (url, connections) = start_peer(serve);
    let too_long = ClientError::TooLong {
        part: "body",
        max_bytes: BODY_MAX_BYTES,
    };
    run(async {
        let client = HttpClient::default();
        for (path, expected) in [
            ("l10", Ok(10)),
            ("c10", Ok(10)),
            ("l1000", Ok(1000)),
            ("c1000", Ok(1000)),
        ] {
            assert_eq!(fetch(&client, &format!("{url}{path}")).await, expected);
        }
        assert_eq!(connections.load(Ordering::SeqCst), 1, "it is kept");
        for path in ["l1001", "c1001", "c100000"] {
            let fetched = fetch(&client, &format!("{url}{path}")).await;
            assert_eq!(fetched, Err(too_long.clone()));
        }
    });
}

// Whether a request may have been carried out decides whether it may be repeated.
#[test]
fn only_a_request_that_was_not_written_counts_as_not_sent() {
    let closed = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = closed.local_addr().expect("the listener has an address");
    drop(closed);
    let (closing, _) = start_peer(|stream| {
        reads_request(&stream);
    });
    run(async {
        let client = HttpClient::default();
        let refused = fetch(&client, &format!("http://{address}/")).await;
        assert!(
            matches!(refused, Err(ClientError::Unreachable { .. })),
            "{refused:?}"
        );
        let cut = fetch(&client, &closing).await;
        assert!(
            matches!(cut, Err(ClientError::Interrupted { .. })),
            "{cut:?}"
        );
    });
}

#[test]
fn a_kept_connection_that_its_peer_has_closed_is_replaced() {
    let (url, connections) = start_peer(|stream| {
        reads_request(&stream);
        let response = "HTTP/1.1 200 x\r\nContent-Length: 1\r\n\r\nx";
        (&stream).write_all(response.as_bytes()).ok();
    });
    run(async {
        let client = HttpClient::default();
        for _ in 0..3 {
            assert_eq!(fetch(&client, &url).await, Ok(1));
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    assert_eq!(connections.load(Ordering::SeqCst), 3);
}

/// Calls a peer that answers with these bytes and keeps the connection open.
fn fetch_answer(answer: &str) -> Result<usize, ClientError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    let answer = answer.to_owned();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection comes");
        while reads_request(&stream) {
            stream.write_all(answer.as_bytes()).ok();
        }
    });
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    let client = HttpClient::default();
    runtime.block_on(fetch(&client, &format!("http://{address}/")))
}

/// Beginnings of heads that are not HTTP, by their status or a line.
const ODD_HEADS: [&str; 19] = [
    "000 x",
    "099 x",
    "20 x",
    "1000 x",
    "2a0 x",
    "600 x",
    "999 x",
    "101 x",
    "200 \0",
    "200 x\r\nBad Name: x",
    "200 x\r\nBad\tName: x",
    "200 x\r\nBad\x01Name: x",
    "200 x\r\nBad\x7fName: x",
    "200 x\r\n: x",
    "200 x\r\n Name: x",
    "200 x\r\nName",
    "200 x\r\nContent-Length : 1",
    "200 x\r\nName: \0",
    "200 x\r\nName: x\r\n folded",
];

#[test]
fn an_answer_that_is_not_http_is_interrupted() {
    assert_eq!(
        fetch_answer("HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok"),
        Ok(2)
    );
    for head in ODD_HEADS {
        let answer = fetch_answer(&format!("HTTP/1.1 {head}\r\nContent-Length: 2\r\n\r\nok"));
        assert!(
            matches!(answer, Err(ClientError::Interrupted { .. })),
            "{head:?}: {answer:?}"
        );
    }
}

// The kernel reported the reset to the write alone, and the end that was read looked like the answer's own.
#[test]
fn an_answer_that_is_reset_during_the_upload_is_interrupted() {
    for is_ended_first in [false, true] {
        let answer = upload_beside_reset(is_ended_first);
        assert!(
            matches!(answer, Err(ClientError::Interrupted { .. })),
            "ended first: {is_ended_first}, {answer:?}"
        );
    }
}

/// Uploads to a peer that reads the beginning, answers without a length and closes the connection with unread
/// bytes, after ending its side if `is_ended_first`. The client's thread stands still meanwhile.
fn upload_beside_reset(is_ended_first: bool) -> Result<usize, ClientError> {
    /// More than the kernel buffers of a connection.
    const UPLOAD_BYTES: usize = 12_000_000;
    /// How long the client may take to fill those buffers.
    const WRITING: Duration = Duration::from_millis(20);
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    let (send_step, steps) = mpsc::channel();
    let (send_standstill, standstills) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection comes");
        stream.read_exact(&mut [0; 64]).expect("a request comes");
        send_step.send(()).expect("the client waits");
        standstills.recv().expect("the client stands still");
        let answer = b"HTTP/1.1 200 OK\r\n\r\na part";
        stream.write_all(answer).expect("the answer is written");
        if is_ended_first {
            stream.shutdown(Shutdown::Write).expect("its side ends");
        }
        drop(stream);
        send_step.send(()).expect("the client waits");
    });
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let client = HttpClient::default();
        let body = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
        let request = Request::post(format!("http://{address}/")).body(body);
        let fetching = client.fetch(request.expect("a request"), BODY_MAX_BYTES);
        let standing_still = async {
            while steps.try_recv().is_err() {
                compio::time::sleep(Duration::from_millis(1)).await;
            }
            compio::time::sleep(WRITING).await;
            send_standstill.send(()).expect("the peer waits");
            steps.recv().expect("the connection is closed");
        };
        let (response, ()) = join(fetching, standing_still).await;
        Ok(response?.body().len())
    })
}
