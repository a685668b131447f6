//! How a new revision reaches every process. A few processes of each failure domain watch the
//! store; each process that puts a revision in force tells its neighbours, and each asks one
//! of them now and then. So the store's calls don't grow with the fleet, and what was accepted
//! reaches all while the store is down. See `docs/CONFIGURATION.md`.

use std::{cell::RefCell, net::SocketAddr, pin::pin, rc::Rc};

use celerystair_core::{prelude::*, rendezvous, time::before_deadline};
use celerystair_net::prelude::*;
use celerystair_platform::prelude::{AgentObject, Instances, Mirror};
use celerystair_protocol::{FetchConfigReply, FetchConfigRequest, peer_client::PeerClient};
use celerystair_telemetry::prelude::*;
use futures_util::future::select;

use crate::node::Node;

/// Agents that watch the store in each failure domain.
const WATCHERS_PER_DOMAIN: usize = 2;
/// A process tells this many others of a new revision, drawn by rendezvous from all agents.
const NEIGHBOURS: usize = 6;
/// Processes that called lately are told as well: routers stand in nobody's list.
const CALLERS_TOLD_MAX: usize = 12;
const CALLER_RECENT_MS: u64 = 10_000;
/// How often a process asks one of its neighbours, with as much jitter.
const ASK_INTERVAL_MS: u64 = 1000;
const STARTING_ASK_INTERVAL_MS: u64 = 100;
/// Revisions that follow one another closely are told of together.
const GATHER_MS: u64 = 20;
const CALL_TIMEOUT_MS: u64 = 1000;

/// Whether this process watches the store itself: the first agents of its failure domain in
/// rendezvous order do, and everyone where no agent is known.
pub fn watches_store(
    agents: &Mirror<AgentObject>,
    instances: &Instances,
    failure_domain: &str,
    own: &str,
) -> bool {
    let all = agents.all();
    let domain = all.iter().filter(|(_, agent)| {
        *agent.failure_domain == *failure_domain && !instances.is_gone(&agent.instance)
    });
    let own_weight = rendezvous::weight(WATCH_KEY, own);
    if domain.clone().next().is_none() {
        return true;
    }
    if !domain.clone().any(|(name, _)| name == own) {
        return false;
    }
    let before = domain.filter(|(name, _)| rendezvous::weight(WATCH_KEY, name) > own_weight);
    before.count() < WATCHERS_PER_DOMAIN
}

const WATCH_KEY: &str = "watches config/head";

/// Connections to the processes that this one asks and tells.
struct Spread {
    node: Node,
    connections: RefCell<HashMap<SocketAddr, Connection>>,
    /// Processes that are being told.
    telling: RefCell<HashSet<SocketAddr>>,
}

/// Tells, asks and fetches until the node's stop ends.
pub async fn spread_config(node: Node) {
    let spread = Rc::new(Spread {
        node,
        connections: RefCell::default(),
        telling: RefCell::default(),
    });
    let telling = spread.clone();
    compio::runtime::spawn(async move { telling.tell_on_change().await }).detach();
    let fetching = spread.clone();
    compio::runtime::spawn(async move { fetching.fetch_when_heard().await }).detach();
    spread.ask_now_and_then().await;
}

impl Spread {
    /// Tells the neighbours of each revision that comes into force here.
    async fn tell_on_change(self: Rc<Self>) {
        let config = &self.node.config;
        let mut told = 0;
        while !self.node.stop.is_ended() {
            let changed = config.listen();
            if let Some(refusal) = config.take_refusal() {
                warn!(self.node.log, "the earlier configuration stays in force"; "reason" => %refusal);
            }
            if config.revision() <= told {
                select(changed, pin!(self.node.stop.ended())).await;
                continue;
            }
            sleep_ms(GATHER_MS).await;
            told = config.revision();
            let mut addresses = self.neighbours();
            let since = now_unix_ms().saturating_sub(CALLER_RECENT_MS);
            addresses.extend(self.node.heard.recent(since, CALLERS_TOLD_MAX));
            addresses.sort_unstable();
            addresses.dedup();
            for address in addresses {
                if self.telling.borrow_mut().insert(address) {
                    let telling = self.clone();
                    compio::runtime::spawn(async move { telling.tell(address).await }).detach();
                }
            }
        }
    }

