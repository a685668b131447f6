//! A model engine that models limited accelerator memory, load times by checkpoint tier, batching,
//! streaming, cancellation, fencing of orders, and crashes.

mod completions;
mod orders;

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_net::{
    json::{json_response, read_body},
    prelude::*,
};
use celerystair_protocol::engine_api::{EngineReplica, EngineState};
use event_listener::Event;
use serde::{Deserialize, Serialize};

use crate::witness::Witness;

const BODY_MAX_BYTES: usize = 16 << 20;
/// A prompt that contains this text crashes the engine.
pub const POISON: &str = "POISON";

/// Settings of the engine stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Listen address.
    pub listen: SocketAddr,
    /// Size of the accelerator's memory.
    pub memory_bytes: u64,
    /// Size of the host memory that caches checkpoints.
    pub host_memory_bytes: u64,
    /// Transfer rate from host memory to the accelerator.
    pub memory_bytes_per_second: u64,
    /// Transfer rate from local disk to host memory.
    pub disk_bytes_per_second: u64,
    /// URL of the weight store; without one, remote checkpoints load at the rate of the disk.
    pub weights_url: Option<String>,
    /// Models whose checkpoints are on local disk from the start.
    pub on_disk: Vec<ModelName>,
    /// Duration of an unload.
    pub unload_ms: u64,
    /// Time to the first token of a request that runs alone.
    pub first_token_ms: u64,
    /// Time between tokens of a request that runs alone.
    pub token_interval_ms: u64,
    /// Requests that run concurrently at full speed; with more, each slows down in proportion.
    pub batch_max: u32,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_orders: bool,
    /// Longest age of the state that the engine reports.
    pub report_lag_ms: u64,
    /// Downtime after a crash.
    pub restart_ms: u64,
    /// Number of the load, counted from 1, in which the engine crashes halfway; 0 for none.
    pub crash_in_load: u64,
    /// Number of the load, counted from 1, that is carried out but whose response is lost; 0 for
    /// none.
    pub lose_load_answer: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            memory_bytes: 80 << 30,
            host_memory_bytes: 256 << 30,
            memory_bytes_per_second: 16 << 30,
            disk_bytes_per_second: 4 << 30,
            weights_url: None,
            on_disk: Vec::new(),
            unload_ms: 200,
            first_token_ms: 80,
            token_interval_ms: 20,
            batch_max: 16,
            checks_orders: true,
            report_lag_ms: 0,
            restart_ms: 2000,
            crash_in_load: 0,
            lose_load_answer: 0,
        }
    }
}

struct Engine {
    settings: EngineSettings,
    address: SocketAddr,
    witness: Witness,
    client: cyper::Client,
    /// Highest fencing token accepted since the last boot.
    fence: Cell<u64>,
    /// Number of the boot, which a crash increments.
    boot: Cell<u64>,
    crashed_until_unix_ms: Cell<u64>,
    crashed: Event,
    /// Loads started, over all boots.
    loads: Cell<u64>,
    running: Cell<u32>,
    overcommit_faults: Cell<u64>,
    replicas: RefCell<HashMap<ModelName, Replica>>,
    /// Checkpoints in host memory with their sizes, in the order in which they were fetched.
    in_memory: RefCell<Vec<(ModelName, u64)>>,
    on_disk: RefCell<HashSet<ModelName>>,
    /// When the state was last reported, and that state.
    last_report: RefCell<(u64, EngineState)>,
}

struct Replica {
    version: String,
    memory_bytes: u64,
    /// `None` while the replica is loading.
    loaded_unix_ms: Option<u64>,
    is_unloading: bool,
    adapters: HashSet<String>,
    running: u32,
    /// Start of the current idle period; meaningful only while nothing runs.
    idle_since_unix_ms: u64,
    /// Length of all idle periods that have ended.
    idle_ms: u64,
    changed: Rc<Event>,
}

/// Frees the replicas in the witness, because the accelerator goes away with the engine.
impl Drop for Engine {
    fn drop(&mut self) {
        for model in self.replicas.borrow().keys() {
            self.witness.record_replica_freed(model, self.address);
        }
    }
}

/// Runs the engine until `stop` drains, and returns its address.
pub fn run_engine(
    settings: EngineSettings,
    witness: &Witness,
    stop: &Stop,
) -> io::Result<SocketAddr> {
    let listener = bind(settings.listen)?;
    let address = listener.local_addr()?;
    let engine = Rc::new(Engine {
        on_disk: RefCell::new(settings.on_disk.iter().cloned().collect()),
        settings,
        address,
        witness: witness.clone(),
        client: cyper::Client::new().map_err(io::Error::other)?,
        fence: Cell::new(0),
        boot: Cell::new(1),
        crashed_until_unix_ms: Cell::new(0),
        crashed: Event::new(),
        loads: Cell::new(0),
        running: Cell::new(0),
        overcommit_faults: Cell::new(0),
        replicas: RefCell::default(),
        in_memory: RefCell::default(),
        last_report: RefCell::default(),
    });
    let (server, server_stop) = (engine.clone(), stop.clone());
    compio::runtime::spawn(async move {
        let handle = move |request| {
            let engine = server.clone();
            async move { engine.handle_request(request).await }
        };
        serve_http(listener, server_stop, handle).await.ok();
    })
    .detach();
    let stop = stop.clone();
    compio::runtime::spawn(async move {
        // Replicas that are still loaded at the end count towards the witness's times, too.
        stop.draining().await;
        engine
            .replicas
            .borrow()
            .values()
            .for_each(|replica| engine.record_loaded_time(replica));
    })
    .detach();
    Ok(address)
}

