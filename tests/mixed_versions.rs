//! Processes of two versions side by side: messages and objects with fields that the other does
//! not know, and without fields that it does.

#[path = "support/rig.rs"]
mod rig;
mod support;

use celerystair::{
    config::prelude::{FleetConfig, FleetDocument},
    core::prelude::*,
    net::prelude::Connection,
    platform::prelude::{AgentObject, ModelObject, Object, PlacementObject},
    protocol::{
        SubmitEvent, SubmitRequest, agent_client::AgentClient, submit_event::Event as Step,
    },
};
use prost::Message;
use rig::{REQUEST_TIMEOUT_MS, Rig, agent_settings, small_engine, submit, wait_until};
use serde_json::{Value, json};
use support::block_on;

/// A field of a later version: number 2000, a varint, of value 7.
const LATER_FIELD: [u8; 3] = [0x80, 0x7d, 0x07];

#[test]
fn a_message_of_a_later_version_is_understood() {
    let request = SubmitRequest {
        attempt_id: "a-1".to_owned(),
        model: "m-1".to_owned(),
        deadline_unix_ms: 5,
        idempotent: true,
        ..SubmitRequest::default()
    };
    let mut bytes = request.encode_to_vec();
    bytes.extend(LATER_FIELD);
    let read = SubmitRequest::decode(&bytes[..]).expect("the message is read");
    assert_eq!(read, request);
    // A step that only a later version knows is passed over.
    let event = SubmitEvent::decode(&LATER_FIELD[..]).expect("the event is read");
    assert!(event.event.is_none());
}

#[test]
fn a_message_of_an_earlier_version_is_served() {
    block_on(async {
        let rig = Rig::start();
        let engine = rig.engine(small_engine());
        rig.put_model("m-1").await;
        rig.place("m-1", &["e-a"]).await;
        let stop = Stop::new();
        let running = rig.agent(agent_settings(&rig, "e-a", &engine), &stop).await;
        let life = running.agent.life.clone();
        wait_until("m-1 is served", async || {
            submit(running.address, &life, "m-1").await.is_ok()
        })
        .await;
        // What a first version had to say and no more: no stamp, priority or fingerprint.
        let request = SubmitRequest {
            attempt_id: AttemptId::random().to_string(),
            agent_life: life,
            body: r#"{"model":"m-1","prompt":"p","max_tokens":2}"#.into(),
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            model: "m-1".to_owned(),
            idempotent: true,
            deadline_unix_ms: now_unix_ms() + REQUEST_TIMEOUT_MS,
            ..SubmitRequest::default()
        };
        let channel = Connection::new(running.address).channel().await;
        let channel = channel.expect("a connection");
        let origin = channel.origin();
        let answer = AgentClient::with_origin(channel, origin)
            .submit(request)
            .await;
        let mut events = answer.expect("an answer").into_inner();
        let mut last = None;
        while let Some(event) = events.message().await.expect("the answer is whole") {
            last = event.event;
        }
        assert!(matches!(last, Some(Step::End(_))), "{last:?}");
        stop.end();
    });
}

fn with_later_field(mut value: Value) -> Object {
    value["of_a_later_version"] = json!(7);
    Object {
        key: "k".to_owned(),
        version: 1,
        value,
    }
}

#[test]
fn objects_that_the_system_keeps_are_read_with_a_field_of_a_later_version() {
    let slot = json!({ "upstream": "e-a", "instance": "e-a.1", "slot_generation": 1,
        "of_a_later_version": 7 });
    let placement = json!({ "generation": 1, "write_id": "w", "slots": [slot] });
    let read = with_later_field(placement).read::<PlacementObject>();
    assert_eq!(read.expect("a placement").slots.len(), 1);
    let agent = json!({ "fence": 3, "instance": "e-a.1", "claim_id": "c",
        "address": "127.0.0.1:1", "failure_domain": "a", "pool": "engines", "memory_bytes": 1 });
    let read = with_later_field(agent).read::<AgentObject>();
    assert_eq!(read.expect("an agent").fence, 3);
}

#[test]
fn documents_that_operators_write_are_not_taken_with_a_field_of_a_later_version() {
    // Whoever left the field out would serve something else than was decided.
    let model = json!({ "pool": "engines", "version": "1", "checkpoint_bytes": 1,
        "kv_cache_bytes": 1 });
    assert!(with_later_field(model).read::<ModelObject>().is_err());
    let config = FleetConfig::default();
    let accepted = FleetDocument {
        revision: 3,
        ..FleetDocument::default()
    };
    let accepted = serde_json::to_vec(&accepted).expect("JSON");
    assert!(config.apply_json(&accepted));
    let later = json!({ "revision": 4, "defaults": { "of_a_later_version": 7 } });
    assert!(!config.apply_json(later.to_string().as_bytes()));
    assert_eq!(config.revision(), 3, "the earlier revision stays in force");
    assert!(config.take_refusal().is_some(), "and the log says why");
}
