//! Connections to agents, opened on first use, and the last known state of each agent.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use celerystair_core::{prelude::*, time::to_local_unix_ms};
use celerystair_net::{grpc::Channel, prelude::*};
use celerystair_protocol::{News, ReplicaNews, ReplicaState};

/// How long an agent's report that it is leaving stays valid.
const LEAVING_VALIDITY_MS: u64 = 2_000;
/// How long an unreachable agent is passed over if another can serve. After that, one request
/// probes it.
const UNREACHABLE_BACKOFF_MS: u64 = 5_000;

/// An agent, with this router's connection to it and its last reported state.
pub struct Peer {
    /// The upstream that the agent manages.
    pub upstream: UpstreamId,
    /// The connection to the agent.
    pub connection: Connection,
    /// Attempts that this router has in flight at the upstream.
    pub outstanding: Cell<u32>,
    /// The agent's last known incarnation.
    pub incarnation: RefCell<String>,
    /// The last report of the agent's load.
    pub load: RefCell<News>,
    /// When the last report arrived; 0 before the first.
    pub received_unix_ms: Cell<u64>,
    /// The end of the backoff after a failed connection; 0 if a report has arrived since.
    backoff_until_unix_ms: Cell<u64>,
    /// The last report of each replica, by model.
    pub replicas: RefCell<HashMap<String, ReplicaNews>>,
}

/// The agents that this router has chosen or connected to so far.
#[derive(Default)]
pub struct Peers {
    by_upstream: RefCell<HashMap<UpstreamId, Rc<Peer>>>,
}

impl Peers {
    /// Returns the agent of `upstream`, and creates it if it is new or its address has changed.
    /// `incarnation` is the agent's incarnation according to the store.
    pub fn get(&self, upstream: &str, address: SocketAddr, incarnation: &str) -> Rc<Peer> {
        let mut by_upstream = self.by_upstream.borrow_mut();
        if let Some(peer) = by_upstream.get(upstream)
            && peer.connection.address() == address
        {
            return peer.clone();
        }
        let peer = Rc::new(Peer {
            upstream: upstream.into(),
            connection: Connection::new(address),
            outstanding: Cell::new(0),
            incarnation: RefCell::new(incarnation.to_owned()),
            load: RefCell::default(),
            received_unix_ms: Cell::new(0),
            backoff_until_unix_ms: Cell::new(0),
            replicas: RefCell::default(),
        });
        by_upstream.insert(upstream.into(), peer.clone());
        peer
    }
}

impl Peer {
    /// Applies news piggybacked on a reply, unless newer news was applied before.
    pub fn apply_news(&self, mut news: News) {
        if news.sent_unix_ms < self.load.borrow().sent_unix_ms {
            return;
        }
        if *self.incarnation.borrow() != news.agent_life {
            self.replicas.borrow_mut().clear();
            self.incarnation.borrow_mut().clone_from(&news.agent_life);
        }
        let received_unix_ms = now_unix_ms();
        self.received_unix_ms.set(received_unix_ms);
        self.backoff_until_unix_ms.set(0);
        let to_local_clock = |unix_ms: u64| match unix_ms {
            0 => 0,
            _ => to_local_unix_ms(unix_ms, news.sent_unix_ms, received_unix_ms),
        };
        let mut replicas = self.replicas.borrow_mut();
        for mut replica in std::mem::take(&mut news.replicas) {
            replica.ready_unix_ms = to_local_clock(replica.ready_unix_ms);
            replica.loaded_until_unix_ms = to_local_clock(replica.loaded_until_unix_ms);
            replicas.insert(replica.model.clone(), replica);
        }
        *self.load.borrow_mut() = news;
    }

    /// Returns the last reported state of the replica of `model`, and when it is expected to be
    /// ready (0 if unknown).
    pub fn replica_state(&self, model: &str) -> (ReplicaState, u64) {
        let replicas = self.replicas.borrow();
        let Some(replica) = replicas.get(model) else {
            return (ReplicaState::Unspecified, 0);
        };
        let until_unix_ms = replica.loaded_until_unix_ms;
        if replica.state() == ReplicaState::Loaded && (1..now_unix_ms()).contains(&until_unix_ms) {
            return (ReplicaState::Unloaded, 0);
        }
        (replica.state(), replica.ready_unix_ms)
    }

    /// Whether the agent recently reported that it accepts no new requests. An older report doesn't
    /// count, because an upstream that stays after all would never be chosen again.
    pub fn is_leaving(&self) -> bool {
        let load = self.load.borrow();
        load.leaving && now_unix_ms() < self.received_unix_ms.get() + LEAVING_VALIDITY_MS
    }

    /// Returns a channel for one or more calls; starts the backoff if the connection fails.
    ///
    /// # Errors
    /// [`ConnectionError`] if the connection fails; nothing has been sent then.
    pub async fn channel(&self) -> Result<Channel, ConnectionError> {
        let channel = self.connection.channel().await;
        if channel.is_err() {
            self.start_backoff();
        }
        channel
    }

    /// Records that a request is about to be sent. If a backoff has run out, this renews it, so
    /// that only this request probes the agent.
    pub fn record_chosen(&self) {
        if self.backoff_until_unix_ms.get() > 0 {
            self.start_backoff();
        }
    }

    /// Whether a connection failed recently. This moves no slot; see `docs/PLACEMENT.md`.
    pub fn is_in_backoff(&self) -> bool {
        now_unix_ms() < self.backoff_until_unix_ms.get()
    }

    /// Starts the backoff after the agent was found unreachable.
    pub fn start_backoff(&self) {
        let until_unix_ms = now_unix_ms() + UNREACHABLE_BACKOFF_MS;
        self.backoff_until_unix_ms.set(until_unix_ms);
    }
}
