//! How news of instances and objects rides on the calls by which processes ask one another for
//! the configuration. See `docs/STORE.md`.

use std::net::SocketAddr;

use celerystair_platform::prelude::{SharedItem, SharedPosition};
use celerystair_protocol as protocol;
use celerystair_protocol::{SharedAnswer, SharedAsk};

use crate::{node::Node, spread::MIN_AGENTS_FOR_SHARING};

/// Whether this process asks for news and tells of its own. In a small fleet each reads for
/// itself, but one that starts while the platform is down has only its peers.
pub fn is_shared(node: &Node) -> bool {
    node.agents.len() >= MIN_AGENTS_FOR_SHARING || !is_complete(node)
}

/// Whether every prefix was read by this process, or by one that has told it all.
fn is_complete(node: &Node) -> bool {
    node.agents.is_complete()
        && node.models.is_complete()
        && node.placements.is_complete()
        && node.services.is_complete()
}

/// What to ask of a process whose news is known up to `read`, and that was told of the news
/// here up to `told`; and up to where it has been told by this.
pub fn ask(node: &Node, read: SharedPosition, told: SharedPosition) -> (SharedAsk, SharedPosition) {
    let shared = &node.shared_items;
    let (items, reached) = shared.items_after(told);
    let ask = SharedAsk {
        life: read.incarnation,
        sequence: read.sequence,
        digest: shared.digest(),
        age_ms: shared.age_ms(),
        told: items.iter().map(to_message).collect(),
    };
    (ask, reached)
}

/// Takes in what a process told with its question, and answers with what it lacks.
pub fn answer(node: &Node, asker: Option<SocketAddr>, ask: &SharedAsk) -> SharedAnswer {
    let shared = &node.shared_items;
    shared.record_freshness(ask.age_ms);
    shared.merge(ask.told.iter().map(from_message));
    let read = SharedPosition {
        incarnation: ask.life,
        sequence: ask.sequence,
    };
    let (items, reached) = if ask.digest == shared.digest() {
        (Vec::new(), shared.position())
    } else {
        shared.items_after(read)
    };
    if let Some(address) = asker {
        node.known_peers.record_shared_digest(address, ask.digest);
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

/// Takes in an answer; gives how far the news of the answerer is now known.
pub fn take_answer(node: &Node, answerer: SocketAddr, answer: &SharedAnswer) -> SharedPosition {
    node.shared_items.record_freshness(answer.age_ms);
    node.shared_items
        .merge(answer.items.iter().map(from_message));
    node.known_peers
        .record_shared_digest(answerer, answer.digest);
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
