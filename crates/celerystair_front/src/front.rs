//! The router's state, start-up and graceful shutdown.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_net::prelude::*;
use celerystair_news::prelude::*;
use celerystair_platform::prelude::*;
use celerystair_policy::{prelude::*, standstill::RunningClock};
use celerystair_telemetry::{metrics::label, prelude::*};
use event_listener::{Event, EventListener};
use thiserror::Error;

use crate::{
    bodies::RequestBodies,
    callers::handle_caller_request,
    connections::max_idle_connections,
    demand::{receive_from_agents, send_demand_to_agents},
    incomplete_answers::IncompleteAnswers,
    origins::keep_held_origins,
    probes::{serve_metrics, serve_ready},
    request::CallerRequest,
    retries::{Retries, log_attempts_per_window},
    runs::{Run, UnansweredRuns},
    settings::PlatformRouterSettings,
    standstill::keep_running_clock,
    stops::StopCounts,
    suspicion::{ask_for_suspects, send_suspects_to_agents},
    upstream::Upstream,
    view::FleetView,
    waiting::WaitingRequests,
};

/// How long new requests are still accepted after a stop begins: the platform checks readiness
/// twice, one second apart, before it sends callers elsewhere.
const STOP_NOTICE_MS: u64 = 2300;
/// How soon after a crash an answer of the same incarnation shows that it was none. An upstream that
/// has crashed takes some seconds to start again, and may then have the same identifier.
const ALIVE_PROOF_MS: u64 = 1000;
/// The number of routers that are assumed to share the slots and connections of upstreams until an
/// agent has reported the actual number.
const DEFAULT_ROUTER_COUNT: u32 = 16;

/// A router that forwards requests on a platform; cheap to clone within its thread.
#[derive(Clone)]
pub struct PlatformRouter {
    inner: Rc<PlatformRouterInner>,
}

/// The parts of a [`PlatformRouter`].
pub struct PlatformRouterInner {
    /// The settings that the router was started with.
    pub settings: PlatformRouterSettings,
    /// The router's logger.
    pub log: Logger,
    /// The router's counters, gauges and histograms.
    pub metrics: Metrics,
    /// The active configuration and the known upstreams.
    pub view: FleetView,
    /// The latest status of each engine, as received from its agent.
    pub engines: EngineStatusTable,
    /// Requests that were running when upstreams crashed.
    pub suspects: RefCell<Suspects>,
    /// Parts of prompts that were in flight when upstreams crashed.
    pub suspect_parts: RefCell<SuspectParts>,
    /// Crashes that this router has recorded, for as long as an answer shows that there was none, and
    /// when each was recorded.
    recent_crashes: RefCell<Vec<(CrashId, u64)>>,
    /// Runs that ended without an answer at upstreams that may have crashed.
    pub unanswered_runs: RefCell<UnansweredRuns>,
    /// When this process started.
    pub started_unix_ms: u64,
    /// Where streams began that this router has passed on, has asked for or holds for others.
    pub stream_origins: OriginTable,
    /// The other routers.
    pub known_routers: RefCell<KnownRouters>,
    /// The processes that have answered about a stream which this router asks for.
    pub origin_answers: RefCell<HashMap<StreamId, HashSet<SocketAddr>>>,
    /// Notified when a process has told where a stream began, or that it doesn't know.
    pub origin_answered: Event,
    /// The socket for gossip.
    pub gossip_socket: Rc<GossipSocket>,
    /// The room for callers' bodies.
    pub bodies: Rc<RequestBodies>,
    /// The room for the incomplete responses that are buffered.
    pub incomplete_answers: IncompleteAnswers,
    /// Requests that wait for a replica.
    pub waiting: WaitingRequests,
    /// The time in which this process ran.
    pub running_clock: Cell<RunningClock>,
    /// How long the latest answers of each route took.
    pub answer_durations: RefCell<AnswerDurations>,
    /// The planned stop that is under way.
    pub planned_stop: Cell<Option<PlannedStop>>,
    /// What the planned stop has done with requests.
    pub(crate) stop_counts: Cell<StopCounts>,
    /// Drains as soon as a planned stop begins.
    stopping: Stop,
    /// Drains shortly before the grace period of a stop ends; requests that still have no response
    /// are then refused.
    pub closing: Stop,
    /// The estimated number of routers in the fleet, from recent reports of agents.
    pub router_count_estimate: RefCell<RouterCountEstimate>,
    demand: RefCell<DemandMeter>,
    demand_changed: Event,
    suspects_changed: Event,
    /// Unknown headers of responses that were logged.
    pub(crate) logged_headers: RefCell<HashSet<http::HeaderName>>,
    /// Whether requests have begun to wait since demand was last sent to agents.
    pub(crate) has_unreported_waits: Cell<bool>,
    pub(crate) retries: Retries,
}

