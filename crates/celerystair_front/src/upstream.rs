//! An upstream as this router sees it.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
};

use celerystair_core::prelude::*;
use celerystair_policy::prelude::*;

use crate::connections::Connections;

/// Sends that are older than this are in any news that is still believed.
const SENT_HISTORY_MS: u64 = 4000;
/// An engine has read a prompt of usual length this long after it was sent, between the tokens of
/// its other requests.
const PREFILL_MS: u64 = 120;
/// An adapter is asked for until this long after the last request for it.
const ADAPTER_WANTED_MS: u64 = 1000;

/// One life of an upstream.
pub struct Upstream {
    /// Its entry, as last read.
    pub entry: RefCell<Rc<UpstreamEntry>>,
    /// Its idle connections.
    pub connections: Connections,
    /// What was seen of it.
    pub health: Cell<UpstreamHealth>,
    /// Whether another upstream has answered at its address.
    pub is_misdirected: Cell<bool>,
    /// Whether the list has a later upstream at its address.
    pub is_superseded: Cell<bool>,
    in_flight: Cell<u32>,
    in_flight_by_model: RefCell<HashMap<ModelName, u32>>,
    /// When requests were sent there, and the tokens of their prompts.
    sent: RefCell<VecDeque<(u64, u64)>>,
    /// Whether its agent has not been told yet of an adapter that is wanted there.
    pub has_unreported_adapter: Cell<bool>,
    wanted_adapters: RefCell<HashMap<(ModelName, String), u64>>,
}

impl Upstream {
    /// An upstream to which nothing was sent yet.
    pub fn new(entry: Rc<UpstreamEntry>) -> Self {
        Self {
            entry: RefCell::new(entry),
            connections: Connections::default(),
            health: Cell::default(),
            is_misdirected: Cell::new(false),
            is_superseded: Cell::new(false),
            in_flight: Cell::new(0),
            in_flight_by_model: RefCell::default(),
            sent: RefCell::default(),
            has_unreported_adapter: Cell::new(false),
            wanted_adapters: RefCell::default(),
        }
    }

    /// Its name.
    pub fn id(&self) -> UpstreamId {
        self.entry.borrow().id.clone()
    }

    /// Which of its lives this is.
    pub fn incarnation(&self) -> UpstreamIncarnation {
        let entry = self.entry.borrow();
        UpstreamIncarnation {
            upstream: entry.id.clone(),
            born_unix_ms: entry.born_unix_ms,
        }
    }

    /// Whether another upstream has its address by now.
    pub fn is_replaced(&self) -> bool {
        self.is_misdirected.get() || self.is_superseded.get()
    }

    /// Requests of this router that are there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// The same by model.
    pub fn in_flight_by_model(&self) -> Vec<(ModelName, u32)> {
        let by_model = self.in_flight_by_model.borrow();
        by_model
            .iter()
            .map(|(model, count)| (model.clone(), *count))
            .collect()
    }

    /// Requests that were sent there after `since_unix_ms`.
    pub fn sent_since(&self, since_unix_ms: u64) -> u32 {
        let sent = self.sent.borrow();
        let later = sent
            .iter()
            .rev()
            .take_while(|(time, _)| *time > since_unix_ms);
        later.count() as u32
    }

    /// Tokens of the prompts that were sent there just now.
    pub fn pending_prompt_tokens(&self, now_unix_ms: u64) -> u64 {
        let sent = self.sent.borrow();
        let just_now = sent
            .iter()
            .rev()
            .take_while(|(time, _)| *time + PREFILL_MS > now_unix_ms);
        just_now.map(|(_, tokens)| tokens).sum()
    }

    /// Counts a request as sent there until the guard is dropped.
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

    /// Notes that a request waits for an adapter there; true if that is news.
    pub fn mark_adapter_wanted(&self, model: &ModelName, adapter: &str) -> bool {
        let until_unix_ms = now_unix_ms() + ADAPTER_WANTED_MS;
        let mut wanted = self.wanted_adapters.borrow_mut();
        let before = wanted.insert((model.clone(), adapter.to_owned()), until_unix_ms);
        if before.is_none() {
            self.has_unreported_adapter.set(true);
        }
        before.is_none()
    }

    /// The adapters that requests wait for, or have used of late.
    pub fn wanted_adapters(&self) -> Vec<(ModelName, String)> {
        let now = now_unix_ms();
        let mut wanted = self.wanted_adapters.borrow_mut();
        wanted.retain(|_, until_unix_ms| *until_unix_ms > now);
        wanted.keys().cloned().collect()
    }

    /// Changes what was seen of it.
    pub fn update_health(&self, change: impl FnOnce(&mut UpstreamHealth)) {
        let mut health = self.health.get();
        change(&mut health);
        self.health.set(health);
    }
}

/// A request that is at an upstream.
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
