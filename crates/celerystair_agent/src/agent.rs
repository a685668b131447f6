//! The agent's state, its start and its planned stop.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use celerystair_config::prelude::*;
use celerystair_core::prelude::*;
use celerystair_journal::prelude::*;
use celerystair_net::prelude::*;
use celerystair_node::prelude::*;
use celerystair_platform::objects::PLACEMENT_KEY_PREFIX;
use celerystair_protocol::{
    agent_server::AgentServer, load_permits_server::LoadPermitsServer, peer_server::PeerServer,
};
use celerystair_telemetry::prelude::*;

use crate::{
    attempts::Attempts,
    claim,
    claim::Claim,
    crashes::CrashState,
    engine::EngineClient,
    fetch_speed::FetchLimiter,
    grpc::AgentService,
    idle,
    keyed::KeyedRuns,
    ledger::MemoryLedger,
    permits::{DeadlineSemaphore, PermitService},
    queue::RunQueue,
    reconcile::{read_engine, reconcile},
    replicas::Replicas,
    scrape, slots,
    slots::SlotReleases,
};

/// Interval between attempts to read the placements from the store.
const STORE_RETRY_MS: u64 = 200;

/// A handle to the agent of one upstream; cheap to clone within its thread.
#[derive(Clone)]
pub struct Agent {
    inner: Rc<AgentInner>,
}

/// The state of an [`Agent`].
pub struct AgentInner {
    /// The part that agents and routers share.
    pub node: Node,
    /// The agent's settings.
    pub settings: AgentSettings,
    /// Identifies this run of the process. The states of attempts are lost when it ends.
    pub incarnation: String,
    /// The agent's claim on the upstream, which entitles it to send orders.
    pub claim: Claim,
    /// Number of the engine's run, as last reported; 0 before the first report.
    pub engine_boot: Cell<u64>,
    /// Accelerator memory of the upstream, as last reported; 0 before the first report.
    pub memory_bytes: Cell<u64>,
    /// Whether the last request for the engine's state failed. The agent reports itself as
    /// leaving meanwhile, so that routers choose other upstreams.
    pub is_engine_unreachable: Cell<bool>,
    /// HTTP client for the upstream.
    pub client: HttpClient,
    /// Client for orders; `None` if the upstream is not a model engine.
    pub engine: Option<EngineClient>,
    /// Reservations of accelerator memory.
    pub ledger: RefCell<MemoryLedger>,
    /// Replicas that are loaded, loading or unloading.
    pub replicas: Replicas,
    /// Placement slots that are being released.
    pub slot_releases: SlotReleases,
    /// Limits checkpoint fetches for which no issuer has granted a permit.
    pub local_permits: Rc<DeadlineSemaphore>,
    /// Adapts the limit on concurrent fetches to their speed.
    pub fetch_limiter: FetchLimiter,
    /// Limits adapter loads for which no issuer has granted a permit.
    pub local_adapter_permits: Rc<DeadlineSemaphore>,
    /// Fetch permits that this agent grants as the issuer.
    pub issued_permits: Rc<DeadlineSemaphore>,
    /// Adapter permits that this agent grants as the issuer.
    pub issued_adapter_permits: Rc<DeadlineSemaphore>,
    issuer: RefCell<Option<(String, Connection)>>,
    /// Admission queue in front of the upstream.
    pub queue: RunQueue,
    /// State of each attempt.
    pub attempts: Attempts,
    /// Durable record of idempotency keys and outcomes.
    pub journal: Journal,
    /// Calls under an idempotency key that run on this agent.
    pub keyed_runs: KeyedRuns,
    /// Whether the engine is down after a crash.
    pub crash_state: CrashState,
}

impl std::ops::Deref for Agent {
    type Target = AgentInner;

    fn deref(&self) -> &AgentInner {
        &self.inner
    }
}

/// An agent that is serving.
pub struct RunningAgent {
    /// The agent's state.
    pub agent: Agent,
    /// Address of the gRPC listener.
    pub address: SocketAddr,
    /// Completes when a planned stop is complete.
    pub served: compio::runtime::JoinHandle<()>,
}