impl std::ops::Deref for PlatformRouter {
    type Target = PlatformRouterInner;

    fn deref(&self) -> &PlatformRouterInner {
        &self.inner
    }
}

/// An error that prevents a router from starting.
#[derive(Debug, Error)]
pub enum PlatformRouterError {
    /// An address can't be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The client of the key-value store can't be created.
    #[error("failed to create the store client: {0}")]
    Store(#[from] StoreError),
}

/// A started router with its addresses.
pub struct RunningPlatformRouter {
    /// The router's shared state.
    pub router: PlatformRouter,
    /// The bound address for callers.
    pub callers_address: SocketAddr,
    /// The bound address of the readiness endpoint.
    pub ready_address: SocketAddr,
    /// Finishes when a graceful shutdown is complete.
    pub server_task: compio::runtime::JoinHandle<()>,
}

impl PlatformRouter {
    /// Returns whether the upstreams of a service are model engines rather than plain services.
    pub fn has_engines(&self, service: &ServiceName) -> bool {
        let active = self.view.config();
        active.is_some_and(|active| active.engine_config(service).is_some())
    }

    /// Returns how many idle connections this router may keep to each upstream of a service.
    pub fn max_idle_connections(&self, service: &ServiceName) -> usize {
        let active = self.view.config();
        let services = active.as_ref().map(|active| &active.config.services);
        let service = services.and_then(|services| services.get(service));
        let connections_max = service.map_or(0, |service| service.connections_max);
        max_idle_connections(connections_max, self.router_count_or_default())
    }

    /// Counts a request for a model in the demand reported to agents.
    pub fn count_model_request(&self, model: &ModelName, target_latency_ms: u64) {
        let mut demand = self.demand.borrow_mut();
        demand.record_arrival(model, target_latency_ms, now_unix_ms());
    }

    /// Wakes the task that sends demand to agents.
    pub fn notify_demand_change(&self) {
        self.demand_changed.notify(usize::MAX);
    }

    /// Returns a listener for the next [`PlatformRouter::notify_demand_change`].
    pub fn listen_for_demand_change(&self) -> EventListener {
        self.demand_changed.listen()
    }

    /// Returns the request rate and the waiting and running requests of each model.
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

    /// Records that the run ended at `ended_unix_ms` because its upstream was lost. The record is
    /// cleared once the same request gets a proven answer: most requests that are cut off crash
    /// nothing.
    pub fn record_crash(&self, run: &Run, ended_unix_ms: u64) {
        let lost = LostRun {
            incarnation: run.upstream.incarnation(),
            sent_unix_ms: run.sent_unix_ms,
            ended_unix_ms,
        };
        let mut suspects = self.suspects.borrow_mut();
        let fingerprint = run.fingerprint;
        let now = now_unix_ms();
        let (crashes, outcome) =
            suspects.record_crash(fingerprint, &lost, ROUTER_CHANGE_SENDS, now);
        drop(suspects);
        let part_crash = run.part_crash(ended_unix_ms, now);
        let mut parts = self.suspect_parts.borrow_mut();
        for (position, part) in run.prompt_parts.iter().enumerate() {
            let position = position as u32;
            parts.record_crash(part.id, position, &part_crash, ROUTER_CHANGE_SENDS, now);
        }
        drop(parts);
        let mut recent = self.recent_crashes.borrow_mut();
        recent.retain(|(id, _)| *id != part_crash.id);
        recent.push((part_crash.id, now));
        drop(recent);
        self.suspects_changed.notify(usize::MAX);
        self.log_request_suspected(run, &lost.incarnation, crashes, outcome);
    }

