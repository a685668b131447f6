//! The router's state, its start and its planned stop.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_net::prelude::*;
use celerystair_news::prelude::*;
use celerystair_platform::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::{metrics::label, prelude::*};
use event_listener::{Event, EventListener};
use thiserror::Error;

use crate::{
    callers::answer_caller,
    connections::idle_max,
    demand::{hear_agents, tell_agents},
    probes::{serve_metrics, serve_ready},
    request::CallerRequest,
    retries::{Retries, log_retries},
    settings::PlatformRouterSettings,
    upstream::Upstream,
    view::FleetView,
    waiting::WaitingRequests,
};

/// After a request to stop, the platform asks twice, a second apart, before it sends callers
/// elsewhere; until then they are served.
const STOP_NOTICE_MS: u64 = 2300;
/// Others share the room and the connections of upstreams before any agent has told how many routers
/// there are.
const ROUTERS_UNKNOWN: u32 = 16;

/// A router; cheap to clone within its thread.
#[derive(Clone)]
pub struct PlatformRouter {
    inner: Rc<PlatformRouterInner>,
}

/// The parts of a [`PlatformRouter`].
pub struct PlatformRouterInner {
    /// What it was started with.
    pub settings: PlatformRouterSettings,
    /// Its log.
    pub log: Logger,
    /// Its counters and histograms.
    pub metrics: Metrics,
    /// The configuration and the upstreams in force.
    pub view: FleetView,
    /// What agents have told of their engines.
    pub engines: EngineStatusTable,
    /// Requests that crash upstreams.
    pub suspects: RefCell<Suspects>,
    /// Requests that wait for a replica.
    pub waiting: WaitingRequests,
    /// Raised shortly before the end of a planned stop: who has no answer by then gets a refusal.
    pub closing: Stop,
    /// Routers in the fleet, as agents have told of late.
    pub routers: RefCell<RouterCountEstimate>,
    demand: RefCell<DemandMeter>,
    demand_changed: Event,
    /// Whether requests wait that no agent was told of.
    pub(crate) waits_untold: Cell<bool>,
    pub(crate) retries: Retries,
}

impl std::ops::Deref for PlatformRouter {
    type Target = PlatformRouterInner;

    fn deref(&self) -> &PlatformRouterInner {
        &self.inner
    }
}

/// Why a router could not start.
#[derive(Debug, Error)]
pub enum PlatformRouterError {
    /// It can't listen.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The store's client can't be made.
    #[error("the client of the store: {0}")]
    Store(#[from] StoreError),
}

/// A router that serves.
pub struct RunningPlatformRouter {
    /// Its state.
    pub router: PlatformRouter,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where the platform asks whether it takes requests.
    pub ready_address: SocketAddr,
    /// Ends when a planned stop is complete.
    pub server_task: compio::runtime::JoinHandle<()>,
}

impl PlatformRouter {
    /// Whether the upstreams of a service are engines.
    pub fn has_engines(&self, service: &ServiceName) -> bool {
        let in_force = self.view.config();
        in_force.is_some_and(|in_force| in_force.engine(service).is_some())
    }

    /// How many idle connections this router may keep to an upstream of a service.
    pub fn idle_max(&self, service: &ServiceName) -> usize {
        let in_force = self.view.config();
        let services = in_force.as_ref().map(|in_force| &in_force.config.services);
        let service = services.and_then(|services| services.get(service));
        let connections_max = service.map_or(0, |service| service.connections_max);
        idle_max(connections_max, self.known_routers())
    }

    /// Counts a request for a model.
    pub fn note_arrival(&self, model: &ModelName, target_latency_ms: u64) {
        let mut demand = self.demand.borrow_mut();
        demand.record_arrival(model, target_latency_ms, now_unix_ms());
    }

    /// Has agents told soon.
    pub fn demand_changed(&self) {
        self.demand_changed.notify(usize::MAX);
    }

    /// Wakes when agents are to be told soon.
    pub fn listen_demand(&self) -> EventListener {
        self.demand_changed.listen()
    }

    /// What callers ask of this router, by model.
    pub fn demand(&self) -> Vec<(ModelName, ModelView)> {
        let mut models: HashMap<ModelName, ModelView> = HashMap::default();
        let rates = self.demand.borrow_mut().rates(now_unix_ms());
        for rate in rates {
            let view = models.entry(rate.model).or_default();
            view.requests_per_second = rate.per_second;
            view.target_latency_ms = rate.target_latency_ms;
        }
        for (model, count) in self.waiting.by_model() {
            models.entry(model).or_default().waiting = count;
        }
        for engine in self.view.engines() {
            for (model, count) in engine.in_flight_by_model() {
                models.entry(model).or_default().running += count;
            }
        }
        models.into_iter().collect()
    }

