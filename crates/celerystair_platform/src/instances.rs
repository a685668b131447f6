//! The platform's list of instances. It lags, and it may be out of reach; what may follow
//! from each state is the table in `docs/STORE.md`.

use std::{cell::RefCell, rc::Rc};

use celerystair_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::store::Store;

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It runs.
    Live,
    /// It is about to be reclaimed.
    Leaving,
}

/// A row of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// One life of an instance.
    pub instance: InstanceId,
    /// Its state.
    pub state: InstanceState,
}

/// What this process has seen of the list.
#[derive(Clone, Default)]
pub struct Instances {
    seen: Rc<RefCell<HashMap<InstanceId, Option<InstanceState>>>>,
}

impl Instances {
    /// Starts to read the list every `interval_ms` until `stop` ends.
    pub fn start(store: &Store, interval_ms: u64, stop: &Stop) -> Self {
        let instances = Self::default();
        let (task, store, stop) = (instances.clone(), store.clone(), stop.clone());
        compio::runtime::spawn(async move {
            while !stop.is_ended() {
                if let Ok(list) = store.instance_list().await {
                    task.take(&list);
                }
                sleep_ms(interval_ms).await;
            }
        })
        .detach();
        instances
    }

    /// Takes in a fresh list.
    pub fn take(&self, list: &[InstanceEntry]) {
        let mut seen = self.seen.borrow_mut();
        for state in seen.values_mut() {
            *state = None;
        }
        for entry in list {
            seen.insert(entry.instance.clone(), Some(entry.state));
        }
    }

    /// The state that the last list gave, if it named the instance.
    pub fn state(&self, instance: &str) -> Option<InstanceState> {
        self.seen.borrow().get(instance).copied().flatten()
    }

    /// Whether the list has shown the instance before and no longer does. An instance that
    /// was never seen may be too new for the list, and is not gone.
    pub fn is_gone(&self, instance: &str) -> bool {
        matches!(self.seen.borrow().get(instance), Some(None))
    }
}
