//! Exchange of objects and instance states between processes, carried by the calls that fetch the
//! configuration. See `docs/STORE.md`.

use std::net::SocketAddr;

use celerystair_platform::prelude::{SharedItem, SharedPosition};
use celerystair_protocol as protocol;
use celerystair_protocol::{SharedAnswer, SharedAsk};

use crate::{node::Node, spread::MIN_AGENTS_FOR_SHARING};

/// Whether this process exchanges shared items with peers. In a small fleet every process reads the
/// platform itself, but a process that starts while the platform is down can only ask its peers.
pub fn is_sharing_enabled(node: &Node) -> bool {
    node.agents.len() >= MIN_AGENTS_FOR_SHARING || !is_complete(node)
}

/// Whether every prefix was read by this process, or by a peer that has sent it all objects.
fn is_complete(node: &Node) -> bool {
    node.agents.is_complete()
        && node.models.is_complete()
        && node.placements.is_complete()
        && node.services.is_complete()
}

/// Builds a request to a peer whose items were received up to `read_position`, and that was sent
/// the items of this process up to `sent_position`. Also returns the new value of `sent_position`,
/// valid once the peer has answered.
pub fn build_request(
    node: &Node,
    read_position: SharedPosition,
    sent_position: SharedPosition,
) -> (SharedAsk, SharedPosition) {
    let shared = &node.shared_items;
    let (items, reached) = shared.items_after(sent_position);
    let request = SharedAsk {
        life: read_position.incarnation,
        sequence: read_position.sequence,
        digest: shared.digest(),
        age_ms: shared.age_ms(),
        told: items.iter().map(to_message).collect(),
    };
    (request, reached)
}

/// Merges the items of a request, and answers with the items that the requester lacks.
pub fn handle_request(
    node: &Node,
    requester: Option<SocketAddr>,
    request: &SharedAsk,
) -> SharedAnswer {
    let shared = &node.shared_items;
    shared.record_freshness(request.age_ms);
    shared.merge(request.told.iter().map(from_message));
    let read_position = SharedPosition {
        incarnation: request.life,
        sequence: request.sequence,
    };
    let (items, reached) = if request.digest == shared.digest() {
        (Vec::new(), shared.position())
    } else {
        shared.items_after(read_position)
    };
    if let Some(address) = requester {
        node.known_peers
            .record_shared_digest(address, request.digest);
    }
    SharedAnswer {
        life: reached.incarnation,
        sequence: reached.sequence,
        digest: shared.digest(),
        age_ms: shared.age_ms(),
        items: items.iter().map(to_message).collect(),
        is_all: is_complete(node) && reached == shared.position(),
    }
}

/// Merges the items of an answer; returns the position up to which the responder's items were
/// received.
pub fn apply_answer(node: &Node, responder: SocketAddr, answer: &SharedAnswer) -> SharedPosition {
    node.shared_items.record_freshness(answer.age_ms);
    node.shared_items
        .merge(answer.items.iter().map(from_message));
    node.known_peers
        .record_shared_digest(responder, answer.digest);
    if answer.is_all && !is_complete(node) {
        node.agents.mark_complete();
        node.models.mark_complete();
        node.placements.mark_complete();
        node.services.mark_complete();
    }
    SharedPosition {
        incarnation: answer.life,
        sequence: answer.sequence,
    }
}

fn to_message(item: &SharedItem) -> protocol::SharedItem {
    protocol::SharedItem {
        key: item.key.clone(),
        version: item.version,
        value: item.value.to_vec().into(),
    }
}

fn from_message(item: &protocol::SharedItem) -> SharedItem {
    SharedItem {
        key: item.key.clone(),
        version: item.version,
        value: item.value.as_ref().into(),
    }
}
