//! Processes from which this one has received messages. Every message carries the sender's
//! configuration revision and the address at which it accepts calls.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use celerystair_core::prelude::*;
use celerystair_protocol::{HeardProcess, Stamp};

/// Maximum number of remembered processes; the one heard from longest ago is dropped first.
const MAX_KNOWN_PEERS: usize = 4096;

/// Contents of the last message from one process.
#[derive(Clone, Debug)]
struct PeerRecord {
    config_revision: u64,
    address: Option<SocketAddr>,
    last_heard_unix_ms: u64,
}

/// Processes from which this one has received messages, with the contents of the last one.
#[derive(Default)]
pub struct KnownPeers {
    own_address: Cell<Option<SocketAddr>>,
    by_name: RefCell<HashMap<String, PeerRecord>>,
    shared_digests: RefCell<HashMap<SocketAddr, u64>>,
}

impl KnownPeers {
    /// Sets the address at which this process accepts calls.
    pub fn set_own_address(&self, address: SocketAddr) {
        self.own_address.set(Some(address));
    }

    /// Returns the address at which this process accepts calls; empty before it is set.
    pub fn own_address(&self) -> String {
        self.own_address
            .get()
            .map(|address| address.to_string())
            .unwrap_or_default()
    }

    /// Records the stamp of a received message.
    pub fn record_stamp(&self, stamp: &Stamp) {
        let mut by_name = self.by_name.borrow_mut();
        let peer = PeerRecord {
            config_revision: stamp.config_revision,
            address: stamp.peer_address.parse().ok(),
            last_heard_unix_ms: now_unix_ms(),
        };
        by_name.insert(stamp.process.clone(), peer);
        if by_name.len() > MAX_KNOWN_PEERS {
            let oldest = by_name
                .iter()
                .min_by_key(|(_, peer)| peer.last_heard_unix_ms);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                by_name.remove(&name);
            }
        }
    }

    /// Returns the addresses of processes that have `revision` or a higher one in force.
    pub fn addresses_with_revision(&self, revision: u64) -> Vec<SocketAddr> {
        let by_name = self.by_name.borrow();
        let matching = by_name
            .values()
            .filter(|peer| peer.config_revision >= revision);
        matching.filter_map(|peer| peer.address).collect()
    }

    /// Returns the addresses of up to `max` processes that were heard from since `since_unix_ms`,
    /// the latest first.
    pub fn recently_heard_addresses(&self, since_unix_ms: u64, max: usize) -> Vec<SocketAddr> {
        let by_name = self.by_name.borrow();
        let mut recent: Vec<&PeerRecord> = by_name
            .values()
            .filter(|peer| peer.last_heard_unix_ms >= since_unix_ms)
            .collect();
        recent.sort_by_key(|peer| std::cmp::Reverse(peer.last_heard_unix_ms));
        recent
            .iter()
            .filter_map(|peer| peer.address)
            .take(max)
            .collect()
    }

    /// Records the digest of the shared items that the process at `address` has.
    pub fn record_shared_digest(&self, address: SocketAddr, digest: u64) {
        let mut digests = self.shared_digests.borrow_mut();
        if digests.len() >= MAX_KNOWN_PEERS {
            // The digests only save pushes of items that the peer already has.
            digests.clear();
        }
        digests.insert(address, digest);
    }

    /// Returns the digest that the process at `address` last reported.
    pub fn shared_digest(&self, address: SocketAddr) -> Option<u64> {
        self.shared_digests.borrow().get(&address).copied()
    }

    /// Returns all known processes as messages of the peer protocol.
    pub fn to_messages(&self) -> Vec<HeardProcess> {
        let by_name = self.by_name.borrow();
        by_name
            .iter()
            .map(|(process, peer)| HeardProcess {
                process: process.clone(),
                config_revision: peer.config_revision,
                heard_unix_ms: peer.last_heard_unix_ms,
            })
            .collect()
    }
}
