//! The admission queue in front of the upstream.
//!
//! Requests are granted permits by priority, then fairly between organisations, and within an
//! organisation by deadline. A request that can't be served before its deadline is refused at
//! once. See `docs/OVERLOAD.md`.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use celerystair_core::{prelude::*, time::before_deadline};
use event_listener::Event;

/// Weight of the newest service time in the moving average.
const NEWEST_WEIGHT: f64 = 0.1;

/// Limits how many requests run at the upstream at once, and queues the others.
#[derive(Clone)]
pub struct RunQueue {
    inner: Rc<Inner>,
}

struct Inner {
    running_max: u32,
    running: Cell<u32>,
    next_sequence: Cell<u64>,
    mean_service_ms: Cell<f64>,
    /// Whether requests are ordered by priority and deadline and shed when they can't be served
    /// in time. If not, they wait in order of arrival until their deadline.
    is_shedding: Cell<bool>,
    /// Whether a request runs exclusively, or waits to do so until the running ones have ended.
    /// No permits are granted meanwhile.
    is_exclusive: Cell<bool>,
    /// Notified when a running request ends.
    changed: Event,
    waiting: RefCell<BTreeMap<QueueKey, Rc<Waiter>>>,
    /// Virtual time of the fair queueing: the virtual start time of the last granted permit.
    virtual_time: Cell<u64>,
    /// The virtual time of each organisation's next permit, for organisations that have used
    /// more than their share.
    next_start: RefCell<HashMap<OrganisationName, u64>>,
}

/// A request for a [`RunPermit`].
#[derive(Clone, Copy, Debug)]
pub struct RunRequest<'a> {
    /// The organisation that the request is charged to.
    pub organisation: &'a str,
    /// Requests of a higher priority go first.
    pub priority: u32,
    /// When the request stops waiting.
    pub deadline_unix_ms: u64,
    /// The queue's capacity: with this many waiting, the request is refused.
    pub waiting_max: u32,
}

/// The sort key of a waiting request; the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    priority_inverted: u32,
    deadline_unix_ms: u64,
    sequence: u64,
}

/// The state of a waiting request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum WaitState {
    /// The request is in the queue.
    #[default]
    Waiting,
    /// A permit is reserved for the request, which has not collected it yet.
    Granted,
    /// Newer requests went ahead, and the permit can't be granted before the deadline any more.
    Overtaken,
    /// The request has collected its permit.
    Collected,
}

struct Waiter {
    organisation: OrganisationName,
    state: Cell<WaitState>,
    event: Event,
}

impl Waiter {
    fn settle(&self, state: WaitState) {
        self.state.set(state);
        self.event.notify(1);
    }
}

/// Permission to run one request at the upstream; released on drop.
pub struct RunPermit {
    queue: RunQueue,
    started_unix_ms: u64,
}

impl RunQueue {
    /// Creates a queue for an upstream that runs up to `running_max` requests at once; 0 counts as
    /// 1.
    pub fn new(running_max: u32) -> Self {
        Self {
            inner: Rc::new(Inner {
                running_max: running_max.max(1),
                running: Cell::new(0),
                next_sequence: Cell::new(0),
                mean_service_ms: Cell::new(0.0),
                is_shedding: Cell::new(true),
                is_exclusive: Cell::new(false),
                changed: Event::new(),
                waiting: RefCell::default(),
                virtual_time: Cell::new(0),
                next_start: RefCell::default(),
            }),
        }
    }

    /// Turns shedding on or off for requests that arrive from now on.
    pub fn set_shedding(&self, is_enabled: bool) {
        self.inner.is_shedding.set(is_enabled);
    }