/// Returns a response whose body fails at once, as if the engine had crashed.
fn aborted_response() -> HttpResponse {
    http::Response::new(HttpBody::chunks(futures_util::stream::iter([Err(
        BodyError,
    )])))
}

impl Engine {
    async fn handle_request(self: Rc<Self>, request: HttpRequest) -> HttpResponse {
        if now_unix_ms() < self.crashed_until_unix_ms.get() {
            return aborted_response();
        }
        let (parts, body) = match read_body(request, BODY_MAX_BYTES).await {
            Ok(read) => read,
            Err(error) => return json_response(400, &error.to_string()),
        };
        match parts.uri.path() {
            "/faults/crash" => self.crash_for(&body),
            "/state" => json_response(200, &self.report()),
            "/orders/load" => self.handle_load_order(&body).await,
            "/orders/load_adapter" => self.handle_adapter_order(&body).await,
            "/orders/unload" => self.handle_unload_order(&body).await,
            "/orders/prefetch" => self.handle_prefetch_order(&body).await,
            "/v1/chat/completions" | "/v1/completions" => self.handle_completion(&body).await,
            _ => json_response(404, &"no such path"),
        }
    }

    fn state(&self) -> EngineState {
        let replicas = self.replicas.borrow();
        EngineState {
            reported_unix_ms: now_unix_ms(),
            memory_bytes: self.settings.memory_bytes,
            used_bytes: replicas.values().map(|replica| replica.memory_bytes).sum(),
            fence: self.fence.get(),
            boot: self.boot.get(),
            replicas: replicas
                .iter()
                .map(|(model, replica)| EngineReplica {
                    model: model.clone(),
                    version: replica.version.clone(),
                    memory_bytes: replica.memory_bytes,
                    loaded: replica.loaded_unix_ms.is_some(),
                    adapters: replica.adapters.iter().cloned().collect(),
                })
                .collect(),
            in_memory: self
                .in_memory
                .borrow()
                .iter()
                .map(|(model, _)| model.clone())
                .collect(),
            on_disk: self.on_disk.borrow().iter().cloned().collect(),
            running: self.running.get(),
            overcommit_faults: self.overcommit_faults.get(),
        }
    }

    /// Returns a state that is at most `report_lag_ms` old.
    fn report(&self) -> EngineState {
        let now = now_unix_ms();
        let mut last_report = self.last_report.borrow_mut();
        if last_report.0 == 0 || now >= last_report.0 + self.settings.report_lag_ms {
            *last_report = (now, self.state());
        }
        last_report.1.clone()
    }

    /// Drops all replicas and cached checkpoints, aborts every request, and refuses calls for
    /// `restart_ms`.
    fn crash(&self) {
        self.crashed_until_unix_ms
            .set(now_unix_ms() + self.settings.restart_ms);
        self.boot.set(self.boot.get() + 1);
        self.fence.set(0);
        for (model, replica) in self.replicas.borrow_mut().drain() {
            self.record_loaded_time(&replica);
            self.witness.record_replica_freed(&model, self.address);
            replica.changed.notify(usize::MAX);
        }
        self.in_memory.borrow_mut().clear();
        self.last_report.borrow_mut().0 = 0;
        self.crashed.notify(usize::MAX);
    }

    /// Crashes at a test's request, and refuses calls for the milliseconds in `body`.
    fn crash_for(&self, body: &[u8]) -> HttpResponse {
        let Ok(downtime_ms) = serde_json::from_slice::<u64>(body) else {
            return json_response(400, &false);
        };
        self.crash();
        self.crashed_until_unix_ms.set(now_unix_ms() + downtime_ms);
        json_response(200, &true)
    }

    /// Adds the time that the replica has been loaded and idle to the witness.
    fn record_loaded_time(&self, replica: &Replica) {
        let now = now_unix_ms();
        let Some(loaded_unix_ms) = replica.loaded_unix_ms else {
            return;
        };
        let current_idle_ms = if replica.running == 0 {
            now - replica.idle_since_unix_ms
        } else {
            0
        };
        self.witness
            .record_loaded_time(now - loaded_unix_ms, replica.idle_ms + current_idle_ms);
    }
}
