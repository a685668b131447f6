//! The agent's state, start-up and main loop.

use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_net::prelude::*;
use celerystair_news::prelude::*;
use celerystair_platform::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::prelude::*;
use event_listener::Event;
use futures_util::future::select;
use thiserror::Error;

use crate::{
    client::EngineClient,
    fence::{ClaimedFence, claim_fence, try_claim_fence},
    origins::keep_held_origins,
    plan::LoadPlan,
    settings::EngineAgentSettings,
    suspicion::spread_suspects,
    tell::{SentStatus, receive_gossip, send_status_if_due},
};

/// How often the engine's report is polled while no order or load is in progress.
const IDLE_POLL_INTERVAL_MS: u64 = 200;
/// How often the engine's report is polled during an order or load.
const BUSY_POLL_INTERVAL_MS: u64 = 50;
/// The shortest time between two decisions on the next load, each of which evaluates the statuses
/// of all engines.
const MIN_DECISION_INTERVAL_MS: u64 = 60;
/// The shortest pause between two iterations of the main loop, however often gossip wakes it.
const MIN_PAUSE_MS: u64 = 10;
/// How many polls in a row must fail before the engine counts as down.
const MAX_REPORT_FAILURES: u32 = 2;
/// How long the agent remembers when an adapter was last requested. Adapters that were last
/// requested longer ago are equally good candidates for unloading.
const ADAPTER_REQUEST_RETENTION_MS: u64 = 60_000;
/// The shortest time between two look-ups of the engine in the list of upstreams.
const LOOKUP_INTERVAL_MS: u64 = 500;

/// A running agent; cheap to clone within its thread.
#[derive(Clone)]
pub struct EngineAgent {
    inner: Rc<EngineAgentInner>,
}

/// The state that clones of an [`EngineAgent`] share.
pub struct EngineAgentInner {
    /// When this process started.
    pub started_unix_ms: u64,
    /// The settings of the agent.
    pub settings: EngineAgentSettings,
    /// The logger of the agent.
    pub log: Logger,
    /// The agent's counters, gauges and histograms.
    pub metrics: Metrics,
    /// The latest demand of each router.
    pub router_demand: DemandTable,
    /// The latest status of each engine, as its agent reported it.
    pub engine_statuses: EngineStatusTable,
    /// Requests that may crash upstreams, as routers and other agents reported them.
    pub suspects: RefCell<Suspects>,
    /// Parts of prompts that may crash upstreams, as routers and other agents reported them.
    pub suspect_parts: RefCell<SuspectParts>,
    /// Notified when a report of suspects held anything new.
    pub(crate) suspects_changed: Event,
    /// Where streams began that this agent holds for routers.
    pub stream_origins: OriginTable,
    /// The socket on which gossip is sent and received.
    pub gossip_socket: GossipSocket,
    /// The engine's upstream id; `None` until the engine is found in the list of upstreams.
    pub upstream_id: RefCell<Option<UpstreamId>>,
    /// The version of the engine's software, as its entry names it.
    pub software_version: RefCell<Option<SoftwareVersion>>,
    /// The engine's last report.
    pub engine_state: RefCell<EngineState>,
    /// The load in progress.
    pub plan: RefCell<Option<LoadPlan>>,
    /// What the agent has measured of its loads from the weight store.
    pub cold_load_observations: Cell<ColdLoadObservations>,
    /// How many requests the engine runs concurrently; 0 until the configuration is known.
    pub(crate) engine_slots: Cell<u32>,
    /// The status that was last sent to routers and other agents.
    pub last_sent: RefCell<SentStatus>,
    /// Increases with each status that is built, also across restarts of the agent.
    pub gossip_sequence: Cell<u64>,
    pub(crate) engine_client: EngineClient,
    /// Follows the fleet's configuration.
    pub(crate) configs: ConfigFollower,
    /// The agent's fencing token; `None` until it is claimed.
    pub(crate) fence: Cell<Option<u64>>,
    /// The highest token that the agent has held.
    pub(crate) highest_fence: Cell<Option<u64>>,
    /// The era of the store in which the token was claimed.
    fence_era: Cell<u64>,
    /// Polls of the report that failed in a row.
    report_failures: Cell<u32>,
    /// When the engine was last looked up in the list of upstreams.
    last_lookup_unix_ms: Cell<u64>,
    /// The earliest time of the next load decision.
    next_decision_unix_ms: Cell<u64>,
    /// When this agent saw each of its loads complete.
    pub(crate) model_loaded_unix_ms: RefCell<HashMap<ModelName, u64>>,
    /// When a request last waited for or used each adapter, by model and adapter name.
    pub(crate) adapter_requested_unix_ms: RefCell<HashMap<(ModelName, String), u64>>,
    /// Ends the pause of the main loop early.
    wake_event: Event,
}

