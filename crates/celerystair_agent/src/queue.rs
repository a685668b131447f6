//! Requests that wait for their turn at the upstream: by priority, then by deadline, and fairly
//! between organisations. What can't be met is refused at once. See `docs/OVERLOAD.md`.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use celerystair_core::{prelude::*, time::before_deadline};
use event_listener::Event;

/// Weight of the newest service time in the running mean.
const NEWEST_WEIGHT: f64 = 0.1;

/// The upstream's turns and those who wait for one.
#[derive(Clone)]
pub struct RunQueue {
    inner: Rc<Inner>,
}

struct Inner {
    running_max: u32,
    running: Cell<u32>,
    next_sequence: Cell<u64>,
    mean_service_ms: Cell<f64>,
    /// Whether requests are refused and ordered by what is known of them; without, each waits in
    /// order of arrival.
    is_shedding: Cell<bool>,
    /// A request runs alone, or waits until those that run have ended; no turns are given.
    is_exclusive: Cell<bool>,
    changed: Event,
    waiting: RefCell<BTreeMap<QueueKey, Rc<Waiter>>>,
    /// The turn, counted over all organisations, at which the last one was given.
    virtual_time: Cell<u64>,
    /// For each organisation that is ahead of its part: the first turn that is its again.
    next_start: RefCell<HashMap<OrganisationName, u64>>,
}

/// A request that asks for a turn.
#[derive(Clone, Copy, Debug)]
pub struct RunRequest<'a> {
    /// For whom.
    pub organisation: &'a str,
    /// Its weight; the greater goes first.
    pub priority: u32,
    /// Until when it waits.
    pub deadline_unix_ms: u64,
    /// How many may wait when it comes.
    pub waiting_max: u32,
}

/// Where a request stands in the queue; the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    priority_inverted: u32,
    deadline_unix_ms: u64,
    sequence: u64,
}

/// What has become of a request that waits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum WaitState {
    /// It stands in the queue.
    #[default]
    Waiting,
    /// A turn is counted for it.
    Granted,
    /// Others went ahead of it, and its turn can't come in time any more.
    Overtaken,
    /// It has taken its turn.
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

/// A turn at the upstream; it ends when this is dropped.
pub struct RunPermit {
    queue: RunQueue,
    started_unix_ms: u64,
}

impl RunQueue {
    /// A queue for an upstream that runs `running_max` requests at once.
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

    /// Turns shedding on or off for requests that come from now on.
    pub fn set_shedding(&self, is_enabled: bool) {
        self.inner.is_shedding.set(is_enabled);
    }

