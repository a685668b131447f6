//! Requests that wait for a replica of their model. Each wakes for its own model: with hundreds
//! waiting, waking all of them at every piece of news would cost more than serving them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use celerystair_core::prelude::*;
use event_listener::{Event, EventListener};

/// The requests that wait at one router, by model; cheap to clone.
#[derive(Clone, Default)]
pub struct WaitingRequests {
    models: Rc<RefCell<HashMap<ModelName, Rc<ModelQueue>>>>,
    count: Rc<Cell<usize>>,
}

#[derive(Default)]
struct ModelQueue {
    waiting: Cell<u32>,
    changed: Event,
}

/// A request that waits, until this is dropped.
pub struct WaitGuard {
    queue: Rc<ModelQueue>,
    count: Rc<Cell<usize>>,
    /// Whether nobody waited for the model before.
    pub is_first: bool,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.queue.waiting.set(self.queue.waiting.get() - 1);
        self.count.set(self.count.get() - 1);
    }
}

impl WaitingRequests {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.count.get()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many wait for each model.
    pub fn by_model(&self) -> Vec<(ModelName, u32)> {
        let models = self.models.borrow();
        let waiting = models.iter().filter(|(_, queue)| queue.waiting.get() > 0);
        waiting
            .map(|(model, queue)| (model.clone(), queue.waiting.get()))
            .collect()
    }

    /// Counts a request as waiting for `model`, and listens for a change there.
    pub fn register(&self, model: &ModelName) -> (WaitGuard, EventListener) {
        let mut models = self.models.borrow_mut();
        let queue = models.entry(model.clone()).or_default().clone();
        let listener = queue.changed.listen();
        let before = queue.waiting.replace(queue.waiting.get() + 1);
        self.count.set(self.count.get() + 1);
        let waiting = WaitGuard {
            queue,
            count: self.count.clone(),
            is_first: before == 0,
        };
        (waiting, listener)
    }

    /// Wakes who waits for `model`.
    pub fn wake_model(&self, model: &ModelName) {
        if let Some(queue) = self.models.borrow().get(model) {
            queue.changed.notify(usize::MAX);
        }
    }

    /// Wakes everybody.
    pub fn wake_all(&self) {
        for queue in self.models.borrow().values() {
            queue.changed.notify(usize::MAX);
        }
    }
}
