//! Peers that are asked for their configuration and answer without end.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use celerystair_core::prelude::*;
use celerystair_platform::{dialect::native_dialect, prelude::*};
use slog::{Discard, Logger, o};

/// What is read of a response and what the sockets buffer of it.
const TAKEN_MAX_BYTES: usize = 16 * 1024 * 1024;
const PIECE_BYTES: usize = 64 * 1024;
const LATE_MAX_MS: u64 = 300;

/// Answers each connection with `head`, then `piece` until it is closed; returns the address, the number of
/// connections and the most bytes that one of them took.
fn start_peer(head: &'static str, piece: &str) -> (SocketAddr, Arc<[AtomicUsize; 2]>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    let counts: Arc<[AtomicUsize; 2]> = Arc::default();
    let (counted, piece) = (counts.clone(), piece.repeat(PIECE_BYTES / piece.len()));
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let request_bytes = stream.read(&mut [0; 4096]).expect("a request comes");
            assert!(request_bytes > 0);
            counted[0].fetch_add(1, Ordering::SeqCst);
            let mut taken_bytes = 0;
            let mut is_open = stream.write_all(head.as_bytes()).is_ok();
            while is_open {
                is_open = stream.write_all(piece.as_bytes()).is_ok();
                taken_bytes += piece.len();
                counted[1].fetch_max(taken_bytes, Ordering::SeqCst);
            }
        }
    });
    (address, counts)
}

#[test]
fn a_peer_that_sends_its_configuration_without_end_takes_neither_memory_nor_time() {
    let closed = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let store_address = closed.local_addr().expect("the listener has an address");
    drop(closed);
    let settings = serde_json::json!({"url": format!("http://{store_address}")});
    let source = FleetSource {
        store: serde_json::from_value(settings).expect("the settings are valid"),
        dialect: native_dialect(),
        upstream_key_prefix: "upstreams/",
        entry_life_ms: 3600,
        read_upstream: |_| panic!("no upstream is listed"),
        config_key_prefix: "config/",
        config_name: "main",
        read_config: |_| panic!("no configuration is complete"),
    };
    for (head, piece) in [
        ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "["),
    ] {
        let (peer, counts) = start_peer(head, piece);
        let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
        let late_ms = runtime.block_on(async {
            let stop = Stop::new();
            let store = source.open().expect("the URL is valid");
            let log = Logger::root(Discard, o!());
            let configs = ConfigFollower::start(&source, &store, &log, &stop);
            configs.hear(2, Some(ConfigSender::Agent(peer)));
            let mut late_ms = 0;
            for _ in 0..200 {
                let due_unix_ms = now_unix_ms() + 10;
                sleep_ms(10).await;
                late_ms = late_ms.max(now_unix_ms().saturating_sub(due_unix_ms));
            }
            assert_eq!(configs.version(), 0);
            stop.end();
            late_ms
        });
        let [asked, taken_bytes] = [0, 1].map(|index| counts[index].load(Ordering::SeqCst));
        println!("{head:?}: asked {asked} times, {taken_bytes} bytes, {late_ms} ms late");
        assert!(asked > 0);
        assert!(taken_bytes < TAKEN_MAX_BYTES, "{taken_bytes}");
        assert!(late_ms < LATE_MAX_MS, "{late_ms} ms");
    }
}