    /// Clears the crash of an upstream that has answered a request sent at `sent_unix_ms`, if it was
    /// recorded shortly before that: an upstream that has crashed is not back so soon.
    pub fn clear_false_crash(&self, upstream: &Upstream, sent_unix_ms: u64) {
        let mut recent = self.recent_crashes.borrow_mut();
        recent.retain(|(_, recorded)| sent_unix_ms <= recorded + ALIVE_PROOF_MS);
        if recent.is_empty() {
            return;
        }
        let id = upstream.incarnation().crash_id();
        let is_answered =
            |(crash, recorded): &mut (CrashId, u64)| *crash == id && *recorded < sent_unix_ms;
        if recent.extract_if(.., is_answered).count() == 0 {
            return;
        }
        drop(recent);
        self.suspect_parts
            .borrow_mut()
            .clear_crashes(&[id], ROUTER_CHANGE_SENDS);
        let mut suspects = self.suspects.borrow_mut();
        let cleared = suspects.clear_false_crash(id, ROUTER_CHANGE_SENDS);
        drop(suspects);
        self.suspects_changed.notify(usize::MAX);
        for fingerprint in cleared {
            self.log_false_crash_cleared(fingerprint);
        }
    }

    /// Records that a complete answer to the request began at `began_unix_ms`, so that the parts of
    /// its prompt caused no crash before that.
    pub fn record_part_answer(&self, request: &CallerRequest, began_unix_ms: u64) {
        let ids = request.head.prompt_parts.iter().map(|part| part.id);
        let mut parts = self.suspect_parts.borrow_mut();
        parts.record_answer(ids, began_unix_ms, ROUTER_CHANGE_SENDS);
    }

    /// Clears the request of suspicion, because it received a proven answer with this status from
    /// `upstream`.
    pub fn clear_suspicion(
        &self,
        request: &CallerRequest,
        status: http::StatusCode,
        upstream: &UpstreamId,
    ) {
        let mut suspects = self.suspects.borrow_mut();
        let crashes = suspects.clear(request.fingerprint, ROUTER_CHANGE_SENDS, now_unix_ms());
        drop(suspects);
        if crashes > 0 {
            self.suspects_changed.notify(usize::MAX);
            self.log_suspicion_cleared(request, crashes, status, upstream);
        }
    }

    /// Records that the upstream leaves, and tells the agents.
    pub fn record_departure(&self, upstream: &Upstream) {
        if !upstream.has_announced_departure.replace(true) {
            self.log_departure(upstream);
            self.notify_demand_change();
        }
    }

    /// Records that the upstream of the run has survived the beginning of the answer, at
    /// `began_unix_ms`, so that the parts of the prompt caused no crash before that.
    pub fn record_part_survival(&self, run: &Run, began_unix_ms: u64) {
        let ids = run.prompt_parts.iter().map(|part| part.id);
        let mut parts = self.suspect_parts.borrow_mut();
        parts.record_survival(ids, began_unix_ms, ROUTER_CHANGE_SENDS);
    }

    /// Wakes the task that reports suspects.
    pub fn notify_suspects_change(&self) {
        self.suspects_changed.notify(usize::MAX);
    }

    /// Returns a listener for the next change of the suspects that other routers are to know of.
    pub fn listen_for_suspects_change(&self) -> EventListener {
        self.suspects_changed.listen()
    }

    /// Returns the number of routers that share the upstreams, or a default if it is unknown.
    pub(crate) fn router_count_or_default(&self) -> u32 {
        self.router_count().unwrap_or(DEFAULT_ROUTER_COUNT)
    }