    /// Requests that run.
    pub fn running(&self) -> u32 {
        self.inner.running.get()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> u32 {
        self.inner.waiting.borrow().len() as u32
    }

    /// How many run at once.
    pub fn running_max(&self) -> u32 {
        self.inner.running_max
    }

    /// How long a request that arrives now is expected to wait, behind `ahead` others.
    pub fn expected_wait_ms(&self, ahead: u32) -> u64 {
        let free = self
            .inner
            .running_max
            .saturating_sub(self.inner.running.get());
        let turns = f64::from((ahead + 1).saturating_sub(free)) / f64::from(self.inner.running_max);
        (turns * self.inner.mean_service_ms.get()) as u64
    }

    /// Waits for a turn until the request's deadline.
    ///
    /// # Errors
    /// A refusal, at once if the queue is full or the expected wait is longer than the time
    /// left, else at the deadline.
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
        let _leave = DequeueOnDrop {
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
                let detail = "requests of higher priority went ahead, and no turn comes in time";
                Err(Refusal::not_run(RefusalReason::Overloaded, detail).retry_after(wait_ms))
            }
            WaitState::Waiting => Err(Refusal::not_run(
                RefusalReason::DeadlineExceeded,
                "no turn came before the deadline",
            )),
        }
    }

    /// Refuses at once a request that would be refused on entry, before anything is done for it.
    ///
    /// # Errors
    /// The refusal.
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

    /// How many turns will be given before that of a request at `place`. Heavier requests go
    /// first, and those of the same organisation by deadline; of each other organisation, no more
    /// than of its own.
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

    /// Who gets the next turn: among the heaviest, the organisation that has had the least of
    /// late, and of its requests the one whose deadline comes first.
    fn next_to_grant(&self) -> Option<QueueKey> {
        let waiting = self.inner.waiting.borrow();
        let (first, _) = waiting.first_key_value()?;
        if !self.inner.is_shedding.get() {
            return Some(*first);
        }
        let highest_priority = waiting
            .iter()
            .take_while(|(key, _)| key.priority_inverted == first.priority_inverted);
        let turns =
            highest_priority.map(|(key, waiter)| (self.virtual_start(&waiter.organisation), *key));
        turns.min().map(|(_, key)| key)
    }

    /// The first turn that the organisation may have.
    fn virtual_start(&self, organisation: &str) -> u64 {
        let next = self.inner.next_start.borrow().get(organisation).copied();
        next.unwrap_or_default().max(self.inner.virtual_time.get())
    }

    /// Counts a turn as given to the organisation. Organisations that wait get turns one after
    /// the other; an organisation that did not wait has saved up none.
    fn advance_virtual_time(&self, organisation: &str) {
        let turn = self.virtual_start(organisation);
        self.inner.virtual_time.set(turn);
        let mut next_start = self.inner.next_start.borrow_mut();
        next_start.insert(organisation.into(), turn + 1);
        next_start.retain(|_, next| *next > turn);
    }

    fn has_free_permit(&self) -> bool {
        self.inner.running.get() < self.inner.running_max
            && self.waiting() == 0
            && !self.inner.is_exclusive.get()
    }

    /// Waits for a turn at which nothing else runs, until the request's deadline.
    ///
    /// # Errors
    /// As [`RunQueue::enter`].
    pub async fn acquire_exclusive(
        &self,
        request: RunRequest<'_>,
    ) -> Result<ExclusivePermit, Refusal> {
        let permit = loop {
            let permit = self.acquire(request).await?;
            if !self.inner.is_exclusive.replace(true) {
                break ExclusivePermit { permit };
            }
            // Another runs alone; this one waits again until turns are given.
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
            let detail = "no turn without others came before the deadline";
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
            let detail = format!("{waiting_max} requests wait already");
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

    /// Refuses those whose turn the newest has pushed past their deadline, so that they learn of
    /// it now and not at their deadline. Each that is refused makes room for those behind it.
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

    /// Those who wait, in the order in which turns will be given: the heavier first, then one of
    /// each organisation after the other.
    fn grant_order(&self) -> Vec<(QueueKey, Rc<Waiter>)> {
        let waiting = self.inner.waiting.borrow();
        let mut counts: HashMap<(u32, &str), u64> = HashMap::default();
        let mut order: Vec<_> = waiting
            .iter()
            .map(|(key, waiter)| {
                let turns = counts
                    .entry((key.priority_inverted, &waiter.organisation))
                    .or_default();
                *turns += 1;
                let turn = self.virtual_start(&waiter.organisation) + *turns;
                (key.priority_inverted, turn, *key, waiter.clone())
            })
            .collect();
        order.sort_by_key(|(priority_inverted, turn, key, _)| (*priority_inverted, *turn, *key));
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

    /// A permit for a turn that is counted already.
    fn permit(&self) -> RunPermit {
        RunPermit {
            queue: self.clone(),
            started_unix_ms: now_unix_ms(),
        }
    }

    /// Hands a turn that became free to the first who waits.
    fn release(&self) {
        self.inner.running.set(self.inner.running.get() - 1);
        self.inner.changed.notify(usize::MAX);
        self.grant_free_permits();
    }

    /// Gives the free turns to the first who wait.
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

/// A turn at which nothing else runs; it ends when this is dropped.
pub struct ExclusivePermit {
    permit: RunPermit,
}

impl Drop for ExclusivePermit {
    fn drop(&mut self) {
        // The turn itself ends after this, and then gives the others theirs.
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

/// Takes a waiter that gave up out of the queue; a turn granted meanwhile goes to the next.
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
