//! The administration API of a router, by HTTP and by `celerystair admin`.

mod support;

use std::{net::SocketAddr, process::Command};

use celerystair::{
    admin::prelude::OPENAPI, config::prelude::*, core::prelude::*, platform::prelude::*,
    router::prelude::*, trial::threads::RoleThread,
};
use serde_json::{Value, json};
use support::{
    block_on,
    config::{process_settings, start_platform},
};

const READER: &str = "reader-token-0123456789";
const EDITOR: &str = "editor-token-0123456789";

/// A platform and a router with the API, on a thread of their own.
struct Served {
    thread: RoleThread,
    platform_url: String,
    admin: SocketAddr,
}

impl Served {
    fn start() -> Self {
        let (thread, (platform_url, admin)) =
            RoleThread::spawn("served", &Stop::new(), |stop| async move {
                let url = start_platform(&stop);
                let running = run_router(router_settings(&url), &stop)
                    .await
                    .map_err(std::io::Error::other)?;
                running.served.detach();
                let admin = running.admin_address.expect("the API is served");
                running.router.node.config.wait_until_known().await;
                Ok::<_, std::io::Error>((url, admin))
            })
            .expect("a router");
        Self {
            thread,
            platform_url,
            admin,
        }
    }

    async fn call(&self, token: &str, method: &str, path: &str, body: &Value) -> (u16, Value) {
        let client = cyper::Client::new().expect("a client");
        let method = http::Method::from_bytes(method.as_bytes()).expect("a method");
        let url = format!("http://{}/admin/v1/{path}", self.admin);
        let request = client.request(method, url).expect("a request");
        let request = request
            .header("authorization", format!("Bearer {token}"))
            .expect("a header");
        let response = request.body(body.to_string()).send().await;
        let response = response.expect("an answer");
        let status = response.status().as_u16();
        (status, response.json().await.expect("JSON"))
    }

    async fn change(&self, token: &str, id: &str, based_on: u64, edits: Value) -> (u16, Value) {
        let body = json!({"change_id": id, "based_on": based_on, "reason": "r", "edits": edits});
        self.call(token, "POST", "changes", &body).await
    }

    fn command(&self, arguments: &[&str]) -> (bool, String, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_celerystair"))
            .args(["admin", "--url", &format!("http://{}", self.admin)])
            .args(arguments)
            .env("CELERYSTAIR_ADMIN_TOKEN", EDITOR)
            .output()
            .expect("the command runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (
            output.status.success(),
            text(&output.stdout),
            text(&output.stderr),
        )
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.thread.stop.drain();
        self.thread.end();
    }
}

fn router_settings(url: &str) -> RouterSettings {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let token = |name: &str, token: &str, role| AdminToken {
        name: name.to_owned(),
        token: token.to_owned(),
        role,
    };
    RouterSettings {
        router: "router-1".to_owned(),
        listen: loopback,
        peer_listen: loopback,
        process: process_settings(url, Vec::new()),
        body_max_bytes: 1 << 20,
        answer_margin_ms: 100,
        admin: Some(AdminSettings {
            listen: loopback,
            tokens: vec![
                token("rita", READER, AdminRole::Read),
                token("ed", EDITOR, AdminRole::Edit),
            ],
        }),
    }
}

fn set(field: &str, value: &Value) -> Value {
    json!([{"op": "set_default", "field": field, "value": value}])
}

#[test]
fn a_token_is_needed_and_its_role_bounds_what_it_may_do() {
    let served = Served::start();
    block_on(async {
        let edits = set("queue_max", &json!(7));
        for token in ["", "wrong", &READER[1..]] {
            let (status, _) = served.change(token, "c1", 0, edits.clone()).await;
            assert_eq!(status, 401, "{token}");
            assert_eq!(
                served.call(token, "GET", "config", &json!(null)).await.0,
                401
            );
        }
        assert_eq!(served.change(READER, "c1", 0, edits.clone()).await.0, 403);
        let (status, config) = served.call(READER, "GET", "config", &json!(null)).await;
        assert_eq!((status, &config["revision"]), (200, &json!(0)));
        assert_eq!(served.change(EDITOR, "c1", 0, edits).await.0, 200);
    });
}

#[test]
fn a_change_is_made_once_and_a_conflict_has_both_values() {
    let served = Served::start();
    block_on(async {
        let (status, made) = served
            .change(EDITOR, "c1", 0, set("queue_max", &json!(7)))
            .await;
        assert_eq!((status, &made["revision"]), (200, &json!(1)));
        let (status, again) = served
            .change(EDITOR, "c1", 0, set("queue_max", &json!(7)))
            .await;
        assert_eq!((status, &again["already"]), (200, &json!(true)));
        let (status, refused) = served
            .change(EDITOR, "c2", 0, set("queue_max", &json!(9)))
            .await;
        assert_eq!(status, 409);
        let conflict = &refused["refused"]["conflicts"][0];
        assert_eq!(
            (&conflict["theirs"], &conflict["yours"]),
            (&json!(7), &json!(9))
        );
        assert_eq!(conflict["their_author"], json!("ed"));
        let (_, history) = served.call(READER, "GET", "changes", &json!(null)).await;
        assert_eq!(history.as_array().map(Vec::len), Some(1));
        assert_eq!(history[0]["author"], json!("ed"));
    });
}

