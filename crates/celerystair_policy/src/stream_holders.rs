//! Which processes hold where a stream began, and whom one that holds it tells again.
//!
//! The origin of a stream must outlive the router that has passed it on, all agents, and all other
//! routers. So processes of both roles hold it, which rendezvous hashing selects in different failure
//! domains, and whoever holds it tells others once a holder leaves or starts again. A holder is a process,
//! and not an address.

use std::{collections::VecDeque, net::SocketAddr};

use celerystair_core::prelude::*;

use crate::{
    spread::{Peer, address_weight},
    stream_versions::{GENERATION_MS, StreamId, StreamOrigin, StreamOrigins},
};

/// The processes of each role that hold the origin of a stream: a datagram may be lost, and some end.
pub const HOLDERS_PER_ROLE: usize = 3;
/// The processes of each role that are asked for an origin at least: some that came since may rank before
/// those that hold it.
pub const ASKED_PER_ROLE: usize = 2 * HOLDERS_PER_ROLE;
/// The most identifiers for which a process remembers who holds them: about two megabytes.
const HELD_MAX: usize = 8 * 1024;

/// The processes that may hold records, as one of them knows them.
#[derive(Clone, Debug, Default)]
pub struct HolderPeers {
    /// The agents that don't leave.
    pub agents: Vec<Peer>,
    /// The routers.
    pub routers: Vec<Peer>,
}

impl HolderPeers {
    fn addresses(&self) -> HashSet<SocketAddr> {
        let peers = self.agents.iter().chain(&self.routers);
        peers.map(|peer| peer.address).collect()
    }
}

/// What identifies a stream: a request, or the bytes that identical requests share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamKey {
    /// The request that brought the first event. Callers name it when they take the stream up.
    Request,
    /// Identical requests. By it, the stream of a caller that names no request is only guessed.
    SharedBytes,
}

impl StreamKey {
    /// Returns how many processes hold a record. One under shared bytes costs as much as one under the
    /// request and is rarely wanted, so that routers hold it only where agents are few.
    fn holders(self) -> usize {
        match self {
            Self::Request => 2 * HOLDERS_PER_ROLE,
            Self::SharedBytes => HOLDERS_PER_ROLE,
        }
    }
}

/// Returns the processes that hold the origin of a stream: of each role those that come first by rendezvous
/// hashing, one of each failure domain before a second one of any. Processes whose lists differ in one of
/// them agree on all others. Those of one role take the place of those that the other lacks.
pub fn origin_holders(stream: StreamId, key: StreamKey, peers: &HolderPeers) -> Vec<SocketAddr> {
    let routers = first_peers(stream, &peers.routers, key.holders());
    let routers_due = key.holders() - HOLDERS_PER_ROLE;
    let agents_due = key.holders() - routers.len().min(routers_due);
    let mut holders = first_peers(stream, &peers.agents, agents_due);
    let routers_due = key.holders() - holders.len();
    holders.extend(routers.into_iter().take(routers_due));
    holders
}

/// Returns the processes that are asked for the origin of a stream: those that hold it now, and the agents
/// that held it before as many others came or before some of `all_agents` began to leave.
pub fn holders_asked(
    stream: StreamId,
    key: StreamKey,
    peers: &HolderPeers,
    all_agents: &[Peer],
) -> Vec<SocketAddr> {
    let mut asked = first_peers(stream, &peers.agents, ASKED_PER_ROLE);
    for holder in first_peers(stream, all_agents, HOLDERS_PER_ROLE) {
        if !asked.contains(&holder) {
            asked.push(holder);
        }
    }
    if key == StreamKey::Request || asked.len() < HOLDERS_PER_ROLE {
        asked.extend(first_peers(stream, &peers.routers, ASKED_PER_ROLE));
    }
    asked
}

fn first_peers(stream: StreamId, peers: &[Peer], count: usize) -> Vec<SocketAddr> {
    let mut ranked: Vec<(u64, &Peer)> = peers
        .iter()
        .map(|peer| (address_weight(stream.0, peer.address), peer))
        .collect();
    ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    // Two engines may be listed on one instance, which has one agent.
    ranked.dedup_by_key(|(_, peer)| peer.address);
    let mut domains: HashSet<&FailureDomain> = HashSet::default();
    let (mut first, mut further) = (Vec::new(), Vec::new());
    for (_, peer) in ranked {
        let is_first = domains.insert(&peer.domain);
        let list = if is_first { &mut first } else { &mut further };
        list.push(peer.address);
    }
    first.extend(further);
    first.truncate(count);
    first
}

/// A record that a process is told to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OriginRecord {
    /// The stream.
    pub stream: StreamId,
    /// What identifies it.
    pub key: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// When a process recorded it last because the stream began or was taken up.
    pub recorded_unix_ms: u64,
}

