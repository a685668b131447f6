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
use celerystair_protocol::{agent_server::AgentServer, peer_server::PeerServer};
use celerystair_telemetry::prelude::*;

use crate::{
    attempts::Attempts, claim, crashes::Crashes, engine::EngineClient, grpc::AgentService, idle,
    keyed::KeyedRuns, ledger::MemoryLedger, queue::RunQueue, replicas, replicas::Replicas,
};

/// How often the engine is asked for its state before it first answers.
const ENGINE_RETRY_MS: u64 = 200;

/// The process beside one upstream; cheap to clone within its thread.
#[derive(Clone)]
pub struct Agent {
    inner: Rc<AgentInner>,
}

/// The parts of an [`Agent`].
pub struct AgentInner {
    /// What it has in common with routers.
    pub node: Node,
    /// Its settings.
    pub settings: AgentSettings,
    /// This run of the process; what it knows of attempts ends with it.
    pub life: String,
    /// The fencing number of its claim; none before it has claimed, and then it orders nothing.
    pub fence: Cell<Option<u64>>,
    /// Accelerator memory of the upstream.
    pub memory_bytes: Cell<u64>,
    /// HTTP to the upstream.
    pub client: cyper::Client,
    /// Orders to the upstream, if it is a model engine.
    pub engine: Option<EngineClient>,
    /// Accelerator memory.
    pub ledger: RefCell<MemoryLedger>,
    /// Replicas.
    pub replicas: Replicas,
    /// Turns at the upstream.
    pub queue: RunQueue,
    /// What became of each attempt.
    pub attempts: Attempts,
    /// Keys of calls that may not be repeated.
    pub journal: Journal,
    /// Calls under such keys that run here.
    pub keyed_runs: KeyedRuns,
    /// Whether the upstream is away after a crash.
    pub crashes: Crashes,
}

impl std::ops::Deref for Agent {
    type Target = AgentInner;

    fn deref(&self) -> &AgentInner {
        &self.inner
    }
}

/// An agent that serves.
pub struct RunningAgent {
    /// Its state.
    pub agent: Agent,
    /// Where it listens.
    pub address: SocketAddr,
    /// Ends when a planned stop is complete.
    pub served: compio::runtime::JoinHandle<()>,
}

/// Starts an agent; it serves until `stop` drains, and finishes what it has.
///
/// # Errors
/// [`NodeError`] if it can't listen. The platform and the upstream need not be up yet.
pub async fn run_agent(settings: AgentSettings, stop: &Stop) -> Result<RunningAgent, NodeError> {
    let node = Node::start("agent", &settings.upstream, &settings.process, stop)?;
    let listener =
        bind(settings.listen).map_err(NodeError::opening(settings.listen.to_string()))?;
    let address = listener
        .local_addr()
        .map_err(NodeError::opening(settings.listen.to_string()))?;
    let client = cyper::Client::new()
        .map_err(|error| NodeError::opening("HTTP client")(std::io::Error::other(error)))?;
    let engine = (settings.upstream_kind == UpstreamKind::Engine)
        .then(|| EngineClient::new(&client, &settings.upstream_url));
    let agent = Agent {
        inner: Rc::new(AgentInner {
            life: InstanceId::random(&settings.upstream).to_string(),
            fence: Cell::new(None),
            memory_bytes: Cell::new(0),
            client,
            engine,
            ledger: RefCell::default(),
            replicas: Replicas::default(),
            queue: RunQueue::new(settings.running_max),
            attempts: Attempts::default(),
            journal: Journal::new(&node.store),
            keyed_runs: KeyedRuns::default(),
            crashes: Crashes::default(),
            settings,
            node,
        }),
    };
    agent.node.heard.set_own_address(address);
    info!(agent.node.log, "agent listens"; "address" => %address);
    let starting = agent.clone();
    compio::runtime::spawn(async move { take_over(&starting, address).await }).detach();
    let routes = tonic_routes(&agent);
    let serving = stop.clone();
    let finishing = agent.clone();
    let config = agent.node.config.clone();
    let served = compio::runtime::spawn(async move {
        // Until then no caller's connection is taken, so that its request was certainly not run.
        config.known_or_draining(&serving).await;
        serve_grpc(listener, serving, routes).await.ok();
        // Calls whose callers have left go on, and their outcomes are still to be written.
        finishing.keyed_runs.ended().await;
        finishing.journal.flushed().await;
    });
    Ok(RunningAgent {
        agent,
        address,
        served,
    })
}

/// Reads what the engine holds, claims the upstream, and starts to watch idle replicas.
async fn take_over(agent: &Agent, address: SocketAddr) {
    if let Some(engine) = &agent.engine {
        let Some(state) = read_engine(agent, engine).await else {
            return;
        };
        replicas::rebuild(agent, engine, &state);
    }
    let Some(fence) = claim::claim(agent, address).await else {
        return;
    };
    if !agent.settings.engine_checks_orders {
        // An order of an earlier claimant may still be on its way to this engine.
        sleep_ms(agent.settings.order_life_ms).await;
        if let Some(engine) = &agent.engine
            && let Some(state) = read_engine(agent, engine).await
        {
            replicas::rebuild(agent, engine, &state);
        }
    }
    agent.fence.set(Some(fence));
    info!(agent.node.log, "upstream claimed"; "fence" => fence);
    if let Some(engine) = &agent.engine {
        idle::watch_idle(agent.clone(), engine.clone()).await;
    }
}

async fn read_engine(
    agent: &Agent,
    engine: &EngineClient,
) -> Option<celerystair_protocol::engine_api::EngineState> {
    while !agent.node.stop.is_draining() {
        match engine.state().await {
            Ok(state) => return Some(state),
            Err(_) => sleep_ms(ENGINE_RETRY_MS).await,
        }
    }
    None
}

fn tonic_routes(agent: &Agent) -> Routes {
    Routes {
        agent: AgentServer::new(AgentService::new(agent)),
        peer: PeerServer::new(PeerService::new(&agent.node)),
    }
}

/// Both services on one port.
#[derive(Clone)]
struct Routes {
    agent: AgentServer<AgentService>,
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
        if request.uri().path().starts_with("/celerystair.v1.Peer/") {
            self.peer.call(request)
        } else {
            self.agent.call(request)
        }
    }
}
