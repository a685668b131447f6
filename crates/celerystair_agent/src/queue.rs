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
    /// The turn, counted over all organisations, at which the last one was given.
    turn: Cell<u64>,
    /// For each organisation that is ahead of its part: the first turn that is its again.
    next_turn: RefCell<HashMap<OrganisationName, u64>>,
}

/// A request that asks for a turn.
#[derive(Clone, Copy, Debug)]
pub struct TurnRequest<'a> {
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
                next_number: Cell::new(0),
                mean_service_ms: Cell::new(0.0),
                shedding: Cell::new(true),
                held: Cell::new(false),
                changed: Event::new(),
                waiting: RefCell::default(),
                turn: Cell::new(0),
                next_turn: RefCell::default(),
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

    /// Waits for a turn until the request's deadline.
    ///
    /// # Errors
    /// A refusal, at once if the queue is full or the expected wait is longer than the time
    /// left, else at the deadline.
    pub async fn enter(&self, request: TurnRequest<'_>) -> Result<RunPermit, Refusal> {
        if self.has_free_turn() {
            return Ok(self.take_turn(request.organisation));
        }
        let number = self.inner.next_number.get();
        self.inner.next_number.set(number + 1);
        let place = self.place(request, number);
        self.refuse_unmeetable(request, place)?;
        let waiter = Rc::new(Waiter {
            organisation: request.organisation.into(),
            state: Cell::default(),
            event: Event::new(),
        });
        self.inner
            .waiting
            .borrow_mut()
            .insert(place, waiter.clone());
        let _leave = LeaveOnDrop {
            queue: self,
            place,
            waiter: &waiter,
        };
        self.refuse_overtaken(request.organisation, place);
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
    pub fn check(&self, request: TurnRequest<'_>) -> Result<(), Refusal> {
        if self.has_free_turn() {
            return Ok(());
        }
        let place = self.place(request, self.inner.next_number.get());
        self.refuse_unmeetable(request, place)
    }

    fn place(&self, request: TurnRequest<'_>, number: u64) -> Place {
        if !self.inner.shedding.get() {
            return Place {
                priority_inverted: u32::MAX,
                deadline_unix_ms: 0,
                number,
            };
        }
        Place {
            priority_inverted: u32::MAX - request.priority,
            deadline_unix_ms: request.deadline_unix_ms,
            number,
        }
    }

    /// How many turns will be given before that of a request at `place`. Heavier requests go
    /// first, and those of the same organisation by deadline; of each other organisation, no more
    /// than of its own.
    fn ahead(&self, organisation: &str, place: Place) -> u32 {
        let waiting = self.inner.waiting.borrow();
        if !self.inner.shedding.get() {
            return waiting.range(..place).count() as u32;
        }
        let mut heavier = 0;
        let mut own = 0;
        let mut others: HashMap<&str, u32> = HashMap::default();
        for (other, waiter) in waiting.iter() {
            if other.priority_inverted < place.priority_inverted {
                heavier += 1;
            } else if other.priority_inverted > place.priority_inverted {
                break;
            } else if *waiter.organisation != *organisation {
                *others.entry(&waiter.organisation).or_default() += 1;
            } else if *other < place {
                own += 1;
            }
        }
        heavier
            + own
            + others
                .values()
                .map(|count| (*count).min(own + 1))
                .sum::<u32>()
    }

    /// Who gets the next turn: among the heaviest, the organisation that has had the least of
    /// late, and of its requests the one whose deadline comes first.
    fn next(&self) -> Option<Place> {
        let waiting = self.inner.waiting.borrow();
        let (first, _) = waiting.first_key_value()?;
        if !self.inner.shedding.get() {
            return Some(*first);
        }
        let heaviest = waiting
            .iter()
            .take_while(|(place, _)| place.priority_inverted == first.priority_inverted);
        let turns = heaviest.map(|(place, waiter)| (self.first_turn(&waiter.organisation), *place));
        turns.min().map(|(_, place)| place)
    }

    /// The first turn that the organisation may have.
    fn first_turn(&self, organisation: &str) -> u64 {
        let next = self.inner.next_turn.borrow().get(organisation).copied();
        next.unwrap_or_default().max(self.inner.turn.get())
    }

    /// Counts a turn as given to the organisation. Organisations that wait get turns one after
    /// the other; an organisation that did not wait has saved up none.
    fn count_turn(&self, organisation: &str) {
        let turn = self.first_turn(organisation);
        self.inner.turn.set(turn);
        let mut next_turn = self.inner.next_turn.borrow_mut();
        next_turn.insert(organisation.into(), turn + 1);
        next_turn.retain(|_, next| *next > turn);
    }

    fn has_free_turn(&self) -> bool {
        self.inner.running.get() < self.inner.running_max
            && self.waiting() == 0
            && !self.inner.held.get()
    }

    /// Waits for a turn at which nothing else runs, until the request's deadline.
    ///
    /// # Errors
    /// As [`RunQueue::enter`].
    pub async fn enter_alone(&self, request: TurnRequest<'_>) -> Result<AlonePermit, Refusal> {
        let permit = loop {
            let permit = self.enter(request).await?;
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
        if before_deadline(request.deadline_unix_ms, alone)
            .await
            .is_none()
        {
            let detail = "no turn without others came before the deadline";
            return Err(Refusal::not_run(RefusalReason::DeadlineExceeded, detail));
        }
        Ok(permit)
    }

    fn refuse_unmeetable(&self, request: TurnRequest<'_>, place: Place) -> Result<(), Refusal> {
        let wait_ms = self.expected_wait_ms(self.ahead(request.organisation, place));
        let waiting_max = request.waiting_max;
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

    /// Refuses those whose turn the newest has pushed past their deadline, so that they learn of
    /// it now and not at their deadline. Each that is refused makes room for those behind it.
    fn refuse_overtaken(&self, organisation: &str, newest: Place) {
        if !self.inner.shedding.get() {
            return;
        }
        let now = now_unix_ms();
        let is_behind = |place: &Place, waiter: &Waiter| {
            place.priority_inverted > newest.priority_inverted
                || place.priority_inverted == newest.priority_inverted
                    && (*waiter.organisation != *organisation || *place > newest)
        };
        let mut line = self.line();
        let mut overtaken = Vec::new();
        let mut ahead = 0;
        for (place, waiter) in line.drain(..) {
            let is_late = now + self.expected_wait_ms(ahead) > place.deadline_unix_ms;
            if is_late && is_behind(&place, &waiter) {
                overtaken.push(place);
            } else {
                ahead += 1;
            }
        }
        let mut waiting = self.inner.waiting.borrow_mut();
        for place in overtaken {
            if let Some(waiter) = waiting.remove(&place) {
                waiter.settle(WaitState::Overtaken);
            }
        }
    }

    /// Those who wait, in the order in which turns will be given: the heavier first, then one of
    /// each organisation after the other.
    fn line(&self) -> Vec<(Place, Rc<Waiter>)> {
        let waiting = self.inner.waiting.borrow();
        let mut of_organisation: HashMap<(u32, &str), u64> = HashMap::default();
        let mut line: Vec<_> = waiting
            .iter()
            .map(|(place, waiter)| {
                let turns = of_organisation
                    .entry((place.priority_inverted, &waiter.organisation))
                    .or_default();
                *turns += 1;
                let turn = self.first_turn(&waiter.organisation) + *turns;
                (place.priority_inverted, turn, *place, waiter.clone())
            })
            .collect();
        line.sort_by_key(|(priority_inverted, turn, place, _)| (*priority_inverted, *turn, *place));
        line.into_iter()
            .map(|(_, _, place, waiter)| (place, waiter))
            .collect()
    }

    fn take_turn(&self, organisation: &str) -> RunPermit {
        self.count_turn(organisation);
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
            let Some(place) = self.next() else {
                return;
            };
            let Some(waiter) = self.inner.waiting.borrow_mut().remove(&place) else {
                return;
            };
            self.count_turn(&waiter.organisation);
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
