//! Requests that wait for a replica of their model. They are woken per model: with hundreds of
//! waiting requests, waking all of them at every gossip message would cost more than serving them.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use celerystair_core::prelude::*;
use event_listener::{Event, EventListener};

/// The waiting requests of one router, by model; cheap to clone.
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

/// Counts a request as waiting until it is dropped.
pub struct WaitGuard {
    queue: Rc<ModelQueue>,
    count: Rc<Cell<usize>>,
    /// Whether no other request was waiting for the model.
    pub is_first: bool,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.queue.waiting.set(self.queue.waiting.get() - 1);
        self.count.set(self.count.get() - 1);
    }
}

impl WaitingRequests {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.count.get()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of waiting requests of each model that has any.
    pub fn by_model(&self) -> Vec<(ModelName, u32)> {
        let models = self.models.borrow();
        let waiting = models.iter().filter(|(_, queue)| queue.waiting.get() > 0);
        waiting
            .map(|(model, queue)| (model.clone(), queue.waiting.get()))
            .collect()
    }

    /// Returns the number of requests that wait for `model`.
    pub fn count(&self, model: &ModelName) -> u32 {
        let models = self.models.borrow();
        models.get(model).map_or(0, |queue| queue.waiting.get())
    }

    /// Counts a request as waiting for `model`, and returns a listener for changes of that model.
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

    /// Wakes the requests that wait for `model`.
    pub fn wake_model(&self, model: &ModelName) {
        if let Some(queue) = self.models.borrow().get(model) {
            queue.changed.notify(usize::MAX);
        }
    }

    /// Wakes all waiting requests.
    pub fn wake_all(&self) {
        for queue in self.models.borrow().values() {
            queue.changed.notify(usize::MAX);
        }
    }
}
