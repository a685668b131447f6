//! How a server stops accepting connections.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, TcpListener, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::prelude::*;
use socket2::SockRef;

/// Far longer than a server may take to close its listener, whose connections end at once.
const CLOSING_MAX_MS: u64 = 5000;

/// Serves on `listener` while stopping; returns whether the server ends in time.
fn closes_in_time(listener: TcpListener) -> bool {
    listener.set_nonblocking(true).expect("a socket");
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let listener = compio::net::TcpListener::from_std(listener).expect("a listener");
        let stop = Stop::new();
        let respond = |_: HttpRequest| async { http::Response::new(HttpBody::empty()) };
        stop.drain();
        let serving = serve_http(listener, stop, respond);
        let served = before_deadline(now_unix_ms() + CLOSING_MAX_MS, serving).await;
        served.is_some()
    })
}

/// Callers that left no pause kept a stopping server accepting, until its work was cut.
#[test]
fn a_listener_that_callers_keep_busy_is_closed_in_time() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    let same_listener = listener.try_clone().expect("the listener can be shared");
    let is_over = AtomicBool::new(false);
    let in_time = std::thread::scope(|scope| {
        // Not every kernel applies a filter to opening packets.
        scope.spawn(|| {
            while !is_over.load(Ordering::SeqCst) {
                SockRef::from(&same_listener).detach_filter().ok();
                std::thread::sleep(Duration::from_micros(200));
            }
        });
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_over.load(Ordering::SeqCst) {
                    let Ok(mut caller) = TcpStream::connect(address) else {
                        return;
                    };
                    let timeout = Some(Duration::from_millis(100));
                    caller.set_read_timeout(timeout).expect("a timeout");
                    caller.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").ok();
                    caller.read_exact(&mut [0; 16]).ok();
                }
            });
        }
        let in_time = closes_in_time(listener);
        is_over.store(true, Ordering::SeqCst);
        in_time
    });
    assert!(in_time);
}