    /// Tells one process until it has heard of the latest revision. A process that does not
    /// answer delays no other.
    async fn tell(&self, address: SocketAddr) {
        loop {
            let told = self.node.config.revision();
            let is_answered = self.ask(address).await.is_some();
            if !is_answered || self.node.config.revision() == told {
                break;
            }
        }
        self.telling.borrow_mut().remove(&address);
    }

    /// Fetches a revision that was heard of from those that have it.
    async fn fetch_when_heard(&self) {
        let config = &self.node.config;
        while !self.node.stop.is_ended() {
            let changed = config.listen();
            let heard = config.heard_revision();
            if heard <= config.revision().max(config.refused_revision()) {
                select(changed, pin!(self.node.stop.ended())).await;
                continue;
            }
            let mut addresses = self.node.heard.addresses_at(heard);
            let first = rand::random_range(0..addresses.len().max(1));
            if first < addresses.len() {
                addresses.rotate_left(first);
            }
            for address in addresses {
                self.ask(address).await;
                if config.revision() >= heard {
                    break;
                }
            }
            if config.revision() < heard {
                sleep_ms(rand::random_range(GATHER_MS..5 * GATHER_MS)).await;
            }
        }
    }

    /// Asks one neighbour after another, so that who was not told finds out all the same.
    async fn ask_now_and_then(&self) {
        while !self.node.stop.is_ended() {
            let mut addresses = self.neighbours();
            addresses.extend(self.node.settings.peers.iter().copied());
            if !addresses.is_empty() {
                let address = addresses[rand::random_range(0..addresses.len())];
                self.ask(address).await;
            }
            let interval_ms = if self.node.config.is_known() {
                ASK_INTERVAL_MS
            } else {
                STARTING_ASK_INTERVAL_MS
            };
            let rest = sleep_ms(rand::random_range(interval_ms / 2..=interval_ms * 3 / 2));
            select(pin!(rest), pin!(self.node.stop.ended())).await;
        }
    }

    /// The agents that this process tells and asks: its own draw from all of them.
    fn neighbours(&self) -> Vec<SocketAddr> {
        let agents = self.node.agents.all();
        let others = agents.iter().filter(|(name, agent)| {
            *name != self.node.name && !self.node.instances.is_gone(&agent.instance)
        });
        let ordered = rendezvous::order(&self.node.name, others, |(name, _)| name.as_str());
        let addresses = ordered.into_iter().map(|(_, agent)| agent.address);
        addresses.take(NEIGHBOURS).collect()
    }

    /// Tells the process at `address` of the revision in force here, and puts in force what it
    /// has if that is newer.
    async fn ask(&self, address: SocketAddr) -> Option<FetchConfigReply> {
        let connection = {
            let mut connections = self.connections.borrow_mut();
            connections
                .entry(address)
                .or_insert_with(|| Connection::new(address))
                .clone()
        };
        let reply = fetch(&self.node, &connection, false).await;
        if reply.is_none() {
            self.connections.borrow_mut().remove(&address);
        }
        reply
    }
}

/// Asks the peer for what it has in force, and puts it in force here if it is newer.
pub async fn fetch(
    node: &Node,
    connection: &Connection,
    list_heard: bool,
) -> Option<FetchConfigReply> {
    let config = &node.config;
    let refused = config.refused_revision();
    let reply = call(node, connection, list_heard, config.revision().max(refused)).await?;
    // The peer may have one between the revision in force here and the one that was refused.
    if (config.revision() + 1..refused).contains(&reply.revision) {
        return call(node, connection, list_heard, config.revision()).await;
    }
    Some(reply)
}

/// Asks for a document of a higher revision than `revision`.
async fn call(
    node: &Node,
    connection: &Connection,
    list_heard: bool,
    revision: u64,
) -> Option<FetchConfigReply> {
    let call = async {
        let channel = connection.channel().await.ok()?;
        let origin = channel.origin();
        let mut client =
            PeerClient::with_origin(channel, origin).max_decoding_message_size(MESSAGE_MAX_BYTES);
        let request = FetchConfigRequest {
            stamp: node.stamp(),
            revision,
            list_heard,
        };
        Some(client.fetch_config(request).await.ok()?.into_inner())
    };
    let reply = before_deadline(now_unix_ms() + CALL_TIMEOUT_MS, call).await??;
    node.observe(reply.stamp.as_ref());
    if !reply.document.is_empty() {
        node.config.apply_json(&reply.document);
    }
    Some(reply)
}

/// A document of a megabyte, with the list of processes beside it.
const MESSAGE_MAX_BYTES: usize = 4 << 20;
