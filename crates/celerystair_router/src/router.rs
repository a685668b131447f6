//! The router's state, its start and its planned stop.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use celerystair_admin::prelude::*;
use celerystair_config::prelude::*;
use celerystair_core::prelude::*;
use celerystair_journal::prelude::*;
use celerystair_net::prelude::*;
use celerystair_node::prelude::*;
use celerystair_placement::prelude::*;
use celerystair_platform::prelude::{AgentObject, Mirror};
use celerystair_protocol::peer_server::PeerServer;
use celerystair_telemetry::prelude::*;

use crate::{
    admission::Admission, callers::answer_caller, lost::LostUpstreams, peers::Peers,
    retry_budget::RetryBudget,
};

/// A router; cheap to clone within its thread.
#[derive(Clone)]
pub struct Router {
    inner: Rc<RouterInner>,
}

/// The parts of a [`Router`].
pub struct RouterInner {
    /// What it has in common with agents.
    pub node: Node,
    /// Its settings.
    pub settings: RouterSettings,
    /// The agents that it talks to.
    pub peers: Peers,
    /// Retries that may still be made.
    pub retry_budget: RetryBudget,
    /// Requests that were running when an upstream crashed.
    pub suspects: Mirror<SuspectObject>,
    /// Upstreams that this router has lost of late.
    pub lost_upstreams: LostUpstreams,
    /// Requests that this router has now.
    pub admission: Admission,
    /// When it last read an agent's object because the agent could not be reached.
    pub agent_read_unix_ms: Cell<u64>,
}

impl std::ops::Deref for Router {
    type Target = RouterInner;

    fn deref(&self) -> &RouterInner {
        &self.inner
    }
}

/// A router that serves.
pub struct RunningRouter {
    /// Its state.
    pub router: Router,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other processes of the system connect.
    pub peer_address: SocketAddr,
    /// Where operators connect, if the administration API is served.
    pub admin_address: Option<SocketAddr>,
    /// Ends when a planned stop is complete.
    pub served: compio::runtime::JoinHandle<()>,
}

/// Starts a router; it serves until `stop` drains, and finishes the requests that it has.
///
/// # Errors
/// [`NodeError`] if it can't listen. The platform need not be up.
pub async fn run_router(settings: RouterSettings, stop: &Stop) -> Result<RunningRouter, NodeError> {
    let node = Node::start("router", &settings.router, &settings.process, stop)?;
    let opening = |address: SocketAddr| NodeError::opening(address.to_string());
    let listener = bind(settings.listen).map_err(opening(settings.listen))?;
    let peer_listener = bind(settings.peer_listen).map_err(opening(settings.peer_listen))?;
    let address = listener.local_addr().map_err(opening(settings.listen))?;
    let peer_address = peer_listener
        .local_addr()
        .map_err(opening(settings.peer_listen))?;
    node.known_peers.set_own_address(peer_address);
    info!(node.log, "router listens"; "callers" => %address, "peers" => %peer_address);
    let admin = settings.admin.as_ref();
    let admin_address = admin.map(|admin| start_admin(&node, admin)).transpose()?;
    let router = Router {
        inner: Rc::new(RouterInner {
            settings,
            peers: Peers::default(),
            retry_budget: RetryBudget::default(),
            suspects: Mirror::start(&node.store, SUSPECTS, stop),
            lost_upstreams: LostUpstreams::default(),
            admission: Admission::default(),
            agent_read_unix_ms: Cell::default(),
            node,
        }),
    };
    let proposing = router.clone();
    let connect = move |name: &str, agent: &AgentObject| {
        let peer = proposing.peers.get(name, agent.address, &agent.claim_id);
        peer.connection.clone()
    };
    compio::runtime::spawn(propose_placements(router.node.clone(), connect)).detach();
    let peers = PeerServer::new(PeerService::new(&router.node));
    let serving = stop.clone();
    compio::runtime::spawn(async move { serve_grpc(peer_listener, serving, peers).await.ok() })
        .detach();
    let (answering, serving) = (router.clone(), stop.clone());
    let notice_ms = router.settings.process.stop_notice_ms;
    let served = compio::runtime::spawn(async move {
        serve_http_with_notice(listener, serving, notice_ms, move |request| {
            answer_caller(answering.clone(), request)
        })
        .await
        .ok();
    });
    Ok(RunningRouter {
        router,
        address,
        peer_address,
        admin_address,
        served,
    })
}
