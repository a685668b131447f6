//! Two calls that read the store at a time, whose replies come in another order than they were made.

use std::{
    io::{BufRead, BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use celerystair_core::prelude::*;
use celerystair_platform::prelude::*;
use serde_json::json;

const LIST: &str = r#"{"revision":90,"objects":[{"key":"k/x","version":80,"value":1}]}"#;
/// What a watch that waits tells, from before the deletion.
const CHANGE: &str = r#"{"revision":92,"objects":[{"key":"k/x","version":92,"value":2}],"deleted":[],"too_old":false}"#;
const DELETION: &str = r#"{"revision":95,"objects":[],"deleted":["k/x"],"too_old":false}"#;
const NOTHING: &str = r#"{"revision":95,"objects":[],"deleted":[],"too_old":false}"#;

/// A store that holds back the reply of the first watch until it is told to send it.
#[derive(Clone, Default)]
struct HoldingStore {
    holds_one: Arc<AtomicBool>,
    was_told: Arc<AtomicBool>,
    has_replied: Arc<AtomicBool>,
}

impl HoldingStore {
    fn serve(&self, stream: &mut TcpStream) {
        let reader = BufReader::new(stream.try_clone().expect("the stream is cloned"));
        let mut path = String::new();
        for line in reader.lines().map_while(Result::ok) {
            if line.starts_with("GET ") {
                path = line;
            } else if line.is_empty() {
                let body = self.reply(&path);
                let length = body.len();
                let response = format!("HTTP/1.1 200 x\r\nContent-Length: {length}\r\n\r\n{body}");
                if stream.write_all(response.as_bytes()).is_err() {
                    return;
                }
                if body == CHANGE {
                    self.has_replied.store(true, Ordering::SeqCst);
                }
            }
        }
    }

    fn reply(&self, path: &str) -> &'static str {
        if !path.contains("/watch") {
            return LIST;
        }
        if path.contains("after=95") {
            std::thread::sleep(Duration::from_millis(100));
            return NOTHING;
        }
        if self.holds_one.swap(true, Ordering::SeqCst) {
            return DELETION;
        }
        while !self.was_told.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        CHANGE
    }
}

// An older reply brought an entry back that a call beside it had read as deleted.
#[test]
fn a_deleted_object_does_not_come_back_by_a_reply_that_was_overtaken() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    let holding = HoldingStore::default();
    let served = holding.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let served = served.clone();
            std::thread::spawn(move || served.serve(&mut stream));
        }
    });
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let settings = json!({"url": format!("http://{address}"), "calls_per_second": 1000});
        let settings = serde_json::from_value(settings).expect("the settings are valid");
        let store = Store::new(settings).expect("the client is created");
        let stop = Stop::new();
        let decode = |object: &Object| object.read::<u64>();
        let mirror = Mirror::start_with_decoder(&store, "k/", decode, &stop);
        let until = async |flag: &AtomicBool| {
            let deadline_unix_ms = now_unix_ms() + 10_000;
            while !flag.load(Ordering::SeqCst) {
                assert!(now_unix_ms() < deadline_unix_ms, "not reached in 10 s");
                sleep_ms(10).await;
            }
        };
        until(&holding.holds_one).await;
        assert!(mirror.get("x").is_some());
        mirror.catch_up(&store).await.expect("the store answers");
        assert!(mirror.get("x").is_none());
        holding.was_told.store(true, Ordering::SeqCst);
        until(&holding.has_replied).await;
        sleep_ms(200).await;
        assert!(mirror.get("x").is_none(), "a deleted object is back");
        stop.end();
    });
}