impl std::ops::Deref for EngineAgent {
    type Target = EngineAgentInner;

    fn deref(&self) -> &EngineAgentInner {
        &self.inner
    }
}

/// Errors that prevent an agent from starting.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The gossip socket couldn't be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The client of the store couldn't be created.
    #[error("the client of the store could not be created: {0}")]
    Store(#[from] StoreError),
}

/// Starts an agent, which orders loads until `stop` drains.
///
/// # Errors
/// [`AgentError`] if the gossip socket can't be bound or the store's URL can't be read. Neither the
/// store nor the engine needs to be reachable.
pub async fn run_engine_agent(
    settings: EngineAgentSettings,
    log: Logger,
    stop: &Stop,
) -> Result<EngineAgent, AgentError> {
    let address = settings.gossip_listen;
    let gossip_socket = GossipSocket::bind(address).map_err(ListenError::at(address))?;
    let store = settings.source.open()?;
    store.set_log(&log);
    let configs = ConfigFollower::start(&settings.source, &store, &log, stop);
    configs.serve_peers(address, stop);
    info!(log, "started"; "agent" => &settings.agent_name, "engine" => %settings.engine_address);
    let agent = EngineAgent {
        inner: Rc::new(EngineAgentInner {
            started_unix_ms: now_unix_ms(),
            settings,
            log,
            metrics: Metrics::new("agent"),
            router_demand: DemandTable::default(),
            engine_statuses: EngineStatusTable::default(),
            suspects: RefCell::default(),
            suspect_parts: RefCell::default(),
            suspects_changed: Event::new(),
            stream_origins: OriginTable::default(),
            gossip_socket,
            upstream_id: RefCell::default(),
            software_version: RefCell::default(),
            engine_state: RefCell::default(),
            plan: RefCell::default(),
            cold_load_observations: Cell::default(),
            engine_slots: Cell::default(),
            last_sent: RefCell::default(),
            gossip_sequence: Cell::new(now_unix_ms()),
            engine_client: EngineClient::default(),
            configs,
            fence: Cell::default(),
            highest_fence: Cell::default(),
            fence_era: Cell::default(),
            report_failures: Cell::default(),
            last_lookup_unix_ms: Cell::default(),
            next_decision_unix_ms: Cell::default(),
            model_loaded_unix_ms: RefCell::default(),
            adapter_requested_unix_ms: RefCell::default(),
            wake_event: Event::new(),
        }),
    };
    compio::runtime::spawn(receive_gossip(agent.clone(), stop.clone())).detach();
    compio::runtime::spawn(spread_suspects(agent.clone(), stop.clone())).detach();
    compio::runtime::spawn(keep_held_origins(agent.clone(), stop.clone())).detach();
    agent.serve_metrics(stop);
    compio::runtime::spawn(agent.clone().run(store, stop.clone())).detach();
    Ok(agent)
}

impl EngineAgent {
    /// Whether the agent can currently send orders: it holds a fencing token, and its engine is
    /// listed, responds and isn't leaving.
    pub fn can_send_orders(&self) -> bool {
        self.fence.get().is_some()
            && self.report_failures.get() == 0
            && self.upstream_id.borrow().is_some()
            && !self.is_engine_leaving()
    }