    /// Returns the number of routers, if agents have reported it recently.
    pub(crate) fn router_count(&self) -> Option<u32> {
        self.router_count_estimate.borrow().routers(now_unix_ms())
    }

    /// Whether a request that is passed on at `sent_unix_ms` is expected to get its answer before a planned
    /// stop ends.
    pub(crate) fn can_end_before_stop(&self, request: &CallerRequest, sent_unix_ms: u64) -> bool {
        let Some(planned) = self.planned_stop.get() else {
            return true;
        };
        let confidence = planned.confidence(request.read_unix_ms);
        let durations = self.answer_durations.borrow();
        let expected = durations.expected(&request.route, confidence);
        can_end_before_stop(
            expected.at_most_ms,
            request.deadline_unix_ms,
            planned.cuts_unix_ms,
            sent_unix_ms,
        )
    }

    /// Waits until a planned stop begins, or, if one is under way, until what still waits is refused.
    pub(crate) async fn stop_changed(&self) {
        if self.planned_stop.get().is_some() {
            self.closing.draining().await;
        } else {
            self.stopping.draining().await;
        }
    }

    /// Records a request that was read, at least in part, and whose connection ended without a complete
    /// response.
    fn record_unanswered(&self, request: &UnansweredRequest) {
        let end = label("end", request.end.as_str());
        self.metrics.unanswered.add(1, &[end]);
        self.log_unanswered(request);
    }

    /// Records how a request ended and the time from its arrival to the start of its response.
    pub fn record_outcome(&self, outcome: &str, arrived_unix_ms: u64) {
        let seconds = now_unix_ms().saturating_sub(arrived_unix_ms) as f64 / 1000.0;
        self.metrics.requests.add(1, &[label("outcome", outcome)]);
        self.metrics.first_byte_seconds.record(seconds, &[]);
    }
}

/// Starts a router, which serves until `stop` drains and then finishes the requests in flight.
///
/// # Errors
/// Returns [`PlatformRouterError`] if an address can't be bound or the store client can't be
/// created. The store need not be reachable.
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
    let gossip_socket =
        GossipSocket::bind(settings.gossip_listen).map_err(listen(settings.gossip_listen))?;
    let gossip_socket = Rc::new(gossip_socket);
    let store = settings.source.open()?;
    let view = FleetView::start(&settings.source, &store, &log, stop);
    info!(log, "started"; "router" => &settings.router,
        "callers" => %settings.callers_listen, "ready" => %settings.ready_listen);
    let router = PlatformRouter {
        inner: Rc::new(PlatformRouterInner {
            retries: Retries::new(settings.retry_bound),
            log,
            metrics: Metrics::new("router"),
            view,
            engines: EngineStatusTable::default(),
            suspects: RefCell::default(),
            suspect_parts: RefCell::default(),
            recent_crashes: RefCell::default(),
            unanswered_runs: RefCell::default(),
            started_unix_ms: now_unix_ms(),
            stream_origins: OriginTable::default(),
            known_routers: RefCell::default(),
            origin_answers: RefCell::default(),
            origin_answered: Event::new(),
            gossip_socket: gossip_socket.clone(),
            bodies: RequestBodies::new(settings.memory_bytes),
            incomplete_answers: IncompleteAnswers::default(),
            waiting: WaitingRequests::default(),
            running_clock: Cell::new(RunningClock::start(now_unix_ms())),
            answer_durations: RefCell::default(),
            planned_stop: Cell::default(),
            stop_counts: Cell::default(),
            stopping: Stop::new(),
            closing: Stop::new(),
            router_count_estimate: RefCell::default(),
            demand: RefCell::default(),
            demand_changed: Event::new(),
            suspects_changed: Event::new(),
            logged_headers: RefCell::default(),
            has_unreported_waits: Cell::new(false),
            settings,
        }),
    };
    compio::runtime::spawn(send_demand_to_agents(
        router.clone(),
        gossip_socket.clone(),
        stop.clone(),
    ))
    .detach();
    compio::runtime::spawn(send_suspects_to_agents(
        router.clone(),
        gossip_socket.clone(),
        stop.clone(),
    ))
    .detach();
    compio::runtime::spawn(ask_for_suspects(
        router.clone(),
        gossip_socket.clone(),
        stop.clone(),
    ))
    .detach();
    compio::runtime::spawn(receive_from_agents(
        router.clone(),
        gossip_socket,
        stop.clone(),
    ))
    .detach();
    let gossip_listen = router.settings.gossip_listen;
    router.view.configs().serve_peers(gossip_listen, stop);
    serve_ready(&router, ready, stop);
    serve_metrics(&router, stop);
    compio::runtime::spawn(keep_held_origins(router.clone(), stop.clone())).detach();
    compio::runtime::spawn(keep_running_clock(router.clone(), stop.clone())).detach();
    compio::runtime::spawn(log_attempts_per_window(router.clone(), stop.clone())).detach();
    compio::runtime::spawn(refuse_waiting_before_kill(router.clone(), stop.clone())).detach();
    let (limits_router, report_router) = (router.clone(), router.clone());
    let drain_router = router.clone();
    let (handler_router, server_stop) = (router.clone(), stop.clone());
    let server_task = compio::runtime::spawn(async move {
        let limits = move |awaited| connection_limits(&limits_router, awaited);
        let handle = move |request| handle_caller_request(handler_router.clone(), request);
        let report = move |request: &UnansweredRequest| report_router.record_unanswered(request);
        let draining = draining(&drain_router);
        let serving = serve_http_limited(callers, server_stop, draining, limits, report, handle);
        if let Err(error) = serving.await {
            warn!(drain_router.log, "callers_not_served"; "error" => %error);
        }
        drain_router.log_stop_ended();
    });
    Ok(RunningPlatformRouter {
        router,
        callers_address,
        ready_address,
        server_task,
    })
}

