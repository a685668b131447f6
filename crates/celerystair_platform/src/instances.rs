//! The platform's list of instances. It lags behind the actual state and may be unreachable;
//! `docs/STORE.md` has a table of what may be concluded from each state.

use std::{cell::RefCell, rc::Rc};

use celerystair_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    raw_json::{split_array, split_object, string_bytes},
    shared::{SharedItem, SharedItems},
    store::Store,
};

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The platform is about to reclaim the instance.
    Leaving,
}

/// An entry of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// One incarnation of an instance.
    pub instance: InstanceId,
    /// Its state.
    pub state: InstanceState,
}

/// The platform's list, as one process read it.
#[derive(Clone, Debug, Default)]
pub(crate) struct InstanceList {
    /// The entries that can be read.
    pub entries: Vec<InstanceEntry>,
    /// The instances of entries whose state can't be read.
    pub unread: Vec<InstanceId>,
    /// Whether there are entries whose instance can't be read either, so that any may be listed.
    pub is_partial: bool,
}

impl InstanceList {
    /// Reads each entry by itself, so that an odd one takes no other with it.
    ///
    /// # Errors
    /// The text is no array.
    pub fn parse(text: &[u8]) -> Result<Self, serde_json::Error> {
        let mut list = Self::default();
        for text in split_array(text)? {
            let instance = || {
                let bytes = string_bytes(split_object(text).member("instance")?)?;
                String::from_utf8(bytes).ok()
            };
            match serde_json::from_slice(text) {
                Ok(entry) => list.entries.push(entry),
                Err(_) => match instance() {
                    Some(instance) => list.unread.push(instance.as_str().into()),
                    None => list.is_partial = true,
                },
            }
        }
        Ok(list)
    }
}

/// Prefix of the keys of instances in [`SharedItems`].
const INSTANCE_KEY_PREFIX: &str = "instances/";
/// A list that was requested this long after a peer's state of an instance arrived is newer than
/// the list that the peer had read, even if the platform's servers lag behind one another.
const OVERRIDE_DELAY_MS: u64 = 10_000;
/// A process whose shared items are stale reads the list at random intervals between this and
/// twice this.
const STALE_READ_INTERVAL_MS: u64 = 5000;

/// States of the instances, from lists that this process has read and from its peers.
///
/// Processes share the state of each instance and never a whole list: two lists could be ordered
/// only by clocks, and an instance that the older list does not have yet would look gone. Each
/// shared state has a version, and the higher version wins.
#[derive(Clone, Default)]
pub struct Instances {
    known: Rc<RefCell<HashMap<InstanceId, KnownInstance>>>,
    /// The instances in the list that this process itself read last.
    listed: Rc<RefCell<HashSet<InstanceId>>>,
    shared: SharedItems,
}

/// What this process knows about one instance.
#[derive(Clone, Copy)]
struct KnownInstance {
    versioned_state: VersionedState,
    /// Whether the state comes from a list that this process read, and not from a peer.
    is_read_here: bool,
    recorded_unix_ms: u64,
}

/// A state and the number of state changes that readers of the list saw before it.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
struct VersionedState {
    transitions: u64,
    state: KnownState,
}

/// State of an instance, in the order of its lifetime: of two states after the same number of
/// transitions, the later one wins.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum KnownState {
    Live,
    Leaving,
    Gone,
}

impl VersionedState {
    /// Encodes the transitions and the state in one number with the same order.
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
    /// Starts a task that reads the list every `interval_ms` until `stop` ends. A process that
    /// relies on its peers reads the list only once, and while the shared items are stale.
    pub fn start(store: &Store, interval_ms: u64, shared: &SharedItems, stop: &Stop) -> Self {
        let instances = Self {
            shared: shared.clone(),
            ..Self::default()
        };
        let receiver = instances.clone();
        shared.set_handler(INSTANCE_KEY_PREFIX, move |item| receiver.apply_item(item));
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
                    // Only a process that reads the platform regularly may report it as fresh. A
                    // single read by any other would keep its peers, and its own mirrors, from
                    // reading the store while the shared items are stale.
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

    /// Applies a list that was requested just now.
    pub fn apply_list(&self, list: &[InstanceEntry]) {
        let list = InstanceList {
            entries: list.to_vec(),
            ..InstanceList::default()
        };
        self.apply_list_requested_at(&list, now_unix_ms());
    }

    /// Applies a list that this process requested from the platform at `requested_unix_ms`.
    ///
    /// A peer's state is overridden only by a list that is certainly newer: one that follows a list
    /// of this process with the same state, or that was requested well after the state arrived.
    fn apply_list_requested_at(&self, list: &InstanceList, requested_unix_ms: u64) {
        let listed: HashMap<&InstanceId, KnownState> = list
            .entries
            .iter()
            .map(|entry| (&entry.instance, KnownState::from(entry.state)))
            .collect();
        let mut absent: Vec<InstanceId> = {
            let known = self.known.borrow();
            let unlisted = known.keys().filter(|instance| {
                !list.is_partial
                    && !listed.contains_key(instance)
                    && !list.unread.contains(instance)
            });
            unlisted.cloned().collect()
        };
        // Sorted, so that the order of recording does not depend on the hasher.
        absent.sort_unstable();
        for entry in &list.entries {
            self.observe(&entry.instance, entry.state.into(), requested_unix_ms);
        }
        for instance in &absent {
            self.observe(instance, KnownState::Gone, requested_unix_ms);
        }
        let mut known_listed = self.listed.borrow_mut();
        if !list.is_partial {
            known_listed.clear();
        }
        known_listed.extend(listed.into_keys().chain(&list.unread).cloned());
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

    /// Applies a peer's state of an instance if its version is higher.
    fn apply_item(&self, item: &SharedItem) {
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

    /// Returns the last known state of the instance; `None` if it is gone or was never listed.
    pub fn state(&self, instance: &str) -> Option<InstanceState> {
        match self.known_state(instance)? {
            KnownState::Live => Some(InstanceState::Live),
            KnownState::Leaving => Some(InstanceState::Leaving),
            KnownState::Gone => None,
        }
    }

    /// Whether the instance was in the list before and no longer is. An instance that was never
    /// listed may be too new for the list and does not count as gone.
    pub fn is_gone(&self, instance: &str) -> bool {
        self.known_state(instance) == Some(KnownState::Gone)
    }

    /// Whether the list that this process read last contains `later` and not `earlier`. States from
    /// peers arrive one by one, so the absence of an instance among them means nothing.
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
