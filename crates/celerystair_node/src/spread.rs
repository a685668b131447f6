//! Propagation of configuration revisions to every process. A few processes of each failure domain
//! watch the store. Each process pushes a revision that it puts in force to its neighbours, and
//! polls a random neighbour regularly. Calls to the store therefore don't grow with the fleet, and
//! an accepted revision reaches every process even while the store is down. See
//! `docs/CONFIGURATION.md`.

use std::{cell::RefCell, net::SocketAddr, pin::pin, rc::Rc};

use celerystair_core::{prelude::*, rendezvous, time::before_deadline};
use celerystair_net::prelude::*;
use celerystair_platform::prelude::{AgentObject, Instances, Mirror, SharedPosition};
use celerystair_protocol::{FetchConfigReply, FetchConfigRequest, peer_client::PeerClient};
use celerystair_telemetry::prelude::*;
use futures_util::future::select;

use crate::{node::Node, share};

/// Number of agents in each failure domain that watch the store.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Number of neighbours of a process, which it selects from all agents by rendezvous hashing.
pub const NEIGHBOUR_COUNT: usize = 6;
/// Maximum number of recent callers that are pushed to in addition to the neighbours. Routers are
/// in no list of agents and are reached only in this way.
pub const RECENT_CALLERS_MAX: usize = 12;
/// A process that sent a message within this time is a recent caller.
const RECENT_CALLER_MS: u64 = 10_000;
/// Mean interval at which a process polls one of its neighbours; each interval varies by up to
/// half.
pub const POLL_INTERVAL_MS: u64 = 1000;
/// The same until the process knows the configuration.
const STARTUP_POLL_INTERVAL_MS: u64 = 100;
/// Delay before a push, so that revisions in quick succession are pushed together.
const BATCH_DELAY_MS: u64 = 20;
/// Upper bound of the delay before a push of shared items, which doubles while items arrive without
/// a pause.
const MAX_SHARED_BATCH_DELAY_MS: u64 = 500;
/// In a fleet with fewer agents every process reads the platform itself, which is faster and uses a
/// small share of the platform's rate limit.
pub const MIN_AGENTS_FOR_SHARING: usize = 20;
const CALL_TIMEOUT_MS: u64 = 1000;

/// Whether this process watches the store itself. The first [`WATCHERS_PER_DOMAIN`] agents of a
/// failure domain in rendezvous order do, and every process of a domain without a known agent.
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
    let own_weight = rendezvous::weight(WATCHER_RANK_KEY, own);
    if domain.clone().next().is_none() {
        return true;
    }
    if !domain.clone().any(|(name, _)| name == own) {
        return false;
    }
    let ranked_above =
        domain.filter(|(name, _)| rendezvous::weight(WATCHER_RANK_KEY, name) > own_weight);
    ranked_above.count() < WATCHERS_PER_DOMAIN
}

/// Key for the rendezvous hashing that selects the watchers of a failure domain.
const WATCHER_RANK_KEY: &str = "watches config/head";

/// Whether this process regularly reads the list of instances and the objects from the platform
/// itself, and does not wait for its peers to send them.
pub fn reads_platform(
    agents: &Mirror<AgentObject>,
    instances: &Instances,
    failure_domain: &str,
    own: &str,
) -> bool {
    agents.len() < MIN_AGENTS_FOR_SHARING || watches_store(agents, instances, failure_domain, own)
}

/// Connections to the processes that this one polls and pushes to.
struct Spreader {
    node: Node,
    neighbours: RefCell<HashMap<SocketAddr, Neighbour>>,
    /// Addresses with a push in flight.
    pushing: RefCell<HashSet<SocketAddr>>,
}

/// A process that this one polls or pushes to.
#[derive(Clone)]
struct Neighbour {
    connection: Connection,
    /// Position up to which its shared items were received.
    read_position: SharedPosition,
    /// Position up to which it was sent the shared items of this process.
    sent_position: SharedPosition,
}

/// Pushes, polls and fetches until the node's stop ends.
pub async fn spread_config(node: Node) {
    let spreader = Rc::new(Spreader {
        node,
        neighbours: RefCell::default(),
        pushing: RefCell::default(),
    });
    let task = spreader.clone();
    compio::runtime::spawn(async move { task.push_on_change().await }).detach();
    let task = spreader.clone();
    compio::runtime::spawn(async move { task.fetch_announced_revision().await }).detach();
    let task = spreader.clone();
    compio::runtime::spawn(async move { task.share_on_change().await }).detach();
    spreader.poll_neighbours().await;
}

