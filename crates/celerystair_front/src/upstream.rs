//! This router's state about one upstream.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;

use crate::{answer_limits::LimitLog, connections::Connections};

/// How long sent requests are remembered: a status that is still fresh already counts older ones.
const SENT_HISTORY_MS: u64 = 4000;
/// Time in which an engine prefills a prompt of usual length while it decodes tokens of its other
/// requests, counted from the sending of the request.
const PREFILL_MS: u64 = 120;
/// An adapter stays wanted for this long after the last request for it.
const ADAPTER_WANTED_MS: u64 = 1000;

/// A rate limit that an upstream has named in its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedRateLimit {
    /// This router's share of the limit.
    pub share: RateLimit,
    /// When a response last named it.
    pub named_unix_ms: u64,
    /// Requests that this router has sent since it was last logged.
    pub sent: u32,
}

/// One incarnation of an upstream: a restart under the same id is another one.
pub struct Upstream {
    /// The upstream's entry, as last read from the store.
    pub entry: RefCell<Rc<UpstreamEntry>>,
    /// The idle connections to the upstream.
    pub connections: Connections,
    /// The upstream's recent failures.
    pub health: Cell<UpstreamHealth>,
    /// Whether another upstream has responded at the upstream's address.
    pub is_misdirected: Cell<bool>,
    /// A later upstream that the store lists at the same address.
    pub superseded_by: RefCell<Option<Rc<Upstream>>>,
    /// Whether the upstream has said in a response that it leaves.
    pub has_announced_departure: Cell<bool>,
    /// Until when the upstream wants nothing from this router.
    pub paused_until_unix_ms: Cell<u64>,
    /// The rate limit that the upstream has named.
    pub rate_limit: Cell<Option<NamedRateLimit>>,
    /// Bounds the log lines about answers over a limit.
    pub(crate) limit_log: Cell<LimitLog>,
    in_flight: Cell<u32>,
    in_flight_by_model: RefCell<HashMap<ModelName, u32>>,
    /// When each recent request was sent, and its number of prompt tokens.
    sent: RefCell<VecDeque<(u64, u64)>>,
    /// Whether an adapter is wanted here that was not yet sent to the upstream's agent.
    pub has_unreported_adapter: Cell<bool>,
    /// When each wanted adapter stops being wanted, by model and adapter.
    wanted_adapters: RefCell<HashMap<(ModelName, String), u64>>,
}

impl Upstream {
    /// Creates the state of an upstream that no request was sent to yet.
    pub fn new(entry: Rc<UpstreamEntry>) -> Self {
        Self {
            entry: RefCell::new(entry),
            connections: Connections::default(),
            health: Cell::default(),
            is_misdirected: Cell::new(false),
            superseded_by: RefCell::default(),
            has_announced_departure: Cell::new(false),
            paused_until_unix_ms: Cell::default(),
            rate_limit: Cell::default(),
            limit_log: Cell::default(),
            in_flight: Cell::new(0),
            in_flight_by_model: RefCell::default(),
            sent: RefCell::default(),
            has_unreported_adapter: Cell::new(false),
            wanted_adapters: RefCell::default(),
        }
    }

    /// Returns the upstream's id.
    pub fn id(&self) -> UpstreamId {
        self.entry.borrow().id.clone()
    }

    /// Returns the version of the upstream's software.
    pub fn software_version(&self) -> SoftwareVersion {
        self.entry.borrow().software_version.clone()
    }

    /// Returns which incarnation of the upstream this is.
    pub fn incarnation(&self) -> UpstreamIncarnation {
        let entry = self.entry.borrow();
        UpstreamIncarnation {
            upstream: entry.id.clone(),
            started_unix_ms: entry.started_unix_ms,
        }
    }

    /// Returns whether the upstream takes new requests, by its entry and its own responses.
    pub fn state(&self) -> UpstreamState {
        let listed = self.entry.borrow().state;
        upstream_state(listed, self.has_announced_departure.get())
    }

    /// Returns whether another upstream now has this one's address. A later entry at the address says
    /// so until an answer shows that its upstream isn't there.
    pub fn is_replaced(&self) -> bool {
        let later = self.superseded_by.borrow();
        let is_superseded = later
            .as_ref()
            .is_some_and(|later| !later.is_misdirected.get());
        self.is_misdirected.get() || is_superseded
    }

    /// Returns the number of this router's requests in flight at the upstream.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Returns the number of this router's requests in flight at the upstream, by model.
    pub fn in_flight_by_model(&self) -> Vec<(ModelName, u32)> {
        let by_model = self.in_flight_by_model.borrow();
        by_model
            .iter()
            .map(|(model, count)| (model.clone(), *count))
            .collect()
    }

    /// Returns the number of requests that were sent to the upstream after `since_unix_ms`.
    pub fn sent_since(&self, since_unix_ms: u64) -> u32 {
        let sent = self.sent.borrow();
        let later = sent
            .iter()
            .rev()
            .take_while(|(time, _)| *time > since_unix_ms);
        later.count() as u32
    }

    /// Returns the prompt tokens of recent requests that the engine is probably still prefilling.
    pub fn prefill_tokens(&self, now_unix_ms: u64) -> u64 {
        let sent = self.sent.borrow();
        let just_now = sent
            .iter()
            .rev()
            .take_while(|(time, _)| *time + PREFILL_MS > now_unix_ms);
        just_now.map(|(_, tokens)| tokens).sum()
    }

