//! How a new revision reaches every process. A few processes of each failure domain watch the
//! store; each process that puts a revision in force tells its neighbours, and each asks one
//! of them now and then. So the store's calls don't grow with the fleet, and what was accepted
//! reaches all while the store is down. See `docs/CONFIGURATION.md`.

use std::{cell::RefCell, net::SocketAddr, pin::pin, rc::Rc};

use celerystair_core::{prelude::*, rendezvous, time::before_deadline};
use celerystair_net::prelude::*;
use celerystair_platform::prelude::{AgentObject, Instances, Mirror, SharedPosition};
use celerystair_protocol::{FetchConfigReply, FetchConfigRequest, peer_client::PeerClient};
use celerystair_telemetry::prelude::*;
use futures_util::future::select;

use crate::{node::Node, share};

/// Agents that watch the store in each failure domain.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// A process tells this many others of a new revision, drawn by rendezvous from all agents.
pub const NEIGHBOUR_COUNT: usize = 6;
/// Processes that called lately are told as well: routers stand in nobody's list.
pub const RECENT_CALLERS_MAX: usize = 12;
const RECENT_CALLER_MS: u64 = 10_000;
/// How often a process asks one of its neighbours, with as much jitter.
pub const POLL_INTERVAL_MS: u64 = 1000;
const STARTUP_POLL_INTERVAL_MS: u64 = 100;
/// Revisions that follow one another closely are told of together.
const BATCH_DELAY_MS: u64 = 20;
/// News of instances and objects gathers for longer and longer while it comes without a pause.
const MAX_SHARED_BATCH_DELAY_MS: u64 = 500;
/// In a fleet of fewer agents every process follows the platform itself, which is quicker and
/// takes a small share of its rate.
pub const MIN_AGENTS_FOR_SHARING: usize = 20;
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

const WATCHER_RANK_KEY: &str = "watches config/head";

/// Whether this process follows the list of instances and the objects at the platform itself
/// and does not wait for others to tell.
pub fn reads_platform(
    agents: &Mirror<AgentObject>,
    instances: &Instances,
    failure_domain: &str,
    own: &str,
) -> bool {
    agents.len() < MIN_AGENTS_FOR_SHARING || watches_store(agents, instances, failure_domain, own)
}

/// Connections to the processes that this one asks and tells.
struct Spreader {
    node: Node,
    neighbours: RefCell<HashMap<SocketAddr, Neighbour>>,
    /// Processes that are being told.
    pushing: RefCell<HashSet<SocketAddr>>,
}

/// A process that this one asks and tells.
#[derive(Clone)]
struct Neighbour {
    connection: Connection,
    /// How far its news is known here.
    read_position: SharedPosition,
    /// How far it was told of the news here.
    sent_position: SharedPosition,
}

/// Tells, asks and fetches until the node's stop ends.
pub async fn spread_config(node: Node) {
    let spreader = Rc::new(Spreader {
        node,
        neighbours: RefCell::default(),
        pushing: RefCell::default(),
    });
    let task = spreader.clone();
    compio::runtime::spawn(async move { task.push_on_change().await }).detach();
    let task = spreader.clone();
    compio::runtime::spawn(async move { task.fetch_when_heard().await }).detach();
    let task = spreader.clone();
    compio::runtime::spawn(async move { task.share_on_change().await }).detach();
    spreader.poll_neighbours().await;
}

impl Spreader {
    /// Tells the neighbours of each revision that comes into force here.
    async fn push_on_change(self: Rc<Self>) {
        let config = &self.node.config;
        let mut pushed_revision = 0;
        while !self.node.stop.is_ended() {
            let changed = config.listen();
            if let Some(refusal) = config.take_refusal() {
                warn!(self.node.log, "the earlier configuration stays in force"; "reason" => %refusal);
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

    /// Tells the neighbours what is new here of instances and objects, but for those who are
    /// known to have it.
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

    /// The neighbours, and who called lately.
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

    /// Tells one process until it has heard of the latest revision. A process that does not
    /// answer delays no other.
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

    /// Fetches a revision that was heard of from those that have it.
    async fn fetch_when_heard(&self) {
        let config = &self.node.config;
        while !self.node.stop.is_ended() {
            let changed = config.listen();
            let heard = config.highest_peer_revision();
            if heard <= config.revision().max(config.refused_revision()) {
                select(changed, pin!(self.node.stop.ended())).await;
                continue;
            }
            let mut addresses = self.node.known_peers.addresses_with_revision(heard);
            let first = rand::random_range(0..addresses.len().max(1));
            if first < addresses.len() {
                addresses.rotate_left(first);
            }
            for address in addresses {
                self.exchange_with(address).await;
                if config.revision() >= heard {
                    break;
                }
            }
            if config.revision() < heard {
                sleep_ms(rand::random_range(BATCH_DELAY_MS..5 * BATCH_DELAY_MS)).await;
            }
        }
    }

    /// Asks one neighbour after another, so that who was not told finds out all the same.
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

    /// The agents that this process tells and asks: its own draw from all of them.
    fn neighbours(&self) -> Vec<SocketAddr> {
        let agents = self.node.agents.all();
        let others = agents.iter().filter(|(name, agent)| {
            *name != self.node.name && !self.node.instances.is_gone(&agent.instance)
        });
        let ranked = rendezvous::order(&self.node.name, others, |(name, _)| name.as_str());
        let addresses = ranked.into_iter().map(|(_, agent)| agent.address);
        addresses.take(NEIGHBOUR_COUNT).collect()
    }

    /// Tells the process at `address` of the revision in force and of the news here, and puts
    /// in force what it has if that is newer.
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

/// Asks the peer for what it has in force, and puts it in force here if it is newer.
pub async fn fetch_config(
    node: &Node,
    connection: &Connection,
    list_heard: bool,
) -> Option<FetchConfigReply> {
    let reply =
        request_newer_than(node, connection, list_heard, newest_examined_revision(node)).await?;
    retry_below_refused(node, connection, reply).await
}

/// The revision beyond which a process asks: one that it refused need not be sent again.
fn newest_examined_revision(node: &Node) -> u64 {
    node.config.revision().max(node.config.refused_revision())
}

/// Asks the peer again if it has a revision between the one in force here and one that was
/// refused; gives its last reply.
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

/// Asks for a document of a higher revision than `revision`.
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

/// A document of a megabyte, with news and the list of processes beside it.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