/// Starts an agent, which serves until `stop` drains and then finishes its work in flight.
///
/// # Errors
/// [`NodeError`] if the node or its HTTP client can't start, or a listener can't be opened. The
/// platform and the upstream need not be up yet.
pub async fn run_agent(settings: AgentSettings, stop: &Stop) -> Result<RunningAgent, NodeError> {
    let node = Node::start("agent", &settings.upstream, &settings.process, stop)?;
    let listener =
        bind(settings.listen).map_err(NodeError::opening(settings.listen.to_string()))?;
    let address = listener
        .local_addr()
        .map_err(NodeError::opening(settings.listen.to_string()))?;
    let client = HttpClient::default();
    let engine = (settings.upstream_kind == UpstreamKind::Engine)
        .then(|| EngineClient::new(&client, &settings.upstream_url));
    let agent = Agent {
        inner: Rc::new(AgentInner {
            incarnation: InstanceId::random(&settings.upstream).to_string(),
            claim: Claim::default(),
            engine_boot: Cell::new(0),
            is_engine_unreachable: Cell::new(false),
            memory_bytes: Cell::new(0),
            client,
            engine,
            ledger: RefCell::default(),
            replicas: Replicas::default(),
            slot_releases: SlotReleases::default(),
            local_permits: Rc::default(),
            fetch_limiter: FetchLimiter::default(),
            issued_permits: Rc::default(),
            issued_adapter_permits: Rc::default(),
            local_adapter_permits: Rc::default(),
            issuer: RefCell::default(),
            queue: RunQueue::new(settings.running_max),
            attempts: Attempts::default(),
            journal: Journal::new(&node.store),
            keyed_runs: KeyedRuns::default(),
            crash_state: CrashState::default(),
            settings,
            node,
        }),
    };
    agent.node.known_peers.set_own_address(address);
    if let Some(address) = agent.settings.metrics_listen {
        let listener = bind(address).map_err(NodeError::opening(address.to_string()))?;
        if let Ok(address) = listener.local_addr() {
            info!(agent.node.log, "serving metrics"; "metrics" => %address);
        }
        spawn(scrape::serve_metrics(agent.clone(), listener));
    }
    info!(agent.node.log, "agent is listening"; "address" => %address);
    agent.claim.set_address(address);
    let claiming_agent = agent.clone();
    compio::runtime::spawn(async move { maintain_claim(&claiming_agent).await }).detach();
    let routes = grpc_routes(&agent);
    let (task_stop, task_agent) = (stop.clone(), agent.clone());
    let config = agent.node.config.clone();
    let notice_ms = agent.node.settings.stop_notice_ms;
    let served = compio::runtime::spawn(async move {
        // No connection is accepted before the configuration is known, so a request that is
        // sent earlier has certainly not run.
        config.wait_until_known_or_draining(&task_stop).await;
        // The agent keeps serving for the notice period, to tell routers that it is leaving.
        let closing = delayed_stop(&task_stop, notice_ms);
        serve_grpc(listener, closing, routes).await.ok();
        // Keyed calls whose callers have disconnected go on, and their outcomes must be written.
        task_agent.keyed_runs.wait_until_empty().await;
        task_agent.journal.flushed().await;
        slots::wait_until_handed_over(&task_agent).await;
    });
    Ok(RunningAgent {
        agent,
        address,
        served,
    })
}

impl Agent {
    /// Returns the connection to the issuer of permits, opening a new one if the issuer changed.
    pub fn issuer_connection(&self, name: &str, address: SocketAddr) -> Connection {
        let mut issuer = self.issuer.borrow_mut();
        match &*issuer {
            Some((known, connection)) if known == name && connection.address() == address => {
                connection.clone()
            }
            _ => {
                let connection = Connection::new(address);
                *issuer = Some((name.to_owned(), connection.clone()));
                connection
            }
        }
    }

