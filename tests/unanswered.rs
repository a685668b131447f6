//! A connection that ends with a request read and not answered is reported, with the reason.

mod support;

use std::{
    cell::RefCell,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
};

use celerystair::{core::prelude::*, net::prelude::*};
use support::block_on;

type Reports = Rc<RefCell<Vec<UnansweredRequest>>>;

const GET: &[u8] = b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n";

#[test]
fn a_caller_that_leaves_before_its_answer_is_reported() {
    let reports = reports_after(|address| {
        let mut caller = TcpStream::connect(address).expect("a connection");
        caller.write_all(GET).expect("the request is sent");
        std::thread::sleep(std::time::Duration::from_millis(200));
    });
    assert_eq!(ends(&reports), [ConnectionEnd::Caller]);
    assert_eq!(reports[0].head_bytes, 0);
}

#[test]
fn a_response_that_is_broken_off_is_reported() {
    let reports = reports_after(|address| {
        exchange(address, b"GET /broken HTTP/1.1\r\nHost: x\r\n\r\n");
    });
    assert_eq!(ends(&reports), [ConnectionEnd::ResponseBroken]);
}

/// Its caller would otherwise see an end without a byte, and not whether its request was read.
#[test]
fn a_handler_that_panics_is_answered_and_reported() {
    let reports = reports_after(|address| {
        let received = exchange(address, b"GET /panic HTTP/1.1\r\nHost: x\r\n\r\n");
        assert!(received.starts_with("HTTP/1.1 500 "), "{received:?}");
        assert!(received.contains("connection: close"), "{received:?}");
    });
    assert_eq!(ends(&reports), [ConnectionEnd::Panic]);
    assert!(reports[0].detail.contains("of this test"));
}

#[test]
fn answered_requests_are_not_reported() {
    let reports = reports_after(|address| {
        let mut caller = TcpStream::connect(address).expect("a connection");
        let requests: [&[u8]; 3] = [
            b"GET /chunks HTTP/1.1\r\nHost: x\r\n\r\n",
            b"HEAD /full HTTP/1.1\r\nHost: x\r\n\r\n",
            b"POST /full HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody",
        ];
        for request in requests {
            caller.write_all(request).expect("the request is sent");
            assert!(caller.read(&mut [0; 4096]).expect("a response") > 0);
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
    });
    assert_eq!(ends(&reports), []);
}

/// A length that was reached ends a response: the server reads its body no further.
#[test]
fn answers_that_end_by_their_length_are_not_reported_as_unanswered() {
    let reports = reports_after(|address| {
        let mut caller = TcpStream::connect(address).expect("a connection");
        for path in ["/empty", "/empty-without-length", "/known-length"] {
            let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
            caller
                .write_all(request.as_bytes())
                .expect("the request is sent");
            let mut received = [0; 4096];
            let count = caller.read(&mut received).expect("a response");
            assert!(received[..count].starts_with(b"HTTP/1.1 200 "), "{path}");
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
    });
    assert_eq!(ends(&reports), []);
}

#[test]
fn a_response_that_is_shorter_than_its_length_is_reported() {
    let reports = reports_after(|address| {
        exchange(address, b"GET /short HTTP/1.1\r\nHost: x\r\n\r\n");
    });
    assert_eq!(ends(&reports).len(), 1);
}

fn ends(reports: &[UnansweredRequest]) -> Vec<ConnectionEnd> {
    reports.iter().map(|report| report.end).collect()
}

/// Sends bytes and returns all that comes back until the connection ends.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut caller = TcpStream::connect(address).expect("a connection");
    caller.write_all(bytes).expect("the request is sent");
    let mut received = Vec::new();
    caller.read_to_end(&mut received).ok();
    String::from_utf8_lossy(&received).into_owned()
}

/// Runs `call` against a server, and returns what the server reported until shortly after.
fn reports_after(call: impl FnOnce(SocketAddr) + Send + 'static) -> Vec<UnansweredRequest> {
    block_on(async {
        let listener = bind(([127, 0, 0, 1], 0).into()).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (reports, stop) = (Reports::default(), Stop::new());
        let kept = reports.clone();
        let report = move |request: &UnansweredRequest| kept.borrow_mut().push(request.clone());
        let draining = Draining::after_notice(0);
        let serving = serve_http_limited(
            listener,
            stop.clone(),
            draining,
            default_limits,
            report,
            answer,
        );
        compio::runtime::spawn(async move { serving.await.ok() }).detach();
        let calling = std::thread::spawn(move || call(address));
        while !calling.is_finished() {
            sleep_ms(10).await;
        }
        calling.join().expect("the call ends");
        sleep_ms(200).await;
        stop.end();
        reports.take()
    })
}

async fn answer(request: HttpRequest) -> HttpResponse {
    let chunk = || Ok("part".into());
    let body = match request.uri().path() {
        "/slow" => {
            sleep_ms(60_000).await;
            HttpBody::empty()
        }
        "/broken" => HttpBody::chunks(futures_util::stream::iter([chunk(), Err(BodyError)])),
        "/chunks" => HttpBody::chunks(futures_util::stream::iter([chunk()])),
        "/empty" => return with_length(0, HttpBody::full("")),
        "/empty-without-length" => HttpBody::full(""),
        "/known-length" => {
            let body = HttpBody::chunks(futures_util::stream::iter([chunk(), chunk()]));
            return with_length(8, body);
        }
        "/short" => {
            let body = HttpBody::chunks(futures_util::stream::iter([chunk()]));
            return with_length(8, body);
        }
        "/panic" => panic!("a panic of this test"),
        _ => HttpBody::full("answer"),
    };
    http::Response::new(body)
}

fn with_length(length_bytes: u64, body: HttpBody) -> HttpResponse {
    let mut response = http::Response::new(body);
    let length = http::HeaderValue::from(length_bytes);
    response
        .headers_mut()
        .insert(http::header::CONTENT_LENGTH, length);
    response
}
