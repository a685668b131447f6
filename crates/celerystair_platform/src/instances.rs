//! The platform's list of instances. It lags, and it may be out of reach; what may follow
//! from each state is the table in `docs/STORE.md`.

use std::{cell::RefCell, rc::Rc};

use celerystair_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    shared::{SharedItem, SharedItems},
    store::Store,
};

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

/// Keys of instances in what processes hand on start with this.
const INSTANCES: &str = "instances/";
/// A list that was asked for this long after another process told of an instance is newer than
/// the list that the other had read, even if the platform's servers lag one another.
const OVERRULE_MS: u64 = 10_000;
/// How often a process whose news is stale reads the list, up to twice as long.
const STALE_INTERVAL_MS: u64 = 5000;

/// What this process knows of the list, by its own reading and from others.
///
/// What is handed on is what a reader has concluded of an instance, and never a list: two lists
/// have no order that does not rest on clocks, and an instance that the older one does not have
/// yet would seem gone. A conclusion has a version; of two the higher one holds.
#[derive(Clone, Default)]
pub struct Instances {
    known: Rc<RefCell<HashMap<InstanceId, Known>>>,
    /// What the list had when this process last read it itself.
    listed: Rc<RefCell<HashSet<InstanceId>>>,
    shared: SharedItems,
}

/// What was concluded of one instance.
#[derive(Clone, Copy)]
struct Known {
    conclusion: Conclusion,
    /// Whether this process has read it from the list itself.
    is_read: bool,
    since_unix_ms: u64,
}

/// A state and the number of states that readers have seen before it.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct Conclusion {
    changes: u64,
    state: SeenState,
}

/// In the order of an instance's life: of two conclusions after as many changes, the later
/// state holds.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum SeenState {
    Live,
    Leaving,
    Gone,
}

impl Conclusion {
    /// Both in one number of the same order.
    fn version(self) -> u64 {
        self.changes << 2 | self.state as u64
    }

    fn of_version(version: u64) -> Option<Self> {
        let state = match version & 3 {
            0 => SeenState::Live,
            1 => SeenState::Leaving,
            2 => SeenState::Gone,
            _ => return None,
        };
        let changes = version >> 2;
        Some(Self { changes, state })
    }
}

impl Instances {
    /// Starts to read the list every `interval_ms` until `stop` ends; where others read it for
    /// this process, only once, and while their news is stale.
    pub fn start(store: &Store, interval_ms: u64, shared: &SharedItems, stop: &Stop) -> Self {
        let instances = Self {
            shared: shared.clone(),
            ..Self::default()
        };
        let taking = instances.clone();
        shared.set_handler(INSTANCES, move |item| taking.take_told(item));
        let (task, store, stop) = (instances.clone(), store.clone(), stop.clone());
        compio::runtime::spawn(async move { task.follow(&store, interval_ms, &stop).await })
            .detach();
        instances
    }

    async fn follow(&self, store: &Store, interval_ms: u64, stop: &Stop) {
        let mut is_read = false;
        while !stop.is_ended() {
            let reads_platform = self.shared.reads_platform();
            if reads_platform || !is_read || self.shared.is_stale() {
                let asked_unix_ms = now_unix_ms();
                if let Ok(list) = store.instance_list().await {
                    is_read = true;
                    self.take_read(&list, asked_unix_ms);
                    // The word of one that does not follow the platform would keep others, and
                    // its own mirrors, from following it.
                    if reads_platform {
                        self.shared.record_freshness(0);
                    }
                }
                if !reads_platform {
                    sleep_ms(rand::random_range(STALE_INTERVAL_MS..2 * STALE_INTERVAL_MS)).await;
                    continue;
                }
            }
            sleep_ms(interval_ms).await;
        }
    }

    /// Takes in a list that was read just now.
    pub fn apply_list(&self, list: &[InstanceEntry]) {
        self.take_read(list, now_unix_ms());
    }