#[test]
fn a_bad_batch_is_refused_whole_and_names_each_field() {
    let served = Served::start();
    block_on(async {
        let edits = json!([
            {"op": "set_default", "field": "queue_max", "value": 7},
            {"op": "set_default", "field": "retry_budget_percent", "value": 101},
            {"op": "set_exception", "scope": {"kind": "model", "name": "m"},
             "field": "queue_max", "value": 0},
        ]);
        let (status, refused) = served.change(EDITOR, "c1", 0, edits).await;
        assert_eq!(status, 422);
        let problems = refused["refused"]["problems"].as_array().expect("problems");
        let fields: Vec<&str> = problems
            .iter()
            .filter_map(|p| p["field"].as_str())
            .collect();
        assert_eq!(
            fields,
            ["defaults.retry_budget_percent", "model m: queue_max"]
        );
        let (_, config) = served.call(READER, "GET", "config", &json!(null)).await;
        assert_eq!(config["revision"], json!(0));
    });
}

#[test]
fn suspects_are_listed_and_cleared() {
    let served = Served::start();
    block_on(async {
        let store = Store::new(process_settings(&served.platform_url, Vec::new()).platform)
            .expect("a store");
        let suspect = json!({"crashes": 2});
        let key = "suspects/f1";
        let put = store.put(key, &suspect, Expected::Absent, CallPriority::Normal);
        put.await.expect("written");
        let (_, listed) = served.call(READER, "GET", "suspects", &json!(null)).await;
        assert_eq!(listed[0]["key"], json!("suspects/f1"));
        let nothing = json!(null);
        assert_eq!(
            served
                .call(READER, "DELETE", "suspects/f1", &nothing)
                .await
                .0,
            403
        );
        assert_eq!(
            served
                .call(EDITOR, "DELETE", "suspects/f1", &nothing)
                .await
                .0,
            200
        );
        assert_eq!(
            served
                .call(EDITOR, "DELETE", "suspects/f1", &nothing)
                .await
                .0,
            404
        );
        assert!(store.get("suspects/f1").await.expect("read").is_none());
    });
}

#[test]
fn every_path_of_the_description_is_served() {
    let served = Served::start();
    let description: Value = serde_json::from_str(OPENAPI).expect("JSON");
    block_on(async {
        for (path, methods) in description["paths"].as_object().expect("paths") {
            let path = path
                .trim_start_matches("/admin/v1/")
                .replace("{kind}", "model")
                .replace("{name}", "m");
            for method in methods.as_object().expect("methods").keys() {
                let method = method.to_uppercase();
                let (_, reply) = served.call(EDITOR, &method, &path, &json!(null)).await;
                let detail = reply["detail"].as_str().unwrap_or_default();
                assert!(!detail.contains("/admin/v1/"), "{method} {path}: {detail}");
            }
        }
    });
}

#[test]
fn the_command_edits_explains_and_asks() {
    let served = Served::start();
    let (done, _, error) = served.command(&[
        "except",
        "model",
        "caption-si",
        "queue_max",
        "3",
        "--reason",
        "night shift",
    ]);
    assert!(done, "{error}");
    let (done, table, _) = served.command(&["explain", "model", "caption-si"]);
    assert!(done && table.contains("night shift"), "{table}");
    let (done, status, _) = served.command(&["--json", "status"]);
    let status: Value = serde_json::from_str(&status).expect("JSON");
    assert!(done);
    assert_eq!(
        (&status["revision"], &status["behind"]),
        (&json!(1), &json!(0))
    );
    let (done, _, error) = served.command(&["clear-suspect", "f1"]);
    assert!(!done && error.contains("nothing was done"), "{error}");
    let (done, _, error) = served.command(&["--yes", "drain", "nobody", "--reason", "r"]);
    assert!(
        !done && error.contains("there is no upstream nobody"),
        "{error}"
    );
    let (done, _, error) = served.command(&["set", "queue_max", "0", "--reason", "r"]);
    assert!(!done && error.contains("defaults.queue_max"), "{error}");
}

#[test]
fn the_api_listens_on_loopback_only_and_wants_long_tokens() {
    let mut settings = router_settings("http://127.0.0.1:7000");
    let admin = settings.admin.as_mut().expect("admin settings");
    admin.listen = SocketAddr::from(([10, 0, 0, 1], 8091));
    admin.tokens[0].token = "short".to_owned();
    let text = serde_json::to_string(&settings).expect("JSON");
    let error = read_settings::<RouterSettings>("router", &text).expect_err("refused");
    let error = error.to_string();
    assert!(
        error.contains("admin.listen") && error.contains("admin.tokens.0.token"),
        "{error}"
    );
}
