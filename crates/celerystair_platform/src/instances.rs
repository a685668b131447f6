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
const INSTANCE_KEY_PREFIX: &str = "instances/";
/// A list that was asked for this long after another process told of an instance is newer than
/// the list that the other had read, even if the platform's servers lag one another.
const OVERRIDE_DELAY_MS: u64 = 10_000;
/// How often a process whose news is stale reads the list, up to twice as long.
const STALE_READ_INTERVAL_MS: u64 = 5000;

/// What this process knows of the list, by its own reading and from others.
///
/// What is handed on is what a reader has concluded of an instance, and never a list: two lists
/// have no order that does not rest on clocks, and an instance that the older one does not have
/// yet would seem gone. A versioned_state has a version; of two the higher one holds.
#[derive(Clone, Default)]
pub struct Instances {
    known: Rc<RefCell<HashMap<InstanceId, KnownInstance>>>,
    /// What the list had when this process last read it itself.
    listed: Rc<RefCell<HashSet<InstanceId>>>,
    shared: SharedItems,
}

/// What was concluded of one instance.
#[derive(Clone, Copy)]
struct KnownInstance {
    versioned_state: VersionedState,
    /// Whether this process has read it from the list itself.
    is_read_here: bool,
    recorded_unix_ms: u64,
}

/// A state and the number of states that readers have seen before it.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct VersionedState {
    transitions: u64,
    state: KnownState,
}

/// In the order of an instance's life: of two conclusions after as many transitions, the later
/// state holds.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum KnownState {
    Live,
    Leaving,
    Gone,
}

impl VersionedState {
    /// Both in one number of the same order.
    fn version(self) -> u64 {
        self.transitions << 2 | self.state as u64
    }

    fn from_version(version: u64) -> Option<Self> {
        let state = match version & 3 {
            0 => KnownState::Live,
            1 => KnownState::Leaving,
            2 => KnownState::Gone,
            _ => return None,
        };
        let transitions = version >> 2;
        Some(Self { transitions, state })
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
        let receiver = instances.clone();
        shared.set_handler(INSTANCE_KEY_PREFIX, move |item| {
            receiver.apply_shared_item(item)
        });
        let (task, store, stop) = (instances.clone(), store.clone(), stop.clone());
        compio::runtime::spawn(async move { task.poll_list(&store, interval_ms, &stop).await })
            .detach();
        instances
    }

    async fn poll_list(&self, store: &Store, interval_ms: u64, stop: &Stop) {
        let mut has_read_list = false;
        while !stop.is_ended() {
            let reads_platform = self.shared.reads_platform();
            if reads_platform || !has_read_list || self.shared.is_stale() {
                let requested_unix_ms = now_unix_ms();
                if let Ok(list) = store.instance_list().await {
                    has_read_list = true;
                    self.apply_list_requested_at(&list, requested_unix_ms);
                    // The word of one that does not follow the platform would keep others, and
                    // its own mirrors, from following it.
                    if reads_platform {
                        self.shared.record_freshness(0);
                    }
                }
                if !reads_platform {
                    sleep_ms(rand::random_range(
                        STALE_READ_INTERVAL_MS..2 * STALE_READ_INTERVAL_MS,
                    ))
                    .await;
                    continue;
                }
            }
            sleep_ms(interval_ms).await;
        }
    }

    /// Takes in a list that was read just now.
    pub fn apply_list(&self, list: &[InstanceEntry]) {
        self.apply_list_requested_at(list, now_unix_ms());
    }

    /// Takes in a list that this process has asked the platform for at `requested_unix_ms`.
    ///
    /// What another process told is overruled only by a list that is certainly newer: one that
    /// follows a list of this process that agreed, or that was asked for well after it was told.
    fn apply_list_requested_at(&self, list: &[InstanceEntry], requested_unix_ms: u64) {
        let listed: HashMap<&InstanceId, KnownState> = list
            .iter()
            .map(|entry| (&entry.instance, KnownState::from(entry.state)))
            .collect();
        let mut absent: Vec<InstanceId> = {
            let known = self.known.borrow();
            let unlisted = known
                .keys()
                .filter(|instance| !listed.contains_key(instance));
            unlisted.cloned().collect()
        };
        // The order in which they are noted does not depend on the hasher's.
        absent.sort_unstable();
        for entry in list {
            self.observe(&entry.instance, entry.state.into(), requested_unix_ms);
        }
        for instance in &absent {
            self.observe(instance, KnownState::Gone, requested_unix_ms);
        }
        *self.listed.borrow_mut() = listed.into_keys().cloned().collect();
    }

    fn observe(&self, instance: &InstanceId, state: KnownState, requested_unix_ms: u64) {
        let known = self.known.borrow().get(instance).copied();
        let versioned_state = match known {
            Some(known) if known.versioned_state.state == state && known.is_read_here => return,
            Some(known) if known.versioned_state.state == state => known.versioned_state,
            Some(known)
                if known.is_read_here
                    || known.recorded_unix_ms + OVERRIDE_DELAY_MS <= requested_unix_ms =>
            {
                let transitions = known.versioned_state.transitions + 1;
                VersionedState { transitions, state }
            }
            Some(_) => return,
            None => VersionedState {
                transitions: 0,
                state,
            },
        };
        self.set(instance, versioned_state, true);
    }

    /// Takes in what another process has concluded, if it is newer.
    fn apply_shared_item(&self, item: &SharedItem) {
        let instance = item.key.strip_prefix(INSTANCE_KEY_PREFIX);
        let received = instance.zip(VersionedState::from_version(item.version));
        let Some((instance, versioned_state)) = received else {
            return;
        };
        let known = self.known.borrow().get(instance).copied();
        if known.is_none_or(|known| known.versioned_state < versioned_state) {
            self.set(&instance.into(), versioned_state, false);
        }
    }

    fn set(&self, instance: &InstanceId, versioned_state: VersionedState, is_read_here: bool) {
        let known = KnownInstance {
            versioned_state,
            is_read_here,
            recorded_unix_ms: now_unix_ms(),
        };
        self.known.borrow_mut().insert(instance.clone(), known);
        self.shared.record(SharedItem {
            key: format!("{INSTANCE_KEY_PREFIX}{instance}"),
            version: versioned_state.version(),
            value: Rc::default(),
        });
    }

    fn known_state(&self, instance: &str) -> Option<KnownState> {
        let known = self.known.borrow();
        known.get(instance).map(|known| known.versioned_state.state)
    }

    /// The state that the last list gave, if it named the instance.
    pub fn state(&self, instance: &str) -> Option<InstanceState> {
        match self.known_state(instance)? {
            KnownState::Live => Some(InstanceState::Live),
            KnownState::Leaving => Some(InstanceState::Leaving),
            KnownState::Gone => None,
        }
    }

    /// Whether the list has shown the instance before and no longer does. An instance that
    /// was never seen may be too new for the list, and is not gone.
    pub fn is_gone(&self, instance: &str) -> bool {
        self.known_state(instance) == Some(KnownState::Gone)
    }

    /// Whether the list that this process read last has `later` and not `earlier`. What others
    /// tell comes piece by piece, and shows nothing by what it leaves out.
    pub fn is_replaced_by(&self, earlier: &str, later: &str) -> bool {
        let listed = self.listed.borrow();
        listed.contains(later) && !listed.contains(earlier)
    }
}

impl From<InstanceState> for KnownState {
    fn from(state: InstanceState) -> Self {
        match state {
            InstanceState::Live => Self::Live,
            InstanceState::Leaving => Self::Leaving,
        }
    }
}