    /// Notes that the request was running when its upstream went. It is forgotten once such a
    /// request is answered whole: most that are cut off have crashed nothing.
    pub fn note_crash(&self, request: &CallerRequest, upstream: &Upstream) {
        let mut suspects = self.suspects.borrow_mut();
        let life = upstream.life();
        let crashes = suspects.record_crash(request.fingerprint, life, now_unix_ms());
        drop(suspects);
        self.log_suspected(request, crashes);
    }

    /// How many routers share what is meant for all.
    pub(crate) fn known_routers(&self) -> u32 {
        self.counted_routers().unwrap_or(ROUTERS_UNKNOWN)
    }

    /// The same, if agents have told of late.
    pub(crate) fn counted_routers(&self) -> Option<u32> {
        self.routers.borrow().routers(now_unix_ms())
    }

    /// Counts how a request ended, and how long its answer took to begin.
    pub fn count(&self, outcome: &str, arrived_unix_ms: u64) {
        let seconds = now_unix_ms().saturating_sub(arrived_unix_ms) as f64 / 1000.0;
        self.metrics.requests.add(1, &[label("outcome", outcome)]);
        self.metrics.first_byte_seconds.record(seconds, &[]);
    }
}

/// Starts a router; it serves until `stop` drains, and finishes the requests that it has.
///
/// # Errors
/// [`PlatformRouterError`] if it can't listen. The store need not be up.
pub async fn run_platform_router(
    settings: PlatformRouterSettings,
    log: Logger,
    stop: &Stop,
) -> Result<RunningPlatformRouter, PlatformRouterError> {
    let listen = ListenError::at;
    let callers = bind(settings.callers_listen).map_err(listen(settings.callers_listen))?;
    let ready = bind(settings.ready_listen).map_err(listen(settings.ready_listen))?;
    let callers_address = callers
        .local_addr()
        .map_err(listen(settings.callers_listen))?;
    let ready_address = ready.local_addr().map_err(listen(settings.ready_listen))?;
    let news =
        GossipSocket::bind(settings.gossip_listen).map_err(listen(settings.gossip_listen))?;
    let news = Rc::new(news);
    let store = settings.source.open()?;
    let view = FleetView::start(&settings.source, &store, &log, stop);
    info!(log, "started"; "router" => &settings.router,
        "callers" => %settings.callers_listen, "ready" => %settings.ready_listen);
    let front = PlatformRouter {
        inner: Rc::new(PlatformRouterInner {
            retries: Retries::new(settings.retry_bound),
            settings,
            log,
            metrics: Metrics::new("router"),
            view,
            engines: EngineStatusTable::default(),
            suspects: RefCell::default(),
            waiting: WaitingRequests::default(),
            closing: Stop::new(),
            routers: RefCell::default(),
            demand: RefCell::default(),
            demand_changed: Event::new(),
            waits_untold: Cell::new(false),
        }),
    };
    compio::runtime::spawn(tell_agents(front.clone(), news.clone(), stop.clone())).detach();
    compio::runtime::spawn(hear_agents(front.clone(), news, stop.clone())).detach();
    serve_ready(&front, ready, stop);
    serve_metrics(&front, stop);
    compio::runtime::spawn(log_retries(front.clone(), stop.clone())).detach();
    compio::runtime::spawn(close_in_time(front.clone(), stop.clone())).detach();
    let (limiting, answering, serving) = (front.clone(), front.clone(), stop.clone());
    let server_task = compio::runtime::spawn(async move {
        let limits = move || connection_limits(&limiting);
        let handle = move |request| answer_caller(answering.clone(), request);
        serve_http_limited(callers, serving, STOP_NOTICE_MS, limits, handle)
            .await
            .ok();
    });
    Ok(RunningPlatformRouter {
        router: front,
        callers_address,
        ready_address,
        server_task,
    })
}

/// Kept from the time that a stop may take, for the last refusals.
const CLOSING_MS: u64 = 800;

/// Has every request answered before the platform kills this process.
async fn close_in_time(front: PlatformRouter, stop: Stop) {
    stop.draining().await;
    info!(front.log, "stopping"; "waiting" => front.waiting.len());
    sleep_ms(front.settings.stop_grace_ms.saturating_sub(CLOSING_MS)).await;
    front.closing.drain();
}

fn connection_limits(front: &PlatformRouter) -> ConnectionLimits {
    let in_force = front.view.config();
    let limits = in_force
        .map(|in_force| in_force.config.caller_limits)
        .unwrap_or_default();
    ConnectionLimits {
        head_max_bytes: Some(limits.head_max_bytes),
        idle_timeout_ms: Some(limits.idle_timeout_ms),
    }
}