    /// Counts a request as in flight at the upstream until the returned guard is dropped.
    pub fn track_request(
        self: &Rc<Self>,
        model: Option<&ModelName>,
        prompt_tokens: u64,
    ) -> InFlightGuard {
        let now = now_unix_ms();
        self.in_flight.set(self.in_flight.get() + 1);
        if let Some(model) = model {
            let mut by_model = self.in_flight_by_model.borrow_mut();
            *by_model.entry(model.clone()).or_default() += 1;
        }
        let mut sent = self.sent.borrow_mut();
        let is_old = |(time, _): &(u64, u64)| time + SENT_HISTORY_MS < now;
        while sent.front().is_some_and(is_old) {
            sent.pop_front();
        }
        sent.push_back((now, prompt_tokens));
        InFlightGuard {
            upstream: self.clone(),
            model: model.cloned(),
        }
    }

    /// Records the rate limit that a response names; returns whether it differs from the one before.
    pub fn set_rate_limit(&self, per_second: f64, now_unix_ms: u64) -> bool {
        let before = self.rate_limit.get();
        let mut limit = before.unwrap_or_else(|| NamedRateLimit {
            share: RateLimit::new(per_second, rand::random(), now_unix_ms),
            named_unix_ms: now_unix_ms,
            sent: 0,
        });
        let is_changed = before.is_none() || limit.share.per_second.total_cmp(&per_second).is_ne();
        limit.share.per_second = per_second;
        limit.named_unix_ms = now_unix_ms;
        self.rate_limit.set(Some(limit));
        is_changed
    }

    /// Records that the upstream has asked for a pause of this length; returns whether the pause is
    /// longer than the one before.
    pub fn pause(&self, pause_ms: u64, now_unix_ms: u64) -> bool {
        let before = self.paused_until_unix_ms.get();
        let until_unix_ms = pause_until_unix_ms(before, pause_ms, now_unix_ms);
        self.paused_until_unix_ms.set(until_unix_ms);
        until_unix_ms > before
    }

    /// Returns when the upstream takes the next request of this router, which is one of `routers`, by
    /// its rate limit and the pause that it has asked for: `now_unix_ms` if it takes one now.
    pub fn admits_unix_ms(&self, routers: u32, now_unix_ms: u64) -> u64 {
        let paused_until_unix_ms = self.paused_until_unix_ms.get();
        let Some(mut limit) = self.rate_limit.get() else {
            return paused_until_unix_ms.max(now_unix_ms);
        };
        let next_unix_ms = limit.share.next_unix_ms(routers, now_unix_ms);
        self.rate_limit.set(Some(limit));
        paused_until_unix_ms.max(next_unix_ms)
    }

    /// Counts a request that is sent towards the upstream's rate limit.
    pub fn count_towards_rate_limit(&self, routers: u32, now_unix_ms: u64) {
        if let Some(mut limit) = self.rate_limit.get() {
            limit.share.spend(routers, now_unix_ms);
            limit.sent += 1;
            self.rate_limit.set(Some(limit));
        }
    }

    /// Ends the rate limit because a response to a request sent at `sent_unix_ms` names none, unless
    /// a response has named it since; returns whether there was a limit to end.
    pub fn end_rate_limit(&self, sent_unix_ms: u64) -> bool {
        let limit = self.rate_limit.get();
        let has_ended = limit.is_some_and(|limit| limit.named_unix_ms < sent_unix_ms);
        if has_ended {
            self.rate_limit.set(None);
        }
        has_ended
    }

    /// Marks an adapter as wanted at the upstream; returns whether it was not wanted before.
    pub fn mark_adapter_wanted(&self, model: &ModelName, adapter: &str) -> bool {
        let until_unix_ms = now_unix_ms() + ADAPTER_WANTED_MS;
        let mut wanted = self.wanted_adapters.borrow_mut();
        let before = wanted.insert((model.clone(), adapter.to_owned()), until_unix_ms);
        if before.is_none() {
            self.has_unreported_adapter.set(true);
        }
        before.is_none()
    }

    /// Returns the adapters that requests wait for, or have recently used, at the upstream.
    pub fn wanted_adapters(&self) -> Vec<(ModelName, String)> {
        let now = now_unix_ms();
        let mut wanted = self.wanted_adapters.borrow_mut();
        wanted.retain(|_, until_unix_ms| *until_unix_ms > now);
        wanted.keys().cloned().collect()
    }

    /// Applies `change` to the upstream's health.
    pub fn update_health(&self, change: impl FnOnce(&mut UpstreamHealth)) {
        let mut health = self.health.get();
        change(&mut health);
        self.health.set(health);
    }
}

/// Counts a request as in flight at an upstream until it is dropped.
pub struct InFlightGuard {
    upstream: Rc<Upstream>,
    model: Option<ModelName>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let in_flight = &self.upstream.in_flight;
        in_flight.set(in_flight.get() - 1);
        let Some(model) = &self.model else {
            return;
        };
        let mut by_model = self.upstream.in_flight_by_model.borrow_mut();
        if let Some(count) = by_model.get_mut(model) {
            *count -= 1;
            if *count == 0 {
                by_model.remove(model);
            }
        }
    }
}
