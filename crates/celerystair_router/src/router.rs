//! The router's state, its startup and its graceful shutdown.

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
use celerystair_telemetry::{metrics::label, prelude::*};

use crate::{
    admission::Admission, callers::answer_caller, lost::LostUpstreams, peers::Peers,
    retry_budget::RetryBudget,
};

/// A handle to a router's shared state; cheap to clone within its thread.
#[derive(Clone)]
pub struct Router {
    inner: Rc<RouterInner>,
}

/// The state behind a [`Router`].
pub struct RouterInner {
    /// State that routers and agents have in common: store, configuration, gossip, metrics.
    pub node: Node,
    /// Settings of this process.
    pub settings: RouterSettings,
    /// Connections to agents, and the last known state of each.
    pub peers: Peers,
    /// Limits retries to a share of the requests.
    pub retry_budget: RetryBudget,
    /// Requests that were in flight when an upstream crashed, mirrored from the store.
    pub suspects: Mirror<SuspectObject>,
    /// Upstreams that this router lost recently.
    pub lost_upstreams: LostUpstreams,
    /// Counts of the requests in this router.
    pub admission: Admission,
    /// When this router last read an agent's object because the agent was unreachable; 0 before.
    pub last_agent_read_unix_ms: Cell<u64>,
}

impl std::ops::Deref for Router {
    type Target = RouterInner;

    fn deref(&self) -> &RouterInner {
        &self.inner
    }
}

/// A started router and the addresses it is bound to.
pub struct RunningRouter {
    /// The router's state.
    pub router: Router,
    /// The address for callers.
    pub address: SocketAddr,
    /// The address for the system's other processes.
    pub peer_address: SocketAddr,
    /// The address of the administration API, if it is enabled.
    pub admin_address: Option<SocketAddr>,
    /// Completes once the router has drained and stopped.
    pub served: compio::runtime::JoinHandle<()>,
}

/// Starts a router, which serves until `stop` drains and then finishes its requests in flight.
///
/// # Errors
/// [`NodeError`] if an address can't be bound. An unreachable platform is no error.
pub async fn run_router(settings: RouterSettings, stop: &Stop) -> Result<RunningRouter, NodeError> {
    let node = Node::start("router", &settings.router, &settings.process, stop)?;
    let binding = |address: SocketAddr| NodeError::opening(address.to_string());
    let listener = bind(settings.listen).map_err(binding(settings.listen))?;
    let peer_listener = bind(settings.peer_listen).map_err(binding(settings.peer_listen))?;
    let address = listener.local_addr().map_err(binding(settings.listen))?;
    let peer_address = peer_listener
        .local_addr()
        .map_err(binding(settings.peer_listen))?;
    node.known_peers.set_own_address(peer_address);
    info!(node.log, "router listens"; "callers" => %address, "peers" => %peer_address);
    let admin = settings.admin.as_ref();
    let admin_address = admin.map(|admin| start_admin(&node, admin)).transpose()?;
    let router = Router {
        inner: Rc::new(RouterInner {
            settings,
            peers: Peers::default(),
            retry_budget: RetryBudget::default(),
            suspects: Mirror::start(&node.store, SUSPECT_KEY_PREFIX, stop),
            lost_upstreams: LostUpstreams::default(),
            admission: Admission::default(),
            last_agent_read_unix_ms: Cell::default(),
            node,
        }),
    };
    let proposing_router = router.clone();
    let connect = move |name: &str, agent: &AgentObject| {
        let peer = proposing_router
            .peers
            .get(name, agent.address, &agent.claim_id);
        peer.connection.clone()
    };
    compio::runtime::spawn(propose_placements(router.node.clone(), connect)).detach();
    let peer_server = PeerServer::new(PeerService::new(&router.node));
    let peer_stop = stop.clone();
    compio::runtime::spawn(
        async move { serve_grpc(peer_listener, peer_stop, peer_server).await.ok() },
    )
    .detach();
    let (answering_router, serving_stop) = (router.clone(), stop.clone());
    let notice_ms = router.settings.process.stop_notice_ms;
    let served = compio::runtime::spawn(async move {
        let report_router = answering_router.clone();
        let report = move |request: &UnansweredRequest| record_unanswered(&report_router, request);
        let handle = move |request| answer_caller(answering_router.clone(), request);
        let limits = default_limits;
        let draining = Draining::after_notice(notice_ms);
        serve_http_limited(listener, serving_stop, draining, limits, report, handle)
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

/// Records a request that was read, at least in part, and whose connection ended without a complete
/// response.
fn record_unanswered(router: &Router, request: &UnansweredRequest) {
    let end = request.end.as_str();
    router.node.metrics.unanswered.add(1, &[label("end", end)]);
    info!(router.node.log, "request_unanswered"; "end" => end,
        "caller" => request.caller.map(|address| address.to_string()),
        "head_bytes" => request.head_bytes, "requests_before" => request.requests_before,
        "connection_age_ms" => request.connection_age_ms,
        "since_response_ms" => request.since_response_ms, "detail" => &request.detail);
}
