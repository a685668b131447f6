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
    callers::handle_caller_request,
    connections::max_idle_connections,
    demand::{receive_from_agents, send_demand_to_agents},
    probes::{serve_metrics, serve_ready},
    request::CallerRequest,
    retries::{Retries, log_attempts_per_window},
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
const DEFAULT_ROUTER_COUNT: u32 = 16;

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
    pub(crate) has_unreported_waits: Cell<bool>,
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
    #[error("failed to create the store client: {0}")]
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
        let active = self.view.config();
        active.is_some_and(|active| active.engine_config(service).is_some())
    }

    /// How many idle connections this router may keep to an upstream of a service.
    pub fn max_idle_connections(&self, service: &ServiceName) -> usize {
        let active = self.view.config();
        let services = active.as_ref().map(|active| &active.config.services);
        let service = services.and_then(|services| services.get(service));
        let connections_max = service.map_or(0, |service| service.connections_max);
        max_idle_connections(connections_max, self.router_count_or_default())
    }

    /// Counts a request for a model.
    pub fn count_model_request(&self, model: &ModelName, target_latency_ms: u64) {
        let mut demand = self.demand.borrow_mut();
        demand.record_arrival(model, target_latency_ms, now_unix_ms());
    }

    /// Has agents told soon.
    pub fn notify_demand_change(&self) {
        self.demand_changed.notify(usize::MAX);
    }

    /// Wakes when agents are to be told soon.
    pub fn listen_for_demand_change(&self) -> EventListener {
        self.demand_changed.listen()
    }

    /// What callers ask of this router, by model.
    pub fn demand_by_model(&self) -> Vec<(ModelName, ModelView)> {
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
    pub fn record_crash(&self, request: &CallerRequest, upstream: &Upstream) {
        let mut suspects = self.suspects.borrow_mut();
        let incarnation = upstream.incarnation();
        let crashes = suspects.record_crash(request.fingerprint, incarnation, now_unix_ms());
        drop(suspects);
        self.log_request_suspected(request, crashes);
    }

    /// How many routers share what is meant for all.
    pub(crate) fn router_count_or_default(&self) -> u32 {
        self.router_count().unwrap_or(DEFAULT_ROUTER_COUNT)
    }

    /// The same, if agents have told of late.
    pub(crate) fn router_count(&self) -> Option<u32> {
        self.routers.borrow().routers(now_unix_ms())
    }

    /// Counts how a request ended, and how long its answer took to begin.
    pub fn record_outcome(&self, outcome: &str, arrived_unix_ms: u64) {
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
    let router = PlatformRouter {
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
            has_unreported_waits: Cell::new(false),
        }),
    };
    compio::runtime::spawn(send_demand_to_agents(
        router.clone(),
        news.clone(),
        stop.clone(),
    ))
    .detach();
    compio::runtime::spawn(receive_from_agents(router.clone(), news, stop.clone())).detach();
    serve_ready(&router, ready, stop);
    serve_metrics(&router, stop);
    compio::runtime::spawn(log_attempts_per_window(router.clone(), stop.clone())).detach();
    compio::runtime::spawn(refuse_waiting_before_kill(router.clone(), stop.clone())).detach();
    let (limits_router, handler_router, server_stop) =
        (router.clone(), router.clone(), stop.clone());
    let server_task = compio::runtime::spawn(async move {
        let limits = move || connection_limits(&limits_router);
        let handle = move |request| handle_caller_request(handler_router.clone(), request);
        serve_http_limited(callers, server_stop, STOP_NOTICE_MS, limits, handle)
            .await
            .ok();
    });
    Ok(RunningPlatformRouter {
        router,
        callers_address,
        ready_address,
        server_task,
    })
}

/// Kept from the time that a stop may take, for the last refusals.
const REFUSAL_MARGIN_MS: u64 = 800;

/// Has every request answered before the platform kills this process.
async fn refuse_waiting_before_kill(router: PlatformRouter, stop: Stop) {
    stop.draining().await;
    info!(router.log, "stopping"; "waiting" => router.waiting.len());
    sleep_ms(
        router
            .settings
            .stop_grace_ms
            .saturating_sub(REFUSAL_MARGIN_MS),
    )
    .await;
    router.closing.drain();
}

fn connection_limits(router: &PlatformRouter) -> ConnectionLimits {
    let active = router.view.config();
    let limits = active
        .map(|active| active.config.caller_limits)
        .unwrap_or_default();
    ConnectionLimits {
        head_max_bytes: Some(limits.head_max_bytes),
        idle_timeout_ms: Some(limits.idle_timeout_ms),
    }
}
