//! Agents: connections made when first needed, and what was last heard of each.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use celerystair_core::{prelude::*, time::carry_over};
use celerystair_net::{grpc::Channel, prelude::*};
use celerystair_protocol::{News, ReplicaNews, ReplicaState};

/// How long an agent's word that it is leaving counts.
const LEAVING_LIFE_MS: u64 = 2_000;
/// How long an agent that took no connection is left alone.
const UNREACHABLE_LIFE_MS: u64 = 2_000;

/// One agent as this router knows it.
pub struct Peer {
    /// The upstream beside which it runs.
    pub upstream: UpstreamId,
    /// The connection to it.
    pub connection: Connection,
    /// This router's attempts there that have not ended.
    pub outstanding: Cell<u32>,
    /// The run of the agent that was last heard of.
    pub life: RefCell<String>,
    /// Its load, as last heard.
    pub load: RefCell<News>,
    /// When it was last heard of.
    pub heard_unix_ms: Cell<u64>,
    /// Until when it is taken for unreachable; 0 once it takes connections.
    pub unreachable_until_unix_ms: Cell<u64>,
    /// Its replicas, as last heard.
    pub replicas: RefCell<HashMap<String, ReplicaNews>>,
}

/// All agents that this router has talked to.
#[derive(Default)]
pub struct Peers {
    by_upstream: RefCell<HashMap<UpstreamId, Rc<Peer>>>,
}

impl Peers {
    /// The agent of `upstream`, which listens at `address`; `life` is what the store says of
    /// the agent's run.
    pub fn get(&self, upstream: &str, address: SocketAddr, life: &str) -> Rc<Peer> {
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
            life: RefCell::new(life.to_owned()),
            load: RefCell::default(),
            heard_unix_ms: Cell::new(0),
            unreachable_until_unix_ms: Cell::new(0),
            replicas: RefCell::default(),
        });
        by_upstream.insert(upstream.into(), peer.clone());
        peer
    }
}

impl Peer {
    /// Takes in news that rode on a reply, unless later news came first.
    pub fn hear(&self, mut news: News) {
        if news.sent_unix_ms < self.load.borrow().sent_unix_ms {
            return;
        }
        if *self.life.borrow() != news.agent_life {
            self.replicas.borrow_mut().clear();
            self.life.borrow_mut().clone_from(&news.agent_life);
        }
        let heard_unix_ms = now_unix_ms();
        self.heard_unix_ms.set(heard_unix_ms);
        let carry = |unix_ms: u64| match unix_ms {
            0 => 0,
            _ => carry_over(unix_ms, news.sent_unix_ms, heard_unix_ms),
        };
        let mut replicas = self.replicas.borrow_mut();
        for mut replica in std::mem::take(&mut news.replicas) {
            replica.ready_unix_ms = carry(replica.ready_unix_ms);
            replica.loaded_until_unix_ms = carry(replica.loaded_until_unix_ms);
            replicas.insert(replica.model.clone(), replica);
        }
        *self.load.borrow_mut() = news;
    }

    /// The state of the replica of `model`, as last heard, and when it is expected to be ready.
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

    /// A channel for calls. An agent that takes no connection is left alone for a while: what it
    /// last said of its load would go on to draw requests, each of which costs a retry.
    ///
    /// # Errors
    /// [`ConnectionError`], after which nothing has been sent.
    pub async fn channel(&self) -> Result<Channel, ConnectionError> {
        let channel = self.connection.channel().await;
        match &channel {
            Ok(_) => self.unreachable_until_unix_ms.set(0),
            Err(_) => self.set_unreachable(),
        }
        channel
    }

    /// Notes that the agent can't be reached.
    pub fn set_unreachable(&self) {
        let until_unix_ms = now_unix_ms() + UNREACHABLE_LIFE_MS;
        self.unreachable_until_unix_ms.set(until_unix_ms);
    }

    /// Whether it took no connection of late.
    pub fn is_unreachable(&self) -> bool {
        now_unix_ms() < self.unreachable_until_unix_ms.get()
    }

    /// Whether it said of late that it takes nothing new. Older word is not counted, or an
    /// upstream that stays after all would never be asked again.
    pub fn is_leaving(&self) -> bool {
        let load = self.load.borrow();
        load.leaving && now_unix_ms() < self.heard_unix_ms.get() + LEAVING_LIFE_MS
    }
}