/// The streams whose origins this process holds for others, and who else holds them.
#[derive(Clone, Debug, Default)]
pub struct HeldStreams {
    streams: HashMap<StreamId, HeldStream>,
    /// All of them, those first that came first.
    order: VecDeque<StreamId>,
    /// When the process at each address started, by its own clock.
    started_unix_ms: HashMap<SocketAddr, u64>,
    /// Where a process has started since streams were told again last.
    restarted: HashSet<SocketAddr>,
    /// The processes that were known then.
    known: HashSet<SocketAddr>,
}

#[derive(Clone, Debug)]
struct HeldStream {
    key: StreamKey,
    /// `None` until this process has looked who they are: another process has told of the stream.
    holders: Option<Vec<SocketAddr>>,
    end_unix_ms: u64,
}

impl HeldStreams {
    /// Records that this process has told `holders` of a stream.
    pub fn record_told(
        &mut self,
        stream: StreamId,
        key: StreamKey,
        holders: Vec<SocketAddr>,
        now_unix_ms: u64,
    ) {
        self.record(stream, key, Some(holders), now_unix_ms, now_unix_ms);
    }

    /// Records that another process has told this one of a stream.
    pub fn record_held(&mut self, record: &OriginRecord, now_unix_ms: u64) {
        let OriginRecord { stream, key, .. } = *record;
        self.record(stream, key, None, record.recorded_unix_ms, now_unix_ms);
    }

    fn record(
        &mut self,
        stream: StreamId,
        key: StreamKey,
        holders: Option<Vec<SocketAddr>>,
        recorded_unix_ms: u64,
        now_unix_ms: u64,
    ) {
        let end_unix_ms = recorded_unix_ms.saturating_add(GENERATION_MS);
        if let Some(held) = self.streams.get_mut(&stream) {
            held.end_unix_ms = held.end_unix_ms.max(end_unix_ms);
            held.holders = holders.or_else(|| held.holders.take());
            return;
        }
        self.make_room(now_unix_ms);
        self.order.push_back(stream);
        let held = HeldStream {
            key,
            holders,
            end_unix_ms,
        };
        self.streams.insert(stream, held);
    }

    /// Drops the streams that ended, up to the first that has not, and the oldest one if there is no room.
    fn make_room(&mut self, now_unix_ms: u64) {
        while let Some(first) = self.order.front() {
            let is_past = |held: &HeldStream| now_unix_ms >= held.end_unix_ms;
            let is_full = self.order.len() >= HELD_MAX;
            if !is_full && !self.streams.get(first).is_none_or(is_past) {
                return;
            }
            self.streams.remove(first);
            self.order.pop_front();
        }
    }

    /// Records when the process at an address started. What was told to an earlier one there is lost, as
    /// may be what was told before the first start was heard of. An earlier start than a known one is old
    /// news.
    pub fn record_start(&mut self, address: SocketAddr, started_unix_ms: u64) {
        let known = self.started_unix_ms.get(&address);
        if known.is_none_or(|known| *known < started_unix_ms) {
            self.started_unix_ms.insert(address, started_unix_ms);
            self.restarted.insert(address);
        }
    }

    /// Returns what others are to be told, because some that hold a stream have left or started again, or
    /// because fewer were known before. `own` is the address of this process, which may be among `peers`.
    pub fn retell(
        &mut self,
        origins: &StreamOrigins,
        peers: &HolderPeers,
        own: SocketAddr,
        now_unix_ms: u64,
    ) -> HashMap<SocketAddr, Vec<OriginRecord>> {
        let mut messages: HashMap<SocketAddr, Vec<OriginRecord>> = HashMap::default();
        let addresses = peers.addresses();
        // None is known for a moment where the list can't be read.
        if addresses.iter().all(|address| *address == own) {
            self.known.clear();
            return messages;
        }
        let mut restarted = std::mem::take(&mut self.restarted);
        // Agents whose engines leave go on to tell of their start.
        restarted.retain(|address| addresses.contains(address));
        let is_changed = !restarted.is_empty() || addresses != self.known;
        self.started_unix_ms
            .retain(|address, _| addresses.contains(address));
        for (stream, held) in &mut self.streams {
            if !is_changed && held.holders.is_some() || now_unix_ms >= held.end_unix_ms {
                continue;
            }
            let (stream, key) = (*stream, held.key);
            let holders = held
                .holders
                .get_or_insert_with(|| origin_holders(stream, key, peers));
            let is_standing = |holder: &SocketAddr| {
                addresses.contains(holder) && (*holder == own || !restarted.contains(holder))
            };
            holders.retain(is_standing);
            if holders.len() >= key.holders().min(addresses.len()) {
                continue;
            }
            let wanted = origin_holders(stream, key, peers);
            let told = wanted
                .iter()
                .filter(|holder| **holder != own && !holders.contains(holder));
            for holder in told {
                let records = messages.entry(*holder).or_default();
                let known = origins.all_recorded(stream);
                records.extend(known.map(|(origin, recorded_unix_ms)| OriginRecord {
                    stream,
                    key,
                    origin: origin.clone(),
                    recorded_unix_ms,
                }));
            }
            *holders = wanted;
        }
        self.known = addresses;
        messages
    }
}
