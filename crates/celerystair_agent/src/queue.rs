//! Requests that wait for their turn at the upstream: by priority, then by deadline. What
//! can't be met is refused at once.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    ops::Bound,
    rc::Rc,
};

use celerystair_core::{prelude::*, time::before_deadline};
use event_listener::Event;

/// Weight of the newest service time in the running mean.
const MEAN_WEIGHT: f64 = 0.1;

/// The upstream's turns and those who wait for one.
#[derive(Clone)]
pub struct RunQueue {
    inner: Rc<Inner>,
}

struct Inner {
    running_max: u32,
    running: Cell<u32>,
    next_number: Cell<u64>,
    mean_service_ms: Cell<f64>,
    /// Whether requests are refused and ordered by what is known of them; without, each waits in
    /// order of arrival.
    shedding: Cell<bool>,
    /// A request runs alone, or waits until those that run have ended; no turns are given.
    held: Cell<bool>,
    changed: Event,
    waiting: RefCell<BTreeMap<Place, Rc<Waiter>>>,
}

/// Where a request stands in the queue; the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    priority_inverted: u32,
    deadline_unix_ms: u64,
    number: u64,
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
    Taken,
}

#[derive(Default)]
struct Waiter {
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
                next_number: Cell::new(0),
                mean_service_ms: Cell::new(0.0),
                shedding: Cell::new(true),
                held: Cell::new(false),
                changed: Event::new(),
                waiting: RefCell::default(),
            }),
        }
    }

    /// Turns shedding on or off for requests that come from now on.
    pub fn set_shedding(&self, shedding: bool) {
        self.inner.shedding.set(shedding);
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

    /// Waits for a turn until `deadline_unix_ms`.
    ///
    /// # Errors
    /// A refusal, at once if the queue is full or the expected wait is longer than the time
    /// left, else at the deadline.
    pub async fn enter(
        &self,
        priority: u32,
        deadline_unix_ms: u64,
        waiting_max: u32,
    ) -> Result<RunPermit, Refusal> {
        if self.has_free_turn() {
            return Ok(self.take_turn());
        }
        let number = self.inner.next_number.get();
        self.inner.next_number.set(number + 1);
        let place = self.place(priority, deadline_unix_ms, number);
        self.refuse_unmeetable(place, waiting_max)?;
        let waiter = Rc::new(Waiter::default());
        self.inner
            .waiting
            .borrow_mut()
            .insert(place, waiter.clone());
        let _leave = LeaveOnDrop {
            queue: self,
            place,
            waiter: &waiter,
        };
        self.refuse_overtaken(place);
        let settled = async {
            while waiter.state.get() == WaitState::Waiting {
                let listener = waiter.event.listen();
                if waiter.state.get() == WaitState::Waiting {
                    listener.await;
                }
            }
        };
        before_deadline(deadline_unix_ms, settled).await;
        match waiter.state.get() {
            WaitState::Granted | WaitState::Taken => {
                waiter.state.set(WaitState::Taken);
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
    pub fn check(
        &self,
        priority: u32,
        deadline_unix_ms: u64,
        waiting_max: u32,
    ) -> Result<(), Refusal> {
        if self.has_free_turn() {
            return Ok(());
        }
        let place = self.place(priority, deadline_unix_ms, self.inner.next_number.get());
        self.refuse_unmeetable(place, waiting_max)
    }

    fn place(&self, priority: u32, deadline_unix_ms: u64, number: u64) -> Place {
        if !self.inner.shedding.get() {
            return Place {
                priority_inverted: u32::MAX,
                deadline_unix_ms: 0,
                number,
            };
        }
        Place {
            priority_inverted: u32::MAX - priority,
            deadline_unix_ms,
            number,
        }
    }

    fn has_free_turn(&self) -> bool {
        self.inner.running.get() < self.inner.running_max
            && self.waiting() == 0
            && !self.inner.held.get()
    }

    /// Waits for a turn at which nothing else runs, until `deadline_unix_ms`.
    ///
    /// # Errors
    /// As [`RunQueue::enter`].
    pub async fn enter_alone(
        &self,
        priority: u32,
        deadline_unix_ms: u64,
        waiting_max: u32,
    ) -> Result<AlonePermit, Refusal> {
        let permit = loop {
            let permit = self.enter(priority, deadline_unix_ms, waiting_max).await?;
            if !self.inner.held.replace(true) {
                break AlonePermit { permit };
            }
            // Another runs alone; this one waits again until turns are given.
            drop(permit);
        };
        let alone = async {
            loop {
                let changed = self.inner.changed.listen();
                if self.inner.running.get() == 1 {
                    return;
                }
                changed.await;
            }
        };
        if before_deadline(deadline_unix_ms, alone).await.is_none() {
            let detail = "no turn without others came before the deadline";
            return Err(Refusal::not_run(RefusalReason::DeadlineExceeded, detail));
        }
        Ok(permit)
    }

    fn refuse_unmeetable(&self, place: Place, waiting_max: u32) -> Result<(), Refusal> {
        let ahead = self.inner.waiting.borrow().range(..place).count() as u32;
        let wait_ms = self.expected_wait_ms(ahead);
        if self.waiting() >= waiting_max {
            let detail = format!("{waiting_max} requests wait already");
            return Err(Refusal::not_run(RefusalReason::Overloaded, detail).retry_after(wait_ms));
        }
        if !self.inner.shedding.get() {
            return Ok(());
        }
        if now_unix_ms() + wait_ms > place.deadline_unix_ms {
            let detail = format!("the expected wait of {wait_ms} ms is past the deadline");
            return Err(Refusal::not_run(RefusalReason::WaitTooLong, detail).retry_after(wait_ms));
        }
        Ok(())
    }

    /// Refuses those behind `newest` whose turn it has pushed past their deadline, so that they
    /// learn of it now and not at their deadline.
    fn refuse_overtaken(&self, newest: Place) {
        if !self.inner.shedding.get() {
            return;
        }
        let now = now_unix_ms();
        let mut waiting = self.inner.waiting.borrow_mut();
        let mut ahead = waiting.range(..=newest).count() as u32;
        let mut overtaken = Vec::new();
        for (place, _) in waiting.range((Bound::Excluded(newest), Bound::Unbounded)) {
            if now + self.expected_wait_ms(ahead) > place.deadline_unix_ms {
                overtaken.push(*place);
            } else {
                ahead += 1;
            }
        }
        for place in overtaken {
            if let Some(waiter) = waiting.remove(&place) {
                waiter.settle(WaitState::Overtaken);
            }
        }
    }

    fn take_turn(&self) -> RunPermit {
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
    fn pass_on(&self) {
        self.inner.running.set(self.inner.running.get() - 1);
        self.inner.changed.notify(usize::MAX);
        self.grant();
    }

    /// Gives the free turns to the first who wait.
    fn grant(&self) {
        while !self.inner.held.get() && self.inner.running.get() < self.inner.running_max {
            let Some((_, waiter)) = self.inner.waiting.borrow_mut().pop_first() else {
                return;
            };
            self.inner.running.set(self.inner.running.get() + 1);
            waiter.settle(WaitState::Granted);
        }
    }
}

/// A turn at which nothing else runs; it ends when this is dropped.
pub struct AlonePermit {
    permit: RunPermit,
}

impl Drop for AlonePermit {
    fn drop(&mut self) {
        // The turn itself ends after this, and then gives the others theirs.
        self.permit.queue.inner.held.set(false);
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        let served_ms = (now_unix_ms() - self.started_unix_ms) as f64;
        let mean = &self.queue.inner.mean_service_ms;
        let weight = if mean.get() == 0.0 { 1.0 } else { MEAN_WEIGHT };
        mean.set(mean.get() * (1.0 - weight) + served_ms * weight);
        self.queue.pass_on();
    }
}

/// Takes a waiter that gave up out of the queue; a turn granted meanwhile goes to the next.
struct LeaveOnDrop<'a> {
    queue: &'a RunQueue,
    place: Place,
    waiter: &'a Waiter,
}

impl Drop for LeaveOnDrop<'_> {
    fn drop(&mut self) {
        match self.waiter.state.get() {
            WaitState::Waiting => {
                self.queue.inner.waiting.borrow_mut().remove(&self.place);
            }
            WaitState::Granted => self.queue.pass_on(),
            WaitState::Overtaken | WaitState::Taken => {}
        }
    }
}
