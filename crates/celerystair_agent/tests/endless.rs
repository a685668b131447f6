//! Engines that answer orders, and requests for their state, without end.

use std::{
    io::{Read, Write},
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use celerystair_agent::engine::EngineClient;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::prelude::*;

/// What is read of a response and what the sockets buffer of it.
const TAKEN_MAX_BYTES: usize = 16 * 1024 * 1024;
const ANSWER_TIME_MAX_MS: u64 = 1900;
const PIECE_BYTES: usize = 64 * 1024;

/// Answers each request with `head`, then `piece` until the connection is closed; returns its URL and the
/// number of bytes that were taken.
fn start_engine(head: &'static str, piece: &str) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    let taken: Arc<AtomicUsize> = Arc::default();
    let (counted, piece) = (taken.clone(), piece.repeat(PIECE_BYTES / piece.len()));
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let request_bytes = stream.read(&mut [0; 4096]).expect("a request comes");
            assert!(request_bytes > 0);
            let mut is_open = stream.write_all(head.as_bytes()).is_ok();
            while is_open {
                is_open = stream.write_all(piece.as_bytes()).is_ok();
                counted.fetch_add(piece.len(), Ordering::SeqCst);
            }
        }
    });
    (format!("http://{address}"), taken)
}

#[test]
fn an_engine_that_answers_without_end_takes_neither_memory_nor_time() {
    const OK: &str = "HTTP/1.1 200 OK\r\n";
    const JSON: &str = "HTTP/1.1 200 OK\r\n\r\n{\"replicas\": ";
    const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\n\r\n";
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        for (head, piece) in [
            (OK, "X-More: more\r\n"),
            ("", INTERIM),
            ("", "\r\n"),
            ("HTTP/1.1 200 OK\r\n\r\n", "x"),
            (JSON, "["),
        ] {
            for is_order in [false, true] {
                let (url, taken) = start_engine(head, piece);
                let engine = EngineClient::new(&HttpClient::default(), &url);
                let call = async {
                    if is_order {
                        engine
                            .announce_claim(1, now_unix_ms() + 1000)
                            .await
                            .is_err()
                    } else {
                        engine.state().await.is_err()
                    }
                };
                let failed = before_deadline(now_unix_ms() + ANSWER_TIME_MAX_MS, call).await;
                let taken_bytes = taken.load(Ordering::SeqCst);
                println!("{head:?} {piece:?} {is_order}: {failed:?}, {taken_bytes} bytes");
                assert_eq!(failed, Some(true), "{head:?} {piece:?} {is_order}");
                assert!(
                    taken_bytes < TAKEN_MAX_BYTES,
                    "{head:?} {piece:?}: {taken_bytes}"
                );
            }
        }
    });
}
