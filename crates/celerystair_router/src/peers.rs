//! Agents: connections made when first needed, and what was last heard of each.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use celerystair_core::{prelude::*, time::to_local_unix_ms};
use celerystair_net::{grpc::Channel, prelude::*};
use celerystair_protocol::{News, ReplicaNews, ReplicaState};

/// How long an agent's word that it is leaving counts.
const LEAVING_LIFE_MS: u64 = 2_000;
/// How long an agent that could not be reached is left out where another can serve; then one
/// request tries it again.
const OUT_OF_REACH_LIFE_MS: u64 = 5_000;

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
    /// Until when it counts as out of reach; 0 if it was heard of since it last did.
    out_of_reach_until_unix_ms: Cell<u64>,
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
            out_of_reach_until_unix_ms: Cell::new(0),
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
        self.out_of_reach_until_unix_ms.set(0);
        let carry = |unix_ms: u64| match unix_ms {
            0 => 0,
            _ => to_local_unix_ms(unix_ms, news.sent_unix_ms, heard_unix_ms),
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

    /// Whether it said of late that it takes nothing new. Older word is not counted, or an
    /// upstream that stays after all would never be asked again.
    pub fn is_leaving(&self) -> bool {
        let load = self.load.borrow();
        load.leaving && now_unix_ms() < self.heard_unix_ms.get() + LEAVING_LIFE_MS
    }

    /// A channel for one or more calls; notes whether there is a way to the agent.
    ///
    /// # Errors
    /// [`ConnectionError`], after which nothing has been sent.
    pub async fn channel(&self) -> Result<Channel, ConnectionError> {
        let channel = self.connection.channel().await;
        if channel.is_err() {
            self.leave_out();
        }
        channel
    }

    /// Notes that a request is about to be sent: the first one after a while out of reach tries
    /// the way for all others.
    pub fn note_chosen(&self) {
        if self.out_of_reach_until_unix_ms.get() > 0 {
            self.leave_out();
        }
    }

    /// Whether there was no way to it of late. No slot moves for that; see `docs/PLACEMENT.md`.
    pub fn is_out_of_reach(&self) -> bool {
        now_unix_ms() < self.out_of_reach_until_unix_ms.get()
    }

    /// Notes that there is no way to it.
    pub fn leave_out(&self) {
        let until_unix_ms = now_unix_ms() + OUT_OF_REACH_LIFE_MS;
        self.out_of_reach_until_unix_ms.set(until_unix_ms);
    }
}
