//! The agent's state, its start and its loop.

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
    client::{EngineClient, EngineError},
    fence::claim_fence,
    plan::Plan,
    settings::EngineAgentSettings,
    tell::{Told, hear, tell},
};

/// How often the engine's report is read when nothing is under way.
const IDLE_INTERVAL_MS: u64 = 200;
/// The same while an order is carried out.
const BUSY_INTERVAL_MS: u64 = 50;
/// The shortest pause between two decisions on what to load: news of all engines go in.
const DECIDE_INTERVAL_MS: u64 = 60;
/// The shortest pause between two rounds, however much is heard.
const GAP_MS: u64 = 10;
/// Reports that fail in a row before the engine counts as down.
const FAILURES_MAX: u32 = 2;
/// Adapters that were not wanted for so long are alike when one has to make room.
const WANTED_MEMORY_MS: u64 = 60_000;
/// How often the agent looks for its engine in the list while it isn't there.
const FIND_INTERVAL_MS: u64 = 500;

/// An agent; cheap to clone within its thread.
#[derive(Clone)]
pub struct EngineAgent {
    inner: Rc<Inner>,
}

/// The parts of an [`EngineAgent`].
pub struct Inner {
    /// What it was started with.
    pub settings: EngineAgentSettings,
    /// Its log.
    pub log: Logger,
    /// Its counters and histograms.
    pub metrics: Metrics,
    /// What routers have told.
    pub demand: DemandTable,
    /// What other agents have told.
    pub engines: EngineStatusTable,
    /// Where news goes out and comes in.
    pub socket: GossipSocket,
    /// The engine's name, once it is known.
    pub upstream: RefCell<Option<UpstreamId>>,
    /// The engine's last report.
    pub state: RefCell<EngineState>,
    /// The load under way.
    pub plan: RefCell<Option<Plan>>,
    /// What was seen of loads from the weight store.
    pub cold_loads_seen: Cell<ColdLoadObservations>,
    /// Requests that the engine runs at once; 0 until the configuration is known.
    pub(crate) slots: Cell<u32>,
    /// What was told last.
    pub told: RefCell<Told>,
    /// Rises with each datagram, also over lives of the agent.
    pub sequence: Cell<u64>,
    pub(crate) client: EngineClient,
    pub(crate) configs: Mirror<ServingConfig>,
    pub(crate) fence: Cell<Option<u64>>,
    failures: Cell<u32>,
    found_unix_ms: Cell<u64>,
    decide_unix_ms: Cell<u64>,
    pub(crate) loaded_unix_ms: RefCell<HashMap<ModelName, u64>>,
    pub(crate) wanted_unix_ms: RefCell<HashMap<(ModelName, String), u64>>,
    woken: Event,
}

impl std::ops::Deref for EngineAgent {
    type Target = Inner;

    fn deref(&self) -> &Inner {
        &self.inner
    }
}

