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
const CALLER_RECENT_MS: u64 = 10_000;
/// How often a process asks one of its neighbours, with as much jitter.
pub const POLL_INTERVAL_MS: u64 = 1000;
const STARTUP_POLL_INTERVAL_MS: u64 = 100;
/// Revisions that follow one another closely are told of together.
const GATHER_MS: u64 = 20;
/// News of instances and objects gathers for longer and longer while it comes without a pause.
const SHARED_GATHER_MAX_MS: u64 = 500;
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
struct Spread {
    node: Node,
    neighbours: RefCell<HashMap<SocketAddr, Neighbour>>,
    /// Processes that are being told.
    telling: RefCell<HashSet<SocketAddr>>,
}

/// A process that this one asks and tells.
#[derive(Clone)]
struct Neighbour {
    connection: Connection,
    /// How far its news is known here.
    read: SharedPosition,
    /// How far it was told of the news here.
    told: SharedPosition,
}

/// Tells, asks and fetches until the node's stop ends.
pub async fn spread_config(node: Node) {
    let spread = Rc::new(Spread {
        node,
        neighbours: RefCell::default(),
        telling: RefCell::default(),
    });
    let telling = spread.clone();
    compio::runtime::spawn(async move { telling.tell_on_change().await }).detach();
    let fetching = spread.clone();
    compio::runtime::spawn(async move { fetching.fetch_when_heard().await }).detach();
    let sharing = spread.clone();
    compio::runtime::spawn(async move { sharing.share_on_change().await }).detach();
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
            for address in self.addresses_to_tell() {
                self.start_telling(address);
            }
        }
    }

    /// Tells the neighbours what is new here of instances and objects, but for those who are
    /// known to have it.
    async fn share_on_change(self: Rc<Self>) {
        let shared = &self.node.shared_items;
        let mut told = shared.position();
        let mut gather_ms = GATHER_MS;
        while !self.node.stop.is_ended() {
            let changed = shared.listen();
            if shared.position() == told || !share::is_shared(&self.node) {
                told = shared.position();
                gather_ms = GATHER_MS;
                select(changed, pin!(self.node.stop.ended())).await;
                continue;
            }
            sleep_ms(gather_ms).await;
            gather_ms = (2 * gather_ms).min(SHARED_GATHER_MAX_MS);
            told = shared.position();
            for address in self.addresses_to_tell() {
                if self.node.known_peers.shared_digest(address) != Some(shared.digest()) {
                    self.start_telling(address);
                }
            }
        }
    }

    fn start_telling(self: &Rc<Self>, address: SocketAddr) {
        if self.telling.borrow_mut().insert(address) {
            let telling = self.clone();
            compio::runtime::spawn(async move { telling.tell(address).await }).detach();
        }
    }

    /// The neighbours, and who called lately.
    fn addresses_to_tell(&self) -> Vec<SocketAddr> {
        let mut addresses = self.neighbours();
        let since = now_unix_ms().saturating_sub(CALLER_RECENT_MS);
        addresses.extend(
            self.node
                .known_peers
                .recently_heard_addresses(since, RECENT_CALLERS_MAX),
        );
        addresses.sort_unstable();
        addresses.dedup();
        addresses
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
                POLL_INTERVAL_MS
            } else {
                STARTUP_POLL_INTERVAL_MS
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
        addresses.take(NEIGHBOUR_COUNT).collect()
    }

    /// Tells the process at `address` of the revision in force and of the news here, and puts
    /// in force what it has if that is newer.
    async fn ask(&self, address: SocketAddr) -> Option<FetchConfigReply> {
        let node = &self.node;
        let neighbour = {
            let mut neighbours = self.neighbours.borrow_mut();
            let neighbour = neighbours.entry(address).or_insert_with(|| Neighbour {
                connection: Connection::new(address),
                read: SharedPosition::default(),
                told: node.shared_items.position(),
            });
            neighbour.clone()
        };
        let mut told = neighbour.told;
        let ask = share::is_shared(node).then(|| {
            let (ask, reached) = share::ask(node, neighbour.read, neighbour.told);
            told = reached;
            ask
        });
        let request = FetchConfigRequest {
            stamp: node.stamp(),
            revision: asked_revision(node),
            list_heard: false,
            shared: ask,
        };
        let reply = exchange(node, &neighbour.connection, request).await;
        let Some(reply) = reply else {
            self.neighbours.borrow_mut().remove(&address);
            return None;
        };
        if let Some(answer) = &reply.shared {
            let read = share::take_answer(node, address, answer);
            if let Some(neighbour) = self.neighbours.borrow_mut().get_mut(&address) {
                neighbour.read = read;
                neighbour.told = told;
            }
        }
        ask_between(node, &neighbour.connection, reply).await
    }
}

/// Asks the peer for what it has in force, and puts it in force here if it is newer.
pub async fn fetch_config(
    node: &Node,
    connection: &Connection,
    list_heard: bool,
) -> Option<FetchConfigReply> {
    let reply = ask_beyond(node, connection, list_heard, asked_revision(node)).await?;
    ask_between(node, connection, reply).await
}

/// The revision beyond which a process asks: one that it refused need not be sent again.
fn asked_revision(node: &Node) -> u64 {
    node.config.revision().max(node.config.refused_revision())
}

/// Asks the peer again if it has a revision between the one in force here and one that was
/// refused; gives its last reply.
async fn ask_between(
    node: &Node,
    connection: &Connection,
    reply: FetchConfigReply,
) -> Option<FetchConfigReply> {
    let in_force = node.config.revision();
    if (in_force + 1..node.config.refused_revision()).contains(&reply.revision) {
        return ask_beyond(node, connection, false, in_force).await;
    }
    Some(reply)
}

/// Asks for a document of a higher revision than `revision`.
async fn ask_beyond(
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
    exchange(node, connection, request).await
}

async fn exchange(
    node: &Node,
    connection: &Connection,
    request: FetchConfigRequest,
) -> Option<FetchConfigReply> {
    let call = async {
        let channel = connection.channel().await.ok()?;
        let origin = channel.origin();
        let mut client =
            PeerClient::with_origin(channel, origin).max_decoding_message_size(MESSAGE_MAX_BYTES);
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
const MESSAGE_MAX_BYTES: usize = 4 << 20;