/// Part of the grace period that is reserved for refusing the requests that still wait.
const REFUSAL_MARGIN_MS: u64 = 800;

/// Starts refusing waiting requests in time to answer all of them before the platform kills this
/// process.
async fn refuse_waiting_before_kill(router: PlatformRouter, stop: Stop) {
    stop.draining().await;
    info!(router.log, "stopping"; "waiting" => router.waiting.len());
    let grace_ms = router.settings.stop_grace_ms;
    let began_unix_ms = now_unix_ms();
    let cuts_unix_ms = began_unix_ms + grace_ms.saturating_sub(REFUSAL_MARGIN_MS);
    router.planned_stop.set(Some(PlannedStop {
        began_unix_ms,
        closes_unix_ms: began_unix_ms + STOP_NOTICE_MS,
        cuts_unix_ms,
    }));
    router.stopping.drain();
    sleep_until_unix_ms(cuts_unix_ms).await;
    router.closing.drain();
}

/// Returns how the router goes on accepting callers during a planned stop.
fn draining(router: &PlatformRouter) -> Draining {
    let closing = router.clone();
    Draining {
        notice_ms: STOP_NOTICE_MS,
        report_close: Box::new(move |error| {
            let error = error.map(ToString::to_string);
            info!(closing.log, "listener_closing"; "waiting" => closing.waiting.len(), "error" => error);
        }),
    }
}

fn connection_limits(router: &PlatformRouter, awaited: Awaited) -> ConnectionLimits {
    let active = router.view.config();
    let limits = active
        .map(|active| active.config.caller_limits)
        .unwrap_or_default();
    let history = router.view.caller_limits();
    let until_unix_ms = match awaited {
        Awaited::FirstRequest { since_unix_ms } => {
            history.first_request_until_unix_ms(since_unix_ms)
        }
        Awaited::NextRequest { since_unix_ms } => history.idle_until_unix_ms(since_unix_ms),
        Awaited::RestOfHead { since_unix_ms } => history.head_until_unix_ms(since_unix_ms),
    };
    ConnectionLimits {
        head_max_bytes: Some(limits.head_max_bytes),
        until_unix_ms,
    }
}