    /// Returns how many requests run.
    pub fn running(&self) -> u32 {
        self.inner.running.get()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> u32 {
        self.inner.waiting.borrow().len() as u32
    }

    /// Returns how many requests may run at once.
    pub fn running_max(&self) -> u32 {
        self.inner.running_max
    }

    /// Estimates how long a request that arrives now waits behind `ahead` others.
    pub fn expected_wait_ms(&self, ahead: u32) -> u64 {
        let free = self
            .inner
            .running_max
            .saturating_sub(self.inner.running.get());
        let rounds =
            f64::from((ahead + 1).saturating_sub(free)) / f64::from(self.inner.running_max);
        (rounds * self.inner.mean_service_ms.get()) as u64
    }

    /// Waits for a permit until the request's deadline.
    ///
    /// # Errors
    /// A refusal: at once if the queue is full or the expected wait exceeds the time left,
    /// later if requests of higher priority push the expected grant past the deadline, and at
    /// the deadline otherwise.
    pub async fn acquire(&self, request: RunRequest<'_>) -> Result<RunPermit, Refusal> {
        if self.has_free_permit() {
            return Ok(self.grant_now(request.organisation));
        }
        let sequence = self.inner.next_sequence.get();
        self.inner.next_sequence.set(sequence + 1);
        let key = self.queue_key(request, sequence);
        self.refuse_if_full_or_late(request, key)?;
        let waiter = Rc::new(Waiter {
            organisation: request.organisation.into(),
            state: Cell::default(),
            event: Event::new(),
        });
        self.inner.waiting.borrow_mut().insert(key, waiter.clone());
        let _dequeue = DequeueOnDrop {
            queue: self,
            key,
            waiter: &waiter,
        };
        self.shed_overtaken(request.organisation, key);
        let settled = async {
            while waiter.state.get() == WaitState::Waiting {
                let listener = waiter.event.listen();
                if waiter.state.get() == WaitState::Waiting {
                    listener.await;
                }
            }
        };
        before_deadline(request.deadline_unix_ms, settled).await;
        match waiter.state.get() {
            WaitState::Granted | WaitState::Collected => {
                waiter.state.set(WaitState::Collected);
                Ok(self.permit())
            }
            WaitState::Overtaken => {
                let wait_ms = self.expected_wait_ms(self.waiting());
                let detail =
                    "requests of higher priority went ahead, so none can run before the deadline";
                Err(Refusal::not_run(RefusalReason::Overloaded, detail).retry_after(wait_ms))
            }
            WaitState::Waiting => Err(Refusal::not_run(
                RefusalReason::DeadlineExceeded,
                "no permit was granted before the deadline",
            )),
        }
    }

    /// Checks whether [`RunQueue::acquire`] would refuse the request at once.
    ///
    /// # Errors
    /// The refusal that the request would get.
    pub fn check_admission(&self, request: RunRequest<'_>) -> Result<(), Refusal> {
        if self.has_free_permit() {
            return Ok(());
        }
        let key = self.queue_key(request, self.inner.next_sequence.get());
        self.refuse_if_full_or_late(request, key)
    }

    fn queue_key(&self, request: RunRequest<'_>, sequence: u64) -> QueueKey {
        if !self.inner.is_shedding.get() {
            return QueueKey {
                priority_inverted: u32::MAX,
                deadline_unix_ms: 0,
                sequence,
            };
        }
        QueueKey {
            priority_inverted: u32::MAX - request.priority,
            deadline_unix_ms: request.deadline_unix_ms,
            sequence,
        }
    }

    /// Counts the permits that will be granted before that of a request at `key`: those for
    /// requests of higher priority, and at equal priority those for earlier requests of its own
    /// organisation, with at most one more for each other organisation.
    fn ahead(&self, organisation: &str, key: QueueKey) -> u32 {
        let waiting = self.inner.waiting.borrow();
        if !self.inner.is_shedding.get() {
            return waiting.range(..key).count() as u32;
        }
        let mut higher_priority = 0;
        let mut own = 0;
        let mut others: HashMap<&str, u32> = HashMap::default();
        for (other, waiter) in waiting.iter() {
            if other.priority_inverted < key.priority_inverted {
                higher_priority += 1;
            } else if other.priority_inverted > key.priority_inverted {
                break;
            } else if *waiter.organisation != *organisation {
                *others.entry(&waiter.organisation).or_default() += 1;
            } else if *other < key {
                own += 1;
            }
        }
        higher_priority
            + own
            + others
                .values()
                .map(|count| (*count).min(own + 1))
                .sum::<u32>()
    }

    /// Selects the request that gets the next permit: among those of the highest priority, the
    /// organisation with the earliest virtual start, and of its requests the one with the
    /// earliest deadline.
    fn next_to_grant(&self) -> Option<QueueKey> {
        let waiting = self.inner.waiting.borrow();
        let (first, _) = waiting.first_key_value()?;
        if !self.inner.is_shedding.get() {
            return Some(*first);
        }
        let highest_priority = waiting
            .iter()
            .take_while(|(key, _)| key.priority_inverted == first.priority_inverted);
        let candidates =
            highest_priority.map(|(key, waiter)| (self.virtual_start(&waiter.organisation), *key));
        candidates.min().map(|(_, key)| key)
    }

    /// Returns the virtual time of the organisation's next permit.
    fn virtual_start(&self, organisation: &str) -> u64 {
        let next = self.inner.next_start.borrow().get(organisation).copied();
        next.unwrap_or_default().max(self.inner.virtual_time.get())
    }

    /// Charges a permit to the organisation. Waiting organisations are served in rotation; an
    /// organisation gains no credit from a time in which it sent nothing.
    fn advance_virtual_time(&self, organisation: &str) {
        let start = self.virtual_start(organisation);
        self.inner.virtual_time.set(start);
        let mut next_start = self.inner.next_start.borrow_mut();
        next_start.insert(organisation.into(), start + 1);
        next_start.retain(|_, next| *next > start);
    }

    fn has_free_permit(&self) -> bool {
        self.inner.running.get() < self.inner.running_max
            && self.waiting() == 0
            && !self.inner.is_exclusive.get()
    }

    /// Waits until the request's deadline for a permit under which nothing else runs.
    ///
    /// # Errors
    /// The same refusals as [`RunQueue::acquire`], and one if other requests still run at the
    /// deadline.
    pub async fn acquire_exclusive(
        &self,
        request: RunRequest<'_>,
    ) -> Result<ExclusivePermit, Refusal> {
        let permit = loop {
            let permit = self.acquire(request).await?;
            if !self.inner.is_exclusive.replace(true) {
                break ExclusivePermit { permit };
            }
            // Another request got the exclusive permit first; queue up again behind it.
            drop(permit);
        };
        let exclusive = async {
            loop {
                let changed = self.inner.changed.listen();
                if self.inner.running.get() == 1 {
                    return;
                }
                changed.await;
            }
        };
        if before_deadline(request.deadline_unix_ms, exclusive)
            .await
            .is_none()
        {
            let detail = "other requests still ran at the deadline";
            return Err(Refusal::not_run(RefusalReason::DeadlineExceeded, detail));
        }
        Ok(permit)
    }

    fn refuse_if_full_or_late(
        &self,
        request: RunRequest<'_>,
        key: QueueKey,
    ) -> Result<(), Refusal> {
        let wait_ms = self.expected_wait_ms(self.ahead(request.organisation, key));
        let waiting_max = request.waiting_max;
        if self.waiting() >= waiting_max {
            let detail = format!("the queue is full: {waiting_max} requests wait already");
            return Err(Refusal::not_run(RefusalReason::Overloaded, detail).retry_after(wait_ms));
        }
        if !self.inner.is_shedding.get() {
            return Ok(());
        }
        if now_unix_ms() + wait_ms > key.deadline_unix_ms {
            let detail = format!("the expected wait of {wait_ms} ms is past the deadline");
            return Err(Refusal::not_run(RefusalReason::WaitTooLong, detail).retry_after(wait_ms));
        }
        Ok(())
    }

    /// Refuses the waiting requests whose expected grant the newest request has pushed past
    /// their deadline, so that their routers learn of it now and not at the deadline. Each
    /// refusal shortens the wait of the requests behind it.
    fn shed_overtaken(&self, organisation: &str, newest: QueueKey) {
        if !self.inner.is_shedding.get() {
            return;
        }
        let now = now_unix_ms();
        let ranks_after = |key: &QueueKey, waiter: &Waiter| {
            key.priority_inverted > newest.priority_inverted
                || key.priority_inverted == newest.priority_inverted
                    && (*waiter.organisation != *organisation || *key > newest)
        };
        let mut order = self.grant_order();
        let mut overtaken = Vec::new();
        let mut ahead = 0;
        for (key, waiter) in order.drain(..) {
            let is_late = now + self.expected_wait_ms(ahead) > key.deadline_unix_ms;
            if is_late && ranks_after(&key, &waiter) {
                overtaken.push(key);
            } else {
                ahead += 1;
            }
        }
        let mut waiting = self.inner.waiting.borrow_mut();
        for key in overtaken {
            if let Some(waiter) = waiting.remove(&key) {
                waiter.settle(WaitState::Overtaken);
            }
        }
    }

    /// Returns the waiting requests in the order in which permits will be granted: by priority,
    /// then the organisations in rotation.
    fn grant_order(&self) -> Vec<(QueueKey, Rc<Waiter>)> {
        let waiting = self.inner.waiting.borrow();
        let mut counts: HashMap<(u32, &str), u64> = HashMap::default();
        let mut order: Vec<_> = waiting
            .iter()
            .map(|(key, waiter)| {
                let position = counts
                    .entry((key.priority_inverted, &waiter.organisation))
                    .or_default();
                *position += 1;
                let start = self.virtual_start(&waiter.organisation) + *position;
                (key.priority_inverted, start, *key, waiter.clone())
            })
            .collect();
        order.sort_by_key(|(priority_inverted, start, key, _)| (*priority_inverted, *start, *key));
        order
            .into_iter()
            .map(|(_, _, key, waiter)| (key, waiter))
            .collect()
    }

    fn grant_now(&self, organisation: &str) -> RunPermit {
        self.advance_virtual_time(organisation);
        self.inner.running.set(self.inner.running.get() + 1);
        self.permit()
    }

    /// Creates a permit that `running` already counts.
    fn permit(&self) -> RunPermit {
        RunPermit {
            queue: self.clone(),
            started_unix_ms: now_unix_ms(),
        }
    }

    /// Frees a permit and grants it to the next waiting request.
    fn release(&self) {
        self.inner.running.set(self.inner.running.get() - 1);
        self.inner.changed.notify(usize::MAX);
        self.grant_free_permits();
    }

    /// Grants the free permits to the next waiting requests.
    fn grant_free_permits(&self) {
        while !self.inner.is_exclusive.get() && self.inner.running.get() < self.inner.running_max {
            let Some(key) = self.next_to_grant() else {
                return;
            };
            let Some(waiter) = self.inner.waiting.borrow_mut().remove(&key) else {
                return;
            };
            self.advance_virtual_time(&waiter.organisation);
            self.inner.running.set(self.inner.running.get() + 1);
            waiter.settle(WaitState::Granted);
        }
    }
}

/// Permission to run one request with no other beside it; released on drop.
pub struct ExclusivePermit {
    permit: RunPermit,
}

impl Drop for ExclusivePermit {
    fn drop(&mut self) {
        // The inner permit is dropped after this, and its release grants the waiting requests.
        self.permit.queue.inner.is_exclusive.set(false);
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        let served_ms = (now_unix_ms() - self.started_unix_ms) as f64;
        let mean = &self.queue.inner.mean_service_ms;
        let weight = if mean.get() == 0.0 {
            1.0
        } else {
            NEWEST_WEIGHT
        };
        mean.set(mean.get() * (1.0 - weight) + served_ms * weight);
        self.queue.release();
    }
}

/// Removes an abandoned waiter from the queue, or releases the permit that it was granted but
/// has not collected.
struct DequeueOnDrop<'a> {
    queue: &'a RunQueue,
    key: QueueKey,
    waiter: &'a Waiter,
}

impl Drop for DequeueOnDrop<'_> {
    fn drop(&mut self) {
        match self.waiter.state.get() {
            WaitState::Waiting => {
                self.queue.inner.waiting.borrow_mut().remove(&self.key);
            }
            WaitState::Granted => self.queue.release(),
            WaitState::Overtaken | WaitState::Collected => {}
        }
    }
}