    /// Whether the engine has said to this agent or to a router that it leaves.
    pub fn is_engine_leaving(&self) -> bool {
        let state = self.engine_state.borrow();
        let Some(upstream) = self.upstream_id.borrow().clone() else {
            return state.is_draining;
        };
        let incarnation = UpstreamIncarnation {
            upstream,
            started_unix_ms: state.started_unix_ms,
        };
        state.is_draining || self.router_demand.is_leaving(&incarnation)
    }

    /// Records the adapters that a router's requests wait for or have used.
    pub(crate) fn record_requested_adapters(&self, adapters: &[(ModelName, String)]) {
        let now = now_unix_ms();
        let mut requested = self.adapter_requested_unix_ms.borrow_mut();
        requested
            .retain(|_, requested_unix_ms| now < *requested_unix_ms + ADAPTER_REQUEST_RETENTION_MS);
        requested.extend(adapters.iter().map(|adapter| (adapter.clone(), now)));
    }

    /// Starts the next iteration of the main loop without waiting for the poll interval.
    pub fn wake(&self) {
        self.wake_event.notify(usize::MAX);
    }

    /// Serves the metrics. The agent runs without them if their address can't be bound.
    fn serve_metrics(&self, stop: &Stop) {
        let address = self.settings.metrics_listen;
        let listener = match bind(address) {
            Ok(listener) => listener,
            Err(error) => {
                warn!(self.log, "metrics_not_served"; "address" => %address, "error" => %error);
                return;
            }
        };
        let (agent, stop) = (self.clone(), stop.clone());
        let scrape = move || {
            let (gauges, state) = (&agent.metrics.gauges, agent.engine_state.borrow());
            gauges.waiting.record(state.waiting.into(), &[]);
            gauges.running.record(state.running.into(), &[]);
            gauges.replicas.record(state.loaded.len() as u64, &[]);
            agent.metrics.scrape()
        };
        compio::runtime::spawn(
            async move { serve_text(listener, "/metrics", stop, scrape).await.ok() },
        )
        .detach();
    }

    pub(crate) fn hold_fence(&self, claimed: ClaimedFence) {
        self.fence.set(Some(claimed.fence));
        self.highest_fence.set(Some(claimed.fence));
        self.fence_era.set(claimed.era);
    }

    /// Claims a token again once, because the store has come back from a copy and may have lost it. Until
    /// that succeeds, no order is sent.
    async fn renew_fence(&self, store: &Store) {
        self.fence.set(None);
        let held = self.highest_fence.get();
        if let Some(claimed) = try_claim_fence(&self.settings, store, held, &self.log).await {
            self.hold_fence(claimed);
        }
    }

    async fn run(self, store: Store, stop: Stop) {
        let claimed = claim_fence(&self.settings, &store, None, &self.log).await;
        self.hold_fence(claimed);
        while !stop.is_draining() {
            let woken = self.wake_event.listen();
            if store.era() != self.fence_era.get() {
                self.renew_fence(&store).await;
            }
            self.poll_report(&store).await;
            if self.can_send_orders() {
                self.order_loads(&store).await;
            }
            send_status_if_due(&self).await;
            let is_busy = self.engine_state.borrow().is_busy || self.plan.borrow().is_some();
            let interval_ms = if is_busy {
                BUSY_POLL_INTERVAL_MS
            } else {
                IDLE_POLL_INTERVAL_MS
            };
            sleep_ms(MIN_PAUSE_MS).await;
            select(
                select(woken, pin!(sleep_ms(interval_ms - MIN_PAUSE_MS))),
                pin!(stop.draining()),
            )
            .await;
        }
    }

