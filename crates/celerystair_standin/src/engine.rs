//! A model engine: accelerator memory that it checks, loads by checkpoint tier, batches,
//! streams, cancellation, fencing, and crashes.

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
/// A prompt that contains this crashes the engine.
pub const POISON: &str = "POISON";

/// How the engine behaves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Accelerator memory.
    pub memory_bytes: u64,
    /// Host memory that caches checkpoints.
    pub host_memory_bytes: u64,
    /// Bytes a second from host memory to the accelerator.
    pub memory_bytes_per_second: u64,
    /// Bytes a second from local disk to the accelerator.
    pub disk_bytes_per_second: u64,
    /// The weight store; without one, remote checkpoints load at the speed of the disk.
    pub weights_url: Option<String>,
    /// Models whose checkpoint is on local disk from the start.
    pub on_disk: Vec<ModelName>,
    /// How long unloading takes.
    pub unload_ms: u64,
    /// Time to the first token of a request that runs alone.
    pub first_token_ms: u64,
    /// Time between tokens of a request that runs alone.
    pub token_interval_ms: u64,
    /// Requests that run at once at full speed; beyond, tokens slow in proportion.
    pub batch_max: u32,
    /// Whether orders with an old fencing number are refused.
    pub checks_orders: bool,
    /// How far its report lags.
    pub report_lag_ms: u64,
    /// How long it is away after a crash.
    pub restart_ms: u64,
    /// The load by this number, counted from 1, ends in a crash halfway; 0 for none.
    pub crash_in_load: u64,
    /// The load by this number, counted from 1, is carried out and its answer is lost; 0 for none.
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
    fence: Cell<u64>,
    boot: Cell<u64>,
    crashed_until_unix_ms: Cell<u64>,
    crashed: Event,
    loads: Cell<u64>,
    running: Cell<u32>,
    overcommit_faults: Cell<u64>,
    replicas: RefCell<HashMap<ModelName, Replica>>,
    /// Checkpoints in host memory, the least recently used first, with their sizes.
    in_memory: RefCell<Vec<(ModelName, u64)>>,
    on_disk: RefCell<HashSet<ModelName>>,
    reported: RefCell<(u64, EngineState)>,
}

struct Replica {
    version: String,
    memory_bytes: u64,
    loaded_unix_ms: Option<u64>,
    unloading: bool,
    adapters: HashSet<String>,
    running: u32,
    idle_since_unix_ms: u64,
    idle_ms: u64,
    changed: Rc<Event>,
}

/// The instance is gone, and its accelerator's memory with it.
impl Drop for Engine {
    fn drop(&mut self) {
        for model in self.replicas.borrow().keys() {
            self.witness.replica_freed(model, self.address);
        }
    }
}

/// Runs the engine until `stop` drains; gives its address.
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
        reported: RefCell::default(),
    });
    let (server, serving) = (engine.clone(), stop.clone());
    compio::runtime::spawn(async move {
        let handle = move |request| {
            let engine = server.clone();
            async move { engine.answer(request).await }
        };
        serve_http(listener, serving, handle).await.ok();
    })
    .detach();
    let stop = stop.clone();
    compio::runtime::spawn(async move {
        // Replicas that are still loaded at the end count in the witness's times.
        stop.draining().await;
        engine
            .replicas
            .borrow()
            .values()
            .for_each(|replica| engine.note_time(replica));
    })
    .detach();
    Ok(address)
}

/// An answer that is cut off at once, as by a crash.
fn cut_answer() -> HttpResponse {
    http::Response::new(HttpBody::chunks(futures_util::stream::iter([Err(
        BodyError,
    )])))
}

impl Engine {
    async fn answer(self: Rc<Self>, request: HttpRequest) -> HttpResponse {
        if now_unix_ms() < self.crashed_until_unix_ms.get() {
            return cut_answer();
        }
        let (parts, body) = match read_body(request, BODY_MAX_BYTES).await {
            Ok(read) => read,
            Err(error) => return json_response(400, &error.to_string()),
        };
        match parts.uri.path() {
            "/faults/crash" => self.crash_for(&body),
            "/state" => json_response(200, &self.report()),
            "/orders/load" => self.order_load(&body).await,
            "/orders/load_adapter" => self.order_adapter(&body).await,
            "/orders/unload" => self.order_unload(&body).await,
            "/orders/prefetch" => self.order_prefetch(&body).await,
            "/v1/chat/completions" | "/v1/completions" => self.complete(&body).await,
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

    /// The state as it was up to `report_lag_ms` ago.
    fn report(&self) -> EngineState {
        let now = now_unix_ms();
        let mut reported = self.reported.borrow_mut();
        if reported.0 == 0 || now >= reported.0 + self.settings.report_lag_ms {
            *reported = (now, self.state());
        }
        reported.1.clone()
    }

    /// Loses everything, cuts off every request, and is away for a while.
    fn crash(&self) {
        self.crashed_until_unix_ms
            .set(now_unix_ms() + self.settings.restart_ms);
        self.boot.set(self.boot.get() + 1);
        self.fence.set(0);
        for (model, replica) in self.replicas.borrow_mut().drain() {
            self.note_time(&replica);
            self.witness.replica_freed(&model, self.address);
            replica.changed.notify(usize::MAX);
        }
        self.in_memory.borrow_mut().clear();
        self.reported.borrow_mut().0 = 0;
        self.crashed.notify(usize::MAX);
    }

    /// Crashes on a test's order, and stays away for the milliseconds in `body`.
    fn crash_for(&self, body: &[u8]) -> HttpResponse {
        let Ok(away_ms) = serde_json::from_slice::<u64>(body) else {
            return json_response(400, &false);
        };
        self.crash();
        self.crashed_until_unix_ms.set(now_unix_ms() + away_ms);
        json_response(200, &true)
    }

    fn note_time(&self, replica: &Replica) {
        let now = now_unix_ms();
        let Some(loaded_unix_ms) = replica.loaded_unix_ms else {
            return;
        };
        let since_idle = if replica.running == 0 {
            now - replica.idle_since_unix_ms
        } else {
            0
        };
        self.witness
            .replica_time(now - loaded_unix_ms, replica.idle_ms + since_idle);
    }
}