    /// Returns whether a replica of `model` fits without unloading any other.
    pub fn has_free_memory(&self, model: &str) -> bool {
        let free_bytes = self.ledger.borrow().free_bytes();
        let model = self.node.models.get(model);
        model.is_some_and(|(_, object)| object.replica_bytes() <= free_bytes)
    }
}

/// Adopts the engine's replicas, starts the agent's watch tasks, and renews the claim whenever it
/// lapses.
async fn maintain_claim(agent: &Agent) {
    if let Some(engine) = &agent.engine {
        let Some(state) = read_engine(agent, engine).await else {
            return;
        };
        reconcile(agent, engine, &state);
        spawn(idle::watch_engine(agent.clone(), engine.clone()));
        spawn(idle::watch_idle(agent.clone(), engine.clone()));
        spawn(slots::watch_slots(agent.clone(), engine.clone()));
    }
    spawn(slots::watch_leaving(agent.clone()));
    spawn(claim::watch_claim(agent.clone()));
    while !agent.node.stop.is_draining() && !agent.claim.is_superseded() {
        let changed = agent.claim.listen();
        if !agent.claim.is_active() && !claim_upstream(agent).await {
            return;
        }
        changed.await;
    }
}

fn spawn(work: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(work).detach();
}

/// Claims the upstream, reads the placements and the engine's state again, and activates the
/// claim. Returns false if a stop began first or a later claimant holds the upstream.
async fn claim_upstream(agent: &Agent) -> bool {
    let Some(fence) = claim::claim(agent).await else {
        return false;
    };
    if !read_placements(agent).await {
        return false;
    }
    if let Some(engine) = &agent.engine {
        // An earlier claimant without a connection to the store learns of the new claim only from
        // the engine.
        if !claim::announce(agent, engine, fence).await {
            return false;
        }
        if !agent.settings.engine_checks_orders {
            // An order of an earlier claimant may still be in transit, and this engine would
            // accept it.
            sleep_ms(agent.settings.order_life_ms).await;
        }
        let Some(state) = read_engine(agent, engine).await else {
            return false;
        };
        reconcile(agent, engine, &state);
    }
    claim::activate(agent, fence);
    if let Some(engine) = &agent.engine {
        slots::unload_without_slot(agent, engine);
    }
    true
}

/// Reads the placements from the store, because the watch of a process that was paused may lag.
/// Returns false if a stop began first.
async fn read_placements(agent: &Agent) -> bool {
    while !agent.node.stop.is_draining() {
        if let Ok(list) = agent.node.store.list(PLACEMENT_KEY_PREFIX).await {
            for object in &list.objects {
                agent.node.placements.apply(object).ok();
            }
            return true;
        }
        sleep_ms(STORE_RETRY_MS).await;
    }
    false
}

fn grpc_routes(agent: &Agent) -> Routes {
    Routes {
        agent: AgentServer::new(AgentService::new(agent)),
        permits: LoadPermitsServer::new(PermitService::new(agent)),
        peer: PeerServer::new(PeerService::new(&agent.node)),
    }
}

/// Dispatches requests to the gRPC services, which share one port.
#[derive(Clone)]
struct Routes {
    agent: AgentServer<AgentService>,
    permits: LoadPermitsServer<PermitService>,
    peer: PeerServer<PeerService>,
}

impl tower_service::Service<http::Request<hyper::body::Incoming>> for Routes {
    type Response = http::Response<tonic::body::Body>;
    type Error = std::convert::Infallible;
    type Future = tonic::codegen::BoxFuture<Self::Response, Self::Error>;

    fn poll_ready(
        &mut self,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Result<(), Self::Error>> {
        std::task::Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<hyper::body::Incoming>) -> Self::Future {
        let path = request.uri().path();
        if path.starts_with("/celerystair.v1.Peer/") {
            self.peer.call(request)
        } else if path.starts_with("/celerystair.v1.LoadPermits/") {
            self.permits.call(request)
        } else {
            self.agent.call(request)
        }
    }
}