    async fn poll_report(&self, store: &Store) {
        match self.engine_client.fetch_report(&self.settings).await {
            Ok(state) => {
                self.report_failures.set(0);
                let has_restarted =
                    state.started_unix_ms != self.engine_state.borrow().started_unix_ms;
                if has_restarted {
                    self.forget_upstream();
                }
                if self.upstream_id.borrow().is_none() {
                    self.look_up_upstream(store, &state).await;
                }
                *self.engine_state.borrow_mut() = state;
            }
            Err(error) => {
                self.report_failures.set(self.report_failures.get() + 1);
                if self.report_failures.get() == MAX_REPORT_FAILURES {
                    warn!(self.log, "engine_lost"; "error" => %error);
                    // An engine that is down has no models loaded and no requests.
                    let mut state = self.engine_state.borrow_mut();
                    state.loaded.clear();
                    state.running = 0;
                    state.waiting = 0;
                    *self.plan.borrow_mut() = None;
                }
            }
        }
    }

    /// Forgets what the list says of an earlier start of the engine: the next one may have another id and
    /// software version, and the look-up may fail.
    fn forget_upstream(&self) {
        *self.upstream_id.borrow_mut() = None;
        *self.software_version.borrow_mut() = None;
        *self.plan.borrow_mut() = None;
        self.last_lookup_unix_ms.set(0);
    }

    /// Looks up the engine's id in the list of upstreams, by its service, address and start time.
    async fn look_up_upstream(&self, store: &Store, state: &EngineState) {
        let now = now_unix_ms();
        if now < self.last_lookup_unix_ms.get() + LOOKUP_INTERVAL_MS {
            return;
        }
        self.last_lookup_unix_ms.set(now);
        *self.plan.borrow_mut() = None;
        let list = match store.list(self.settings.source.upstream_key_prefix).await {
            Ok(list) => list,
            Err(error) => {
                info!(self.log, "engine_not_found"; "error" => %error);
                return;
            }
        };
        let entries = list.objects.iter();
        let mut entries =
            entries.filter_map(|object| (self.settings.source.read_upstream)(object).ok());
        let own = entries.find(|entry| {
            entry.service == self.settings.service
                && entry.address == self.settings.engine_address
                && entry.started_unix_ms == state.started_unix_ms
        });
        if let Some(own) = &own {
            info!(self.log, "engine_found"; "upstream" => %own.id,
                "born_unix_ms" => own.started_unix_ms, "models" => own.loaded.len());
        }
        *self.software_version.borrow_mut() = own.as_ref().map(|own| own.software_version.clone());
        *self.upstream_id.borrow_mut() = own.map(|entry| entry.id);
    }

    fn engine_config(&self) -> Option<EngineConfig> {
        let config = self.configs.config()?;
        config.services.get(&self.settings.service)?.engine.clone()
    }

    /// Sends a due adapter order, decides on the next load if none is in progress, and advances the
    /// one that is.
    async fn order_loads(&self, store: &Store) {
        let Some(config) = self.engine_config() else {
            return;
        };
        self.engine_slots.set(config.slots);
        if !self.engine_state.borrow().is_busy {
            self.send_adapter_order(store, &config).await;
        }
        let now = now_unix_ms();
        let is_free = self.plan.borrow().is_none() && !self.engine_state.borrow().is_busy;
        if is_free && now >= self.next_decision_unix_ms.get() {
            self.next_decision_unix_ms
                .set(now + MIN_DECISION_INTERVAL_MS);
            let plan = self.plan_next_load(&config);
            if let Some(plan) = &plan {
                info!(self.log, "load_decided"; "model" => %plan.order.load,
                    "unload" => format!("{:?}", plan.order.unload), "cold" => plan.order.is_cold,
                    "cold_at_once" => plan.order.cold_concurrency);
            }
            *self.plan.borrow_mut() = plan;
            // Sent first, so that routers stop using the models to unload before they are unloaded.
            send_status_if_due(self).await;
        }
        let plan = self.plan.borrow().clone();
        if let Some(plan) = plan {
            self.advance_plan(store, &config, plan).await;
        }
    }
}
