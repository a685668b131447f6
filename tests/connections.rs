//! Connections between processes, when a peer stalls.

mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use celerystair::{
    core::{prelude::*, time::before_deadline},
    net::{prelude::*, timer::ConnectionTimer},
    protocol::{FetchConfigRequest, peer_client::PeerClient},
};
use hyper::rt::Timer;
use support::block_on;

#[test]
fn a_sleep_may_be_polled_again_once_it_has_ended() {
    block_on(async {
        let mut sleep = ConnectionTimer.sleep(Duration::from_millis(1));
        sleep.as_mut().await;
        sleep.as_mut().await;
    });
}

/// A peer that takes a connection, reads, and never answers: the call ends with an error.
#[test]
fn a_call_to_a_peer_that_stalls_ends_with_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let Ok((mut stream, _)) = listener.accept() else {
            return;
        };
        let mut bytes = [0; 1024];
        while stream.read(&mut bytes).is_ok_and(|count| count > 0) {}
    });
    block_on(async {
        let channel = Connection::new(address).channel().await.expect("a channel");
        let origin = channel.origin();
        let mut client = PeerClient::with_origin(channel, origin);
        let call = async { client.fetch_config(FetchConfigRequest::default()).await };
        let reply = before_deadline(now_unix_ms() + 60_000, call).await;
        assert!(reply.expect("the call ends by itself").is_err());
    });
}

/// Calls a server on new connections until it turns one away; returns how many were left unanswered.
fn unanswered_until_closed(address: SocketAddr) -> usize {
    const CONNECT_MAX: Duration = Duration::from_millis(500);
    // Long enough for the queue to be empty between two connections.
    const PAUSE: Duration = Duration::from_millis(20);
    let mut unanswered = 0;
    while let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_MAX) {
        let sent = stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        let received = sent.and_then(|()| stream.read(&mut [0; 512]));
        unanswered += usize::from(!received.is_ok_and(|count| count > 0));
        std::thread::sleep(PAUSE);
    }
    unanswered
}

// A connection that was complete between the last look at the queue and the close was reset.
#[test]
fn no_connection_that_is_complete_as_a_listener_closes_is_left_unanswered() {
    const ROUNDS: usize = 20;
    const CALLERS: usize = 2;
    for round in 0..ROUNDS {
        let callers = block_on(async {
            let listener = bind(([127, 0, 0, 1], 0).into()).expect("a listener");
            let address = listener.local_addr().expect("an address");
            let stop = Stop::new();
            let handle = |_| async { http::Response::new(HttpBody::full("served")) };
            let serving = compio::runtime::spawn(serve_http(listener, stop.clone(), handle));
            let callers = [(); CALLERS]
                .map(|()| std::thread::spawn(move || unanswered_until_closed(address)));
            sleep_ms(100).await;
            stop.drain();
            serving.await.expect("the server's task").expect("it ends");
            callers
        });
        let unanswered = callers.map(|caller| caller.join().expect("a caller"));
        assert_eq!(unanswered, [0; CALLERS], "round {round}");
    }
}

/// Far longer than the test takes on any machine.
const LONG_NOTICE_MS: u64 = 600_000;

#[test]
fn a_server_whose_stop_has_begun_answers_late_callers_and_asks_them_to_close() {
    block_on(async {
        let listener = bind(([127, 0, 0, 1], 0).into()).expect("a listener");
        let url = format!("http://{}/", listener.local_addr().expect("an address"));
        let stop = Stop::new();
        let handle = |_| async { http::Response::new(HttpBody::full("served")) };
        let serving = serve_http_with_notice(listener, stop.clone(), LONG_NOTICE_MS, handle);
        let serving = compio::runtime::spawn(serving);
        let early = cyper::Client::new().expect("a client");
        assert!(!asks_to_close(&early, &url).await);
        stop.drain();
        assert!(asks_to_close(&early, &url).await, "on a connection it has");
        let late = cyper::Client::new().expect("a client");
        assert!(asks_to_close(&late, &url).await, "on a new connection");
        stop.end();
        serving.await.expect("the server's task").expect("it ends");
    });
}

/// Makes a call that must be answered; whether its answer closes the connection.
async fn asks_to_close(client: &cyper::Client, url: &str) -> bool {
    let request = client.get(url).expect("a request");
    let response = request.send().await.expect("an answer");
    let closes = response.headers().get("connection").is_some();
    assert_eq!(response.text().await.expect("a body"), "served");
    closes
}
