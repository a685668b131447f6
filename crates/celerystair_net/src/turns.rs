//! Turns for streams that have more to read than one turn's share. A task that only wakes itself runs again
//! before the thread polls for events and timers; a turn is waited for behind that poll, and only a few
//! are given between two polls, however many streams wait.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::{Rc, Weak},
    task::{Context, Poll, Waker},
    time::Duration,
};

/// The most turns between two polls for events and timers.
const TURNS_PER_ROUND: usize = 8;
/// The shortest time between two rounds, for which the thread polls. In real time, as it bounds work.
const ROUND_INTERVAL: Duration = Duration::from_micros(50);

thread_local! {
    static TURNS: Turns = const { Turns::new() };
}

struct Turns {
    waiting: RefCell<VecDeque<Weak<TurnState>>>,
    has_task: Cell<bool>,
}

impl Turns {
    const fn new() -> Self {
        Self {
            waiting: RefCell::new(VecDeque::new()),
            has_task: Cell::new(false),
        }
    }
}

struct TurnState {
    has_come: Cell<bool>,
    waker: RefCell<Waker>,
}

/// A stream's place in the queue for a turn, which it leaves when this is dropped.
pub(crate) struct Turn(Rc<TurnState>);

impl Turn {
    /// Joins the end of this thread's queue. The task of `cx` is woken when the turn has come.
    pub(crate) fn queue(cx: &Context<'_>) -> Self {
        let state = Rc::new(TurnState {
            has_come: Cell::new(false),
            waker: RefCell::new(cx.waker().clone()),
        });
        TURNS.with(|turns| {
            turns.waiting.borrow_mut().push_back(Rc::downgrade(&state));
            if !turns.has_task.replace(true) {
                compio::runtime::spawn(give_turns(TaskGuard)).detach();
            }
        });
        Self(state)
    }

    /// Waits until the turn has come.
    pub(crate) fn poll(&self, cx: &Context<'_>) -> Poll<()> {
        if self.0.has_come.get() {
            return Poll::Ready(());
        }
        self.0.waker.borrow_mut().clone_from(cx.waker());
        Poll::Pending
    }
}

/// Lets another task give turns once this one has ended, also with its runtime.
struct TaskGuard;

impl Drop for TaskGuard {
    fn drop(&mut self) {
        TURNS.with(|turns| turns.has_task.set(false));
    }
}

async fn give_turns(_guard: TaskGuard) {
    loop {
        compio::time::sleep(ROUND_INTERVAL).await;
        for _ in 0..TURNS_PER_ROUND {
            let Some(turn) = next_turn() else { return };
            turn.has_come.set(true);
            turn.waker.borrow().wake_by_ref();
        }
    }
}

/// Returns the next turn whose stream still waits for it.
fn next_turn() -> Option<Rc<TurnState>> {
    TURNS.with(|turns| {
        let mut waiting = turns.waiting.borrow_mut();
        while let Some(turn) = waiting.pop_front() {
            if let Some(turn) = turn.upgrade() {
                return Some(turn);
            }
        }
        None
    })
}
