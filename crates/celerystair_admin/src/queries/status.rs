//! The revision in force in each process. The processes are queried on demand, so that they need
//! not publish it, and the store is not called.

use std::collections::BTreeMap;

use celerystair_core::prelude::*;
use celerystair_net::prelude::Connection;
use celerystair_node::spread::fetch_config;
use celerystair_platform::prelude::InstanceState;
use futures_util::{StreamExt, stream};
use serde::Serialize;

use crate::api::AdminState;

/// Maximum concurrent queries of agents.
const QUERIES_MAX: usize = 64;
/// Processes that are in no list, such as routers, count as running if any agent received a message
/// from or about them within this time.
const RECENT_MS: u64 = 10_000;

/// The revision in force in each process.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StatusReply {
    /// The highest revision that any process has in force.
    pub revision: u64,
    /// Number of processes with a lower revision or no answer, without those that are gone.
    pub behind: usize,
    /// Number of calls that this router has made to the platform's store.
    pub store_calls: u64,
    /// Every known process, sorted by name.
    pub processes: Vec<ProcessRow>,
}

/// One process.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ProcessRow {
    /// The name of the process.
    pub process: String,
    /// The revision last reported as in force in the process.
    pub revision: u64,
    /// Whether the process answered, or an agent heard from it recently.
    pub reachable: bool,
    /// The state of the process's instance in the platform's list; `none` if it has no entry.
    pub instance: &'static str,
}

/// Queries every agent, and learns from their replies about the processes that are in no list.
pub async fn fleet_status(admin: &AdminState) -> StatusReply {
    let node = &admin.node;
    let agents = node.agents.all();
    let queries = stream::iter(agents.iter()).map(|(name, agent)| async move {
        let connection = Connection::new(agent.address);
        (name, agent, fetch_config(node, &connection, true).await)
    });
    let replies: Vec<_> = queries.buffer_unordered(QUERIES_MAX).collect().await;
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
