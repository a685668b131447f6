//! Permits to fetch checkpoints and adapters from the weight store, within a budget that the whole
//! fleet shares.
//!
//! One agent, the issuer, grants permits by earliest deadline. It is the first live agent in
//! rendezvous order, so no election is needed. Agents that see different lists may use two issuers
//! for a while; the budget is soft, and that only slows fetches. An agent that can't reach the
//! issuer runs a static share of the fetches. See `docs/COLD_STARTS.md`.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    pin::{Pin, pin},
    rc::Rc,
};

use celerystair_config::{fleet, fleet::AdapterBudget, fleet::LoadBudget};
use celerystair_core::{prelude::*, rendezvous, time::before_deadline};
use celerystair_protocol::{
    AcquirePermitRequest, PermitEvent, load_permits_client::LoadPermitsClient, load_permits_server,
};
use event_listener::Event as Signal;
use futures_util::{
    Stream,
    future::{Either, select},
};
use send_wrapper::SendWrapper;
use tonic::{Request, Response, Status, Streaming};

use crate::{agent::Agent, replicas::Replica};

/// Rendezvous key by which agents are ordered to choose the issuer.
const ISSUER_KEY: &str = "load-permits";
/// How long the issuer may take to open the permit stream. The grant itself may take longer.
const ISSUER_TIMEOUT_MS: u64 = 1_000;
/// How many checkpoint fetches an agent runs at once without an issuer, and how many adapter loads
/// it runs at once without a grant.
const STATIC_SHARE: u32 = 1;

/// A semaphore that serves its waiters by earliest deadline.
#[derive(Default)]
pub struct DeadlineSemaphore {
    granted: Cell<u32>,
    next_sequence: Cell<u64>,
    waiting: RefCell<BTreeMap<(u64, u64), Rc<Signal>>>,
}

/// One unit of a [`DeadlineSemaphore`], released on drop.
pub struct SemaphorePermit {
    semaphore: Rc<DeadlineSemaphore>,
}

impl Drop for SemaphorePermit {
    fn drop(&mut self) {
        self.semaphore.granted.set(self.semaphore.granted.get() - 1);
        self.semaphore.wake_first();
    }
}

impl DeadlineSemaphore {
    /// Returns how many waiters there are.
    pub fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    fn wake_first(&self) {
        if let Some((_, signal)) = self.waiting.borrow().first_key_value() {
            signal.notify(1);
        }
    }

    /// Waits until fewer than `permits_max` permits are held and no waiter has an earlier deadline.
    pub async fn acquire(
        self: &Rc<Self>,
        permits_max: u32,
        deadline_unix_ms: u64,
    ) -> SemaphorePermit {
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        let key = (deadline_unix_ms, sequence);
        let signal = Rc::new(Signal::new());
        self.waiting.borrow_mut().insert(key, signal.clone());
        let dequeue = DequeueOnDrop {
            semaphore: self,
            key,
        };
        loop {
            let listener = signal.listen();
            let is_first = self.waiting.borrow().keys().next() == Some(&key);
            if is_first && self.granted.get() < permits_max.max(1) {
                self.granted.set(self.granted.get() + 1);
                drop(dequeue);
                return SemaphorePermit {
                    semaphore: self.clone(),
                };
            }
            listener.await;
        }
    }
}

/// Removes a waiter from the queue and wakes the next one.
struct DequeueOnDrop<'a> {
    semaphore: &'a DeadlineSemaphore,
    key: (u64, u64),
}

impl Drop for DequeueOnDrop<'_> {
    fn drop(&mut self) {
        self.semaphore.waiting.borrow_mut().remove(&self.key);
        self.semaphore.wake_first();
    }
}

/// A permit to fetch one checkpoint or adapter, released on drop.
pub enum Permit {
    /// Granted by the issuer; valid while the stream is open.
    Issued(Box<Streaming<PermitEvent>>),
    /// Taken from this agent's own share.
    Local(SemaphorePermit),
    /// The configuration sets no budget.
    Unlimited,
}

/// The model in a request for an adapter permit, which names none.
const ADAPTER_PERMITS_MODEL: &str = "";

/// Waits for a permit to fetch the checkpoint of `replica`.
pub async fn acquire_permit(agent: &Agent, replica: &Replica) -> Permit {
    let defaults = agent.node.config.current().defaults.clone();
    let deadline_unix_ms = replica.earliest_deadline_unix_ms.get();
    if defaults.load_budget == LoadBudget::Unlimited {
        return Permit::Unlimited;
    }
    if defaults.load_budget == LoadBudget::Permits
        && let Some(stream) = request_from_issuer(agent, &replica.model, deadline_unix_ms).await
    {
        return Permit::Issued(Box::new(stream));
    }
    let share = match defaults.load_budget {
        LoadBudget::Adaptive => agent.fetch_limiter.limit(),
        _ => STATIC_SHARE,
    };
    Permit::Local(agent.local_permits.acquire(share, deadline_unix_ms).await)
}