/// Why an agent could not start.
#[derive(Debug, Error)]
pub enum AgentError {
    /// It can't listen.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The store's client can't be made.
    #[error("the client of the store: {0}")]
    Store(#[from] StoreError),
    /// The engine's client can't be made.
    #[error("the client of the engine: {0}")]
    Engine(#[from] EngineError),
}

/// Starts an agent; it orders loads until `stop` drains.
///
/// # Errors
/// [`AgentError`] if it can't listen. Neither the store nor the engine need be up.
pub async fn run_engine_agent(
    settings: EngineAgentSettings,
    log: Logger,
    stop: &Stop,
) -> Result<EngineAgent, AgentError> {
    let address = settings.gossip_listen;
    let socket = GossipSocket::bind(address).map_err(ListenError::at(address))?;
    let store = settings.source.open()?;
    let source = &settings.source;
    let configs = Mirror::start_reading(&store, source.config_prefix, source.read_config, stop);
    info!(log, "started"; "agent" => &settings.agent_name, "engine" => %settings.engine_address);
    let agent = EngineAgent {
        inner: Rc::new(Inner {
            settings,
            log,
            metrics: Metrics::new("agent"),
            demand: DemandTable::default(),
            engines: EngineStatusTable::default(),
            socket,
            upstream: RefCell::default(),
            state: RefCell::default(),
            plan: RefCell::default(),
            cold_loads_seen: Cell::default(),
            slots: Cell::default(),
            told: RefCell::default(),
            sequence: Cell::new(now_unix_ms()),
            client: EngineClient::new()?,
            configs,
            fence: Cell::default(),
            failures: Cell::default(),
            found_unix_ms: Cell::default(),
            decide_unix_ms: Cell::default(),
            loaded_unix_ms: RefCell::default(),
            wanted_unix_ms: RefCell::default(),
            woken: Event::new(),
        }),
    };
    compio::runtime::spawn(hear(agent.clone(), stop.clone())).detach();
    agent.serve_metrics(stop);
    compio::runtime::spawn(agent.clone().run(store, stop.clone())).detach();
    Ok(agent)
}

impl EngineAgent {
    /// Whether orders may be given now.
    pub fn takes_orders(&self) -> bool {
        self.fence.get().is_some()
            && self.failures.get() == 0
            && self.upstream.borrow().is_some()
            && !self.state.borrow().is_draining
    }

    /// Notes which adapters a router's requests wait for, or have used.
    pub(crate) fn note_adapters(&self, adapters: &[(ModelName, String)]) {
        let now = now_unix_ms();
        let mut wanted = self.wanted_unix_ms.borrow_mut();
        wanted.retain(|_, wanted_unix_ms| now < *wanted_unix_ms + WANTED_MEMORY_MS);
        wanted.extend(adapters.iter().map(|adapter| (adapter.clone(), now)));
    }

    /// Has the agent look now.
    pub fn wake(&self) {
        self.woken.notify(usize::MAX);
    }

    /// Serves the metrics; without a port for them the agent runs all the same.
    fn serve_metrics(&self, stop: &Stop) {
        let address = self.settings.metrics_listen;
        let listener = match bind(address) {
            Ok(listener) => listener,
            Err(error) => {
                warn!(self.log, "metrics_not_served"; "address" => %address, "error" => %error);
                return;
            }
        };
        let (scraped, stop) = (self.clone(), stop.clone());
        let text = move || {
            let (gauges, state) = (&scraped.metrics.gauges, scraped.state.borrow());
            gauges.waiting.record(state.waiting.into(), &[]);
            gauges.running.record(state.running.into(), &[]);
            gauges.replicas.record(state.loaded.len() as u64, &[]);
            scraped.metrics.scrape()
        };
        compio::runtime::spawn(
            async move { serve_text(listener, "/metrics", stop, text).await.ok() },
        )
        .detach();
    }

    async fn run(self, store: Store, stop: Stop) {
        let fence = claim_fence(&self.settings, &store, &self.log).await;
        self.fence.set(Some(fence));
        while !stop.is_draining() {
            let woken = self.woken.listen();
            self.read_report(&store).await;
            if self.takes_orders() {
                self.act(&store).await;
            }
            tell(&self).await;
            let is_busy = self.state.borrow().is_busy || self.plan.borrow().is_some();
            let interval_ms = if is_busy {
                BUSY_INTERVAL_MS
            } else {
                IDLE_INTERVAL_MS
            };
            sleep_ms(GAP_MS).await;
            select(
                select(woken, pin!(sleep_ms(interval_ms - GAP_MS))),
                pin!(stop.draining()),
            )
            .await;
        }
    }

    async fn read_report(&self, store: &Store) {
        match self.client.report(&self.settings).await {
            Ok(state) => {
                self.failures.set(0);
                let is_other = state.born_unix_ms != self.state.borrow().born_unix_ms;
                if is_other || self.upstream.borrow().is_none() {
                    self.find_upstream(store, &state).await;
                }
                *self.state.borrow_mut() = state;
            }
            Err(error) => {
                self.failures.set(self.failures.get() + 1);
                if self.failures.get() == FAILURES_MAX {
                    warn!(self.log, "engine_lost"; "error" => %error);
                    // Nothing is loaded in an engine that is down.
                    let mut state = self.state.borrow_mut();
                    state.loaded.clear();
                    state.running = 0;
                    state.waiting = 0;
                    *self.plan.borrow_mut() = None;
                }
            }
        }
    }

    /// Finds the engine's name in the list, by its address and its start.
    async fn find_upstream(&self, store: &Store, state: &EngineState) {
        let now = now_unix_ms();
        if now < self.found_unix_ms.get() + FIND_INTERVAL_MS {
            return;
        }
        self.found_unix_ms.set(now);
        *self.plan.borrow_mut() = None;
        let list = match store.list(self.settings.source.upstreams_prefix).await {
            Ok(list) => list,
            Err(error) => {
                info!(self.log, "engine_not_found"; "error" => %error);
                return;
            }
        };
        let entries = list.objects.iter();
        let mut entries =
            entries.filter_map(|object| (self.settings.source.read_upstream)(object).ok()?);
        let own = entries.find(|entry| {
            entry.address == self.settings.engine_address
                && entry.born_unix_ms == state.born_unix_ms
        });
        if let Some(own) = &own {
            info!(self.log, "engine_found"; "upstream" => %own.id,
                "born_unix_ms" => own.born_unix_ms, "models" => own.loaded.len());
        }
        *self.upstream.borrow_mut() = own.map(|entry| entry.id);
    }

    fn engine_config(&self) -> Option<EngineConfig> {
        let (_, config) = self.configs.get(self.settings.source.config_name)?;
        config.services.get(&self.settings.service)?.engine.clone()
    }

    async fn act(&self, store: &Store) {
        let Some(config) = self.engine_config() else {
            return;
        };
        self.slots.set(config.slots);
        if !self.state.borrow().is_busy {
            self.order_adapters(store, &config).await;
        }
        let now = now_unix_ms();
        let is_free = self.plan.borrow().is_none() && !self.state.borrow().is_busy;
        if is_free && now >= self.decide_unix_ms.get() {
            self.decide_unix_ms.set(now + DECIDE_INTERVAL_MS);
            let plan = self.decide(&config);
            if let Some(plan) = &plan {
                info!(self.log, "load_decided"; "model" => %plan.order.load,
                    "unload" => format!("{:?}", plan.order.unload), "cold" => plan.order.is_cold,
                    "cold_at_once" => plan.order.cold_concurrency);
            }
            *self.plan.borrow_mut() = plan;
            // Routers hear what makes room before it does.
            tell(self).await;
        }
        let plan = self.plan.borrow().clone();
        if let Some(plan) = plan {
            self.carry_out(store, &config, plan).await;
        }
    }
}