impl Spreader {
    /// Pushes each revision that comes into force in this process.
    async fn push_on_change(self: Rc<Self>) {
        let config = &self.node.config;
        let mut pushed_revision = 0;
        while !self.node.stop.is_ended() {
            let changed = config.listen();
            if let Some(refusal) = config.take_refusal() {
                warn!(self.node.log, "rejected a configuration document; the previous one stays in force";
                    "reason" => %refusal);
            }
            if config.revision() <= pushed_revision {
                select(changed, pin!(self.node.stop.ended())).await;
                continue;
            }
            sleep_ms(BATCH_DELAY_MS).await;
            pushed_revision = config.revision();
            for address in self.push_targets() {
                self.start_push(address);
            }
        }
    }

    /// Pushes new shared items to all processes that are not known to have them already.
    async fn share_on_change(self: Rc<Self>) {
        let shared = &self.node.shared_items;
        let mut pushed_position = shared.position();
        let mut batch_delay_ms = BATCH_DELAY_MS;
        while !self.node.stop.is_ended() {
            let changed = shared.listen();
            if shared.position() == pushed_position || !share::is_sharing_enabled(&self.node) {
                pushed_position = shared.position();
                batch_delay_ms = BATCH_DELAY_MS;
                select(changed, pin!(self.node.stop.ended())).await;
                continue;
            }
            sleep_ms(batch_delay_ms).await;
            batch_delay_ms = (2 * batch_delay_ms).min(MAX_SHARED_BATCH_DELAY_MS);
            pushed_position = shared.position();
            for address in self.push_targets() {
                if self.node.known_peers.shared_digest(address) != Some(shared.digest()) {
                    self.start_push(address);
                }
            }
        }
    }

    fn start_push(self: &Rc<Self>, address: SocketAddr) {
        if self.pushing.borrow_mut().insert(address) {
            let task = self.clone();
            compio::runtime::spawn(async move { task.push_to(address).await }).detach();
        }
    }

