//! Processes of two versions side by side: messages and objects with fields that the other does
//! not know, and without fields that it does.

#[path = "support/rig.rs"]
mod rig;
mod support;

use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU32, Ordering},
    },
};

use celerystair::{
    config::prelude::{FleetConfig, FleetDocument},
    core::prelude::*,
    net::prelude::{Connection, bind, serve_grpc},
    platform::prelude::{AgentObject, ModelObject, Object, PlacementObject},
    protocol::{
        FetchConfigReply, FetchConfigRequest, Stamp, SubmitEvent, SubmitRequest,
        agent_client::AgentClient,
        peer_server::{Peer, PeerServer},
        submit_event::Event as Step,
    },
};
use prost::Message;
use rig::{REQUEST_TIMEOUT_MS, Rig, agent_settings, small_engine, submit, wait_until};
use serde_json::{Value, json};
use support::{
    block_on,
    config::{Process, start_platform},
};
use tonic::{Request, Response, Status};

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
        let life = running.agent.incarnation.clone();
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
    Object::new("k".to_owned(), 1, &value).expect("an object")
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

/// A process of a later version, whose configuration has a field that this one does not know.
#[derive(Clone, Default)]
struct LaterPeer {
    address: Arc<OnceLock<SocketAddr>>,
    asked: Arc<AtomicU32>,
    documents: Arc<AtomicU32>,
}

const LATER_REVISION: u64 = 9;

#[tonic::async_trait]
impl Peer for LaterPeer {
    async fn fetch_config(
        &self,
        request: Request<FetchConfigRequest>,
    ) -> Result<Response<FetchConfigReply>, Status> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        let document = if request.into_inner().revision < LATER_REVISION {
            self.documents.fetch_add(1, Ordering::Relaxed);
            json!({ "revision": LATER_REVISION, "of_a_later_version": 7 }).to_string()
        } else {
            String::new()
        };
        let address = self.address.get().map(SocketAddr::to_string);
        let stamp = Stamp {
            process: "later".to_owned(),
            config_revision: LATER_REVISION,
            peer_address: address.unwrap_or_default(),
            ..Stamp::default()
        };
        Ok(Response::new(FetchConfigReply {
            stamp: Some(stamp),
            revision: LATER_REVISION,
            document: document.into_bytes().into(),
            heard: Vec::new(),
            shared: None,
        }))
    }
}

#[test]
fn a_document_that_was_refused_is_not_fetched_again_and_again() {
    // The process asks one peer every second on average; two tasks may fetch at the same time.
    const ASKED: u32 = 5;
    const DOCUMENTS_MAX: u32 = 2;
    block_on(async {
        let stop = Stop::new();
        let url = start_platform(&stop);
        let later = LaterPeer::default();
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a listener");
        let address = listener.local_addr().expect("an address");
        later.address.set(address).expect("set once");
        let service = PeerServer::new(later.clone());
        compio::runtime::spawn(serve_grpc(listener, stop.clone(), service)).detach();
        let earlier = Process::start("earlier", &url, vec![address]);
        wait_until("the process asks on", async || {
            later.asked.load(Ordering::Relaxed) >= ASKED
        })
        .await;
        let documents = later.documents.load(Ordering::Relaxed);
        assert!(documents <= DOCUMENTS_MAX, "{documents} were sent in vain");
        assert_eq!(earlier.node.config.revision(), 0);
        earlier.end();
        stop.end();
    });
}