    /// Takes in a list that this process has asked the platform for at `asked_unix_ms`.
    ///
    /// What another process told is overruled only by a list that is certainly newer: one that
    /// follows a list of this process that agreed, or that was asked for well after it was told.
    fn take_read(&self, list: &[InstanceEntry], asked_unix_ms: u64) {
        let listed: HashMap<&InstanceId, SeenState> = list
            .iter()
            .map(|entry| (&entry.instance, SeenState::from(entry.state)))
            .collect();
        let mut absent: Vec<InstanceId> = {
            let known = self.known.borrow();
            let names = known.keys().filter(|name| !listed.contains_key(name));
            names.cloned().collect()
        };
        // The order in which they are noted does not depend on the hasher's.
        absent.sort_unstable();
        for entry in list {
            self.conclude(&entry.instance, entry.state.into(), asked_unix_ms);
        }
        for instance in &absent {
            self.conclude(instance, SeenState::Gone, asked_unix_ms);
        }
        *self.listed.borrow_mut() = listed.into_keys().cloned().collect();
    }

    fn conclude(&self, instance: &InstanceId, state: SeenState, asked_unix_ms: u64) {
        let known = self.known.borrow().get(instance).copied();
        let conclusion = match known {
            Some(known) if known.conclusion.state == state && known.is_read => return,
            Some(known) if known.conclusion.state == state => known.conclusion,
            Some(known) if known.is_read || known.since_unix_ms + OVERRULE_MS <= asked_unix_ms => {
                let changes = known.conclusion.changes + 1;
                Conclusion { changes, state }
            }
            Some(_) => return,
            None => Conclusion { changes: 0, state },
        };
        self.set(instance, conclusion, true);
    }

    /// Takes in what another process has concluded, if it is newer.
    fn take_told(&self, item: &SharedItem) {
        let instance = item.key.strip_prefix(INSTANCES);
        let told = instance.zip(Conclusion::of_version(item.version));
        let Some((instance, conclusion)) = told else {
            return;
        };
        let known = self.known.borrow().get(instance).copied();
        if known.is_none_or(|known| known.conclusion < conclusion) {
            self.set(&instance.into(), conclusion, false);
        }
    }

    fn set(&self, instance: &InstanceId, conclusion: Conclusion, is_read: bool) {
        let known = Known {
            conclusion,
            is_read,
            since_unix_ms: now_unix_ms(),
        };
        self.known.borrow_mut().insert(instance.clone(), known);
        self.shared.record(SharedItem {
            key: format!("{INSTANCES}{instance}"),
            version: conclusion.version(),
            value: Rc::default(),
        });
    }

    fn seen(&self, instance: &str) -> Option<SeenState> {
        let known = self.known.borrow();
        known.get(instance).map(|known| known.conclusion.state)
    }

    /// The state that the last list gave, if it named the instance.
    pub fn state(&self, instance: &str) -> Option<InstanceState> {
        match self.seen(instance)? {
            SeenState::Live => Some(InstanceState::Live),
            SeenState::Leaving => Some(InstanceState::Leaving),
            SeenState::Gone => None,
        }
    }

    /// Whether the list has shown the instance before and no longer does. An instance that
    /// was never seen may be too new for the list, and is not gone.
    pub fn is_gone(&self, instance: &str) -> bool {
        self.seen(instance) == Some(SeenState::Gone)
    }

    /// Whether the list that this process read last has `later` and not `earlier`. What others
    /// tell comes piece by piece, and shows nothing by what it leaves out.
    pub fn is_replaced_by(&self, earlier: &str, later: &str) -> bool {
        let listed = self.listed.borrow();
        listed.contains(later) && !listed.contains(earlier)
    }
}

impl From<InstanceState> for SeenState {
    fn from(state: InstanceState) -> Self {
        match state {
            InstanceState::Live => Self::Live,
            InstanceState::Leaving => Self::Leaving,
        }
    }
}