    /// Returns the addresses of the neighbours and of recent callers.
    fn push_targets(&self) -> Vec<SocketAddr> {
        let mut addresses = self.neighbours();
        let since_unix_ms = now_unix_ms().saturating_sub(RECENT_CALLER_MS);
        addresses.extend(
            self.node
                .known_peers
                .recently_heard_addresses(since_unix_ms, RECENT_CALLERS_MAX),
        );
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Pushes to one process until it has received the latest revision or does not answer. Each
    /// process has its own task, so that one without an answer does not delay the others.
    async fn push_to(&self, address: SocketAddr) {
        loop {
            let sent_revision = self.node.config.revision();
            let is_answered = self.exchange_with(address).await.is_some();
            if !is_answered || self.node.config.revision() == sent_revision {
                break;
            }
        }
        self.pushing.borrow_mut().remove(&address);
    }

    /// Fetches a higher revision that a message has announced from processes that have it.
    async fn fetch_announced_revision(&self) {
        let config = &self.node.config;
        while !self.node.stop.is_ended() {
            let changed = config.listen();
            let announced_revision = config.highest_peer_revision();
            if announced_revision <= config.revision().max(config.refused_revision()) {
                select(changed, pin!(self.node.stop.ended())).await;
                continue;
            }
            let mut addresses = self
                .node
                .known_peers
                .addresses_with_revision(announced_revision);
            let first = rand::random_range(0..addresses.len().max(1));
            if first < addresses.len() {
                addresses.rotate_left(first);
            }
            for address in addresses {
                self.exchange_with(address).await;
                if config.revision() >= announced_revision {
                    break;
                }
            }
            if config.revision() < announced_revision {
                sleep_ms(rand::random_range(BATCH_DELAY_MS..5 * BATCH_DELAY_MS)).await;
            }
        }
    }

    /// Polls a random neighbour or configured peer at regular intervals, so that a process that
    /// missed a push still gets the revision.
    async fn poll_neighbours(&self) {
        while !self.node.stop.is_ended() {
            let mut addresses = self.neighbours();
            addresses.extend(self.node.settings.peers.iter().copied());
            if !addresses.is_empty() {
                let address = addresses[rand::random_range(0..addresses.len())];
                self.exchange_with(address).await;
            }
            let interval_ms = if self.node.config.is_known() {
                POLL_INTERVAL_MS
            } else {
                STARTUP_POLL_INTERVAL_MS
            };
            let pause = sleep_ms(rand::random_range(interval_ms / 2..=interval_ms * 3 / 2));
            select(pin!(pause), pin!(self.node.stop.ended())).await;
        }
    }

    /// Returns the addresses of the neighbours. Each process has its own rendezvous order of the
    /// agents.
    fn neighbours(&self) -> Vec<SocketAddr> {
        let agents = self.node.agents.all();
        let others = agents.iter().filter(|(name, agent)| {
            *name != self.node.name && !self.node.instances.is_gone(&agent.instance)
        });
        let ranked = rendezvous::order(&self.node.name, others, |(name, _)| name.as_str());
        let addresses = ranked.into_iter().map(|(_, agent)| agent.address);
        addresses.take(NEIGHBOUR_COUNT).collect()
    }

    /// Sends the revision in force and new shared items to the process at `address`, and applies
    /// the newer revision and items of its reply.
    async fn exchange_with(&self, address: SocketAddr) -> Option<FetchConfigReply> {
        let node = &self.node;
        let neighbour = {
            let mut neighbours = self.neighbours.borrow_mut();
            let neighbour = neighbours.entry(address).or_insert_with(|| Neighbour {
                connection: Connection::new(address),
                read_position: SharedPosition::default(),
                sent_position: node.shared_items.position(),
            });
            neighbour.clone()
        };
        let mut sent_position = neighbour.sent_position;
        let shared_request = share::is_sharing_enabled(node).then(|| {
            let (request, reached) =
                share::build_request(node, neighbour.read_position, neighbour.sent_position);
            sent_position = reached;
            request
        });
        let request = FetchConfigRequest {
            stamp: node.stamp(),
            revision: newest_examined_revision(node),
            list_heard: false,
            shared: shared_request,
        };
        let reply = call_peer(node, &neighbour.connection, request).await;
        let Some(reply) = reply else {
            self.neighbours.borrow_mut().remove(&address);
            return None;
        };
        if let Some(answer) = &reply.shared {
            let read_position = share::apply_answer(node, address, answer);
            if let Some(neighbour) = self.neighbours.borrow_mut().get_mut(&address) {
                neighbour.read_position = read_position;
                neighbour.sent_position = sent_position;
            }
        }
        retry_below_refused(node, &neighbour.connection, reply).await
    }
}

/// Fetches the peer's configuration, and puts it in force in this process if it is newer.
pub async fn fetch_config(
    node: &Node,
    connection: &Connection,
    list_heard: bool,
) -> Option<FetchConfigReply> {
    let reply =
        request_newer_than(node, connection, list_heard, newest_examined_revision(node)).await?;
    retry_below_refused(node, connection, reply).await
}

/// Returns the highest revision that this process has applied or rejected. It requests only newer
/// ones, because a rejected document need not be sent again.
fn newest_examined_revision(node: &Node) -> u64 {
    node.config.revision().max(node.config.refused_revision())
}

/// Repeats the request if the peer has a revision that is newer than the one in force in this
/// process and older than one that it rejected; returns the peer's last reply.
async fn retry_below_refused(
    node: &Node,
    connection: &Connection,
    reply: FetchConfigReply,
) -> Option<FetchConfigReply> {
    let in_force = node.config.revision();
    if (in_force + 1..node.config.refused_revision()).contains(&reply.revision) {
        return request_newer_than(node, connection, false, in_force).await;
    }
    Some(reply)
}

/// Requests the peer's document if its revision is higher than `revision`.
async fn request_newer_than(
    node: &Node,
    connection: &Connection,
    list_heard: bool,
    revision: u64,
) -> Option<FetchConfigReply> {
    let request = FetchConfigRequest {
        stamp: node.stamp(),
        revision,
        list_heard,
        shared: None,
    };
    call_peer(node, connection, request).await
}

async fn call_peer(
    node: &Node,
    connection: &Connection,
    request: FetchConfigRequest,
) -> Option<FetchConfigReply> {
    let call = async {
        let channel = connection.channel().await.ok()?;
        let origin = channel.origin();
        let mut client =
            PeerClient::with_origin(channel, origin).max_decoding_message_size(MAX_MESSAGE_BYTES);
        Some(client.fetch_config(request).await.ok()?.into_inner())
    };
    let reply = before_deadline(now_unix_ms() + CALL_TIMEOUT_MS, call).await??;
    node.observe(reply.stamp.as_ref());
    if !reply.document.is_empty() {
        node.config.apply_json(&reply.document);
    }
    Some(reply)
}

/// Room for a document of one megabyte, shared items and the list of processes.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
