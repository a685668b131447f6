//! Which revision each process has in force. Asked of the processes themselves when somebody
//! wants to know: the store is not called, and nothing is published in between.

use std::collections::BTreeMap;

use celerystair_core::prelude::*;
use celerystair_net::prelude::Connection;
use celerystair_node::spread::fetch_config;
use celerystair_platform::prelude::InstanceState;
use futures_util::{StreamExt, stream};
use serde::Serialize;

use crate::api::Admin;

/// Agents asked at once.
const ASKED_MAX: usize = 64;
/// Who is on no list (routers) counts as running if some process heard of it this lately.
const RECENT_MS: u64 = 10_000;

/// What is in force, process by process.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StatusReply {
    /// The highest revision that any process has in force.
    pub revision: u64,
    /// Processes that have a lower one, or did not answer.
    pub behind: usize,
    /// Calls that this router has made to the platform.
    pub store_calls: u64,
    /// The processes.
    pub processes: Vec<ProcessRow>,
}

/// One process.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ProcessRow {
    /// Its name.
    pub process: String,
    /// The revision in force there, as last heard.
    pub revision: u64,
    /// Whether it answered now, or was heard of lately.
    pub reachable: bool,
    /// What the platform's list says of its instance.
    pub instance: &'static str,
}

/// Asks every agent, and learns from them of the processes that stand on no list.
pub async fn status(admin: &Admin) -> StatusReply {
    let node = &admin.node;
    let agents = node.agents.all();
    let asked = stream::iter(agents.iter()).map(|(name, agent)| async move {
        let connection = Connection::new(agent.address);
        (name, agent, fetch_config(node, &connection, true).await)
    });
    let replies: Vec<_> = asked.buffer_unordered(ASKED_MAX).collect().await;
    let mut rows: BTreeMap<String, ProcessRow> = BTreeMap::new();
    let since = now_unix_ms().saturating_sub(RECENT_MS);
    for heard in replies
        .iter()
        .filter_map(|(.., reply)| reply.as_ref())
        .flat_map(|reply| &reply.heard)
        .filter(|heard| heard.heard_unix_ms >= since)
    {
        let row = rows.entry(heard.process.clone()).or_insert(ProcessRow {
            process: heard.process.clone(),
            revision: 0,
            reachable: true,
            instance: "none",
        });
        row.revision = row.revision.max(heard.config_revision);
    }
    for (name, agent, reply) in &replies {
        let instance = match node.instances.state(&agent.instance) {
            Some(InstanceState::Live) => "live",
            Some(InstanceState::Leaving) => "leaving",
            None if node.instances.is_gone(&agent.instance) => "gone",
            None => "never_seen",
        };
        let revision = reply.as_ref().map_or(0, |reply| reply.revision);
        rows.insert(
            (*name).clone(),
            ProcessRow {
                process: (*name).clone(),
                revision,
                reachable: reply.is_some(),
                instance,
            },
        );
    }
    rows.insert(
        node.name.clone(),
        ProcessRow {
            process: node.name.clone(),
            revision: node.config.revision(),
            reachable: true,
            instance: "none",
        },
    );
    let revision = rows.values().map(|row| row.revision).max().unwrap_or(0);
    let is_behind = |row: &&ProcessRow| row.instance != "gone" && row.revision < revision;
    StatusReply {
        revision,
        behind: rows.values().filter(is_behind).count(),
        store_calls: node.store.calls(),
        processes: rows.into_values().collect(),
    }
}