/// Waits for a permit to load an adapter for a request with this deadline.
///
/// An adapter load takes a few milliseconds, so an agent runs one at a time without a grant.
/// Further loads wait for the issuer's grant or the end of the agent's own load, whichever comes
/// first, so that an unreachable issuer delays nothing.
pub async fn acquire_adapter_permit(agent: &Agent, deadline_unix_ms: u64) -> Permit {
    let defaults = agent.node.config.current().defaults.clone();
    if defaults.adapter_budget == AdapterBudget::Unlimited {
        return Permit::Unlimited;
    }
    let own = agent
        .local_adapter_permits
        .acquire(STATIC_SHARE, deadline_unix_ms);
    let asked = request_from_issuer(agent, ADAPTER_PERMITS_MODEL, deadline_unix_ms);
    match select(pin!(own), pin!(asked)).await {
        Either::Left((permit, _)) => Permit::Local(permit),
        Either::Right((Some(stream), _)) => Permit::Issued(Box::new(stream)),
        Either::Right((None, own)) => Permit::Local(own.await),
    }
}

/// Requests a permit from the issuer and waits for its grant; `None` if it can't be reached or the
/// stream ends first.
async fn request_from_issuer(
    agent: &Agent,
    model: &str,
    deadline_unix_ms: u64,
) -> Option<Streaming<PermitEvent>> {
    let (name, address) = issuer(agent)?;
    let connection = agent.issuer_connection(&name, address);
    let channel = connection.channel().await.ok()?;
    let origin = channel.origin();
    let request = AcquirePermitRequest {
        stamp: agent.node.stamp(),
        permit_id: AttemptId::random().to_string(),
        upstream: agent.settings.upstream.to_string(),
        model: model.to_owned(),
        deadline_unix_ms,
    };
    let mut client = LoadPermitsClient::with_origin(channel, origin);
    let answer = before_deadline(now_unix_ms() + ISSUER_TIMEOUT_MS, client.acquire(request));
    let mut stream = answer.await?.ok()?.into_inner();
    while let Ok(Some(event)) = stream.message().await {
        agent.node.observe(event.stamp.as_ref());
        if event.granted {
            return Some(stream);
        }
    }
    None
}

/// Returns the name and address of the agent that is the issuer now.
fn issuer(agent: &Agent) -> Option<(String, std::net::SocketAddr)> {
    let agents = agent.node.agents.all();
    let open = agents.iter().filter(|(_, object)| {
        !object.leaving
            && object.memory_bytes > 0
            && !agent.node.instances.is_gone(&object.instance)
    });
    let first = rendezvous::order(ISSUER_KEY, open, |(name, _)| name);
    first
        .first()
        .map(|(name, object)| (name.clone(), object.address))
}

/// Implements the `LoadPermits` gRPC service; must stay on the agent's thread.
pub struct PermitService {
    agent: SendWrapper<Agent>,
}

impl PermitService {
    /// Creates the service of `agent`.
    pub fn new(agent: &Agent) -> Self {
        Self {
            agent: SendWrapper::new(agent.clone()),
        }
    }
}

#[tonic::async_trait]
impl load_permits_server::LoadPermits for PermitService {
    type AcquireStream = Pin<Box<dyn Stream<Item = Result<PermitEvent, Status>> + Send>>;

    async fn acquire(
        &self,
        request: Request<AcquirePermitRequest>,
    ) -> Result<Response<Self::AcquireStream>, Status> {
        let request = request.into_inner();
        self.agent.node.observe(request.stamp.as_ref());
        let (events, stream) = async_channel::bounded(1);
        let agent = Agent::clone(&self.agent);
        compio::runtime::spawn(async move {
            let limits = fleet::values_for_model(
                &agent.node.config.current(),
                &request.model,
                now_unix_ms(),
            );
            let (semaphore, permits_max) = if request.model == ADAPTER_PERMITS_MODEL {
                (&agent.issued_adapter_permits, limits.adapters_in_flight_max)
            } else {
                (&agent.issued_permits, limits.loads_in_flight_max)
            };
            let permit = semaphore.acquire(permits_max, request.deadline_unix_ms);
            let gone = pin!(events.closed());
            let permit = pin!(permit);
            let Either::Left((permit, _)) = select(permit, gone).await else {
                return;
            };
            let granted = PermitEvent {
                stamp: agent.node.stamp(),
                granted: true,
                expected_grant_unix_ms: now_unix_ms(),
            };
            events.send(Ok(granted)).await.ok();
            events.closed().await;
            drop(permit);
        })
        .detach();
        Ok(Response::new(Box::pin(stream)))
    }
}
