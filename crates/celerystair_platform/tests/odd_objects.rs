//! Objects and instances of the product's own API beside ones that another writer left.

use std::{
    cell::RefCell,
    io::{BufRead, BufReader, Write},
    net::TcpListener,
    rc::Rc,
    sync::{Arc, Mutex},
};

use celerystair_core::prelude::*;
use celerystair_platform::{dialect::native_dialect, prelude::*};
use serde_json::json;

fn odd_values() -> [String; 4] {
    [
        "[".repeat(200) + &"]".repeat(200),
        "1e999".to_owned(),
        "\"\\ud800\"".to_owned(),
        "[[[".to_owned(),
    ]
}

// A reply whose keys after the array of objects took more than 4 KiB was read as one without an end.
#[test]
fn a_watch_reply_with_many_deletions_is_read() {
    let keys: Vec<String> = (0..1000).map(|number| format!("\"k/{number}\"")).collect();
    let keys = keys.join(",");
    for objects in ["", r#"{"key":"k/a","version":3,"value":1}"#] {
        let reply =
            format!(r#"{{"revision":9,"objects":[{objects}],"deleted":[{keys}],"too_old":false}}"#);
        let reply = (native_dialect().read_watch)("k/", reply.as_bytes());
        assert_eq!(reply.expect("the reply is read").deleted.len(), 1000);
    }
}

#[test]
fn an_odd_object_stops_no_reader_of_a_list_or_a_watch() {
    let dialect = native_dialect();
    for odd in odd_values() {
        let objects = format!(
            r#""objects":[{{"key":"k/a","version":3,"value":1}},{{"key":"k/odd","version":4,"value":{odd}}},{{"key":"k/b","version":5,"value":{{"x":2}}}}]"#
        );
        let list = format!(r#"{{"revision":9,{objects}}}"#);
        let page = (dialect.read_list)("k/", list.as_bytes()).expect("the list is read");
        let watch = format!(r#"{{"revision":9,{objects},"deleted":["k/c"],"too_old":false}}"#);
        let reply = (dialect.read_watch)("k/", watch.as_bytes()).expect("the watch is read");
        assert_eq!((reply.revision, page.list.revision), (9, 9));
        assert_eq!(reply.deleted, ["k/c"]);
        assert_eq!(reply.objects, page.list.objects);
        let [a, other, b] = &reply.objects[..] else {
            panic!("{odd}: {:?}", reply.objects);
        };
        let b: serde_json::Value = b.read().expect("a sound value");
        assert_eq!((a.read().ok(), b["x"].as_u64()), (Some(1), Some(2)));
        assert_eq!((other.key.as_str(), other.version), ("k/odd", 4));
        assert!(other.read::<serde_json::Value>().is_err());
        let object = format!(r#"{{"key":"k/odd","version":4,"value":{odd}}}"#);
        let object = (dialect.read_object)("k/odd", object.as_bytes()).expect("the object is read");
        assert_eq!(object, *other);
    }
}

/// Serves a list of instances, which the returned value holds.
fn serve_instances() -> (String, Arc<Mutex<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds");
    let address = listener.local_addr().expect("the listener has an address");
    let list = Arc::new(Mutex::new("[]".to_owned()));
    let served = list.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let served = served.clone();
            std::thread::spawn(move || {
                let reader = BufReader::new(stream.try_clone().expect("the stream is cloned"));
                let heads = reader.lines().map_while(Result::ok);
                for _ in heads.filter(String::is_empty) {
                    let body = served.lock().expect("not poisoned").clone();
                    let length = body.len();
                    let response =
                        format!("HTTP/1.1 200 x\r\nContent-Length: {length}\r\n\r\n{body}");
                    if stream.write_all(response.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (format!("http://{address}"), list)
}

#[test]
fn an_odd_instance_stops_no_reader_of_the_list_and_makes_none_look_gone() {
    let (url, list) = serve_instances();
    let set = |entries: &[&str]| {
        *list.lock().expect("not poisoned") = format!("[{}]", entries.join(","));
    };
    let live = |name: &str| format!(r#"{{"instance":"{name}","state":"live"}}"#);
    let (a, b, c) = (live("a"), live("b"), live("c"));
    let deep = "[".repeat(200) + &"]".repeat(200);
    let odd_b = format!(r#"{{"instance":"b","state":{deep}}}"#);
    let nameless = "{\"instance\":1e999}";
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let settings = json!({"url": url, "calls_per_second": 1000});
        let settings = serde_json::from_value(settings).expect("the settings are valid");
        let store = Store::new(settings).expect("the client is created");
        let stop = Stop::new();
        let instances = Instances::start(&store, 10, &SharedItems::default(), &stop);
        let until = async |is_reached: &dyn Fn() -> bool| {
            let deadline_unix_ms = now_unix_ms() + 10_000;
            while !is_reached() {
                assert!(now_unix_ms() < deadline_unix_ms, "not reached in 10 s");
                sleep_ms(10).await;
            }
        };
        set(&[&a, &b]);
        until(&|| instances.state("b").is_some()).await;
        // An entry whose state can't be read: its instance is listed, and the others are followed.
        set(&[&odd_b, &c]);
        until(&|| instances.state("c").is_some() && instances.is_gone("a")).await;
        assert!(!instances.is_gone("b"));
        assert!(!instances.is_replaced_by("b", "c"));
        // An entry that may be any instance's: none counts as gone.
        set(&[nameless, &a]);
        until(&|| instances.state("a").is_some()).await;
        assert!(!instances.is_gone("b") && !instances.is_gone("c"));
        set(&[&a]);
        until(&|| instances.is_gone("b") && instances.is_gone("c")).await;
        stop.end();
    });
}

/// Routers log an entry that names no upstream where it is decoded.
#[test]
fn each_version_of_an_object_is_decoded_once() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let settings = serde_json::from_value(json!({"url": "http://127.0.0.1:9"}));
        let store = Store::new(settings.expect("the settings are valid")).expect("a client");
        let stop = Stop::new();
        let decoded = Rc::new(RefCell::new(Vec::new()));
        let record = decoded.clone();
        let decode = move |object: &Object| {
            record.borrow_mut().push(object.version);
            Ok(object.read::<u64>())
        };
        let mirror = Mirror::start_with_decoder(&store, "k/", decode, &stop);
        for (version, value) in [
            (3, json!("odd")),
            (3, json!("odd")),
            (5, json!(7)),
            (4, json!(1)),
        ] {
            let object = Object::new("k/a".to_owned(), version, &value).expect("an object");
            mirror.apply(&object).expect("an error is a value here");
            let (_, value) = mirror.get("a").expect("the object is known");
            assert_eq!(value.is_ok(), version > 3);
        }
        assert_eq!(*decoded.borrow(), [3, 5]);
        stop.end();
    });
}
