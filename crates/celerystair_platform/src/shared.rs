//! Objects and instance states that processes pass on to one another, so that only a few of them
//! have to read the platform. See `docs/STORE.md`.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use celerystair_core::{prelude::*, rendezvous::fingerprint};
use event_listener::{Event, EventListener};

/// When the platform's last known answer is older than this, items may be stale and a process reads
/// the platform itself. Each process draws its own limit between this and twice this. Items arrive
/// over a few hops, each of which takes at most a second.
const MIN_STALE_MS: u64 = 10_000;
/// Size after which no more items are added to one message; the next message has the rest.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// Size counted for an item in addition to its key and value. Two processes differ by few items, so
/// an estimate is enough.
const ITEM_OVERHEAD_BYTES: usize = 32;

/// The latest known version of an object or of an instance's state. Of two items with the same key
/// the higher version wins, whichever arrives first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharedItem {
    /// Key of the object in the store, or `instances/` followed by the instance.
    pub key: String,
    /// Version of the object or state, which rises with each change.
    pub version: u64,
    /// Value as JSON; empty for a deletion and for an instance, whose state is in the version.
    pub value: Rc<[u8]>,
}

/// Position up to which a process has received another's items.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SharedPosition {
    /// Incarnation of the other process: a random number drawn when it starts.
    pub incarnation: u64,
    /// Sequence number of the last item received.
    pub sequence: u64,
}

/// Applies a received item to the mirror or list that it belongs to.
type ItemHandler = Box<dyn Fn(&SharedItem)>;

/// All items that a process knows, each with the sequence number of its arrival. Cheap to clone.
#[derive(Clone)]
pub struct SharedItems {
    inner: Rc<Inner>,
}

struct Inner {
    incarnation: u64,
    /// Items by key, each with the sequence number at which it arrived.
    items: RefCell<HashMap<String, (u64, SharedItem)>>,
    sequence: Cell<u64>,
    /// Digest of the keys and versions, independent of the order in which they arrived.
    digest: Cell<u64>,
    changed: Event,
    handlers: RefCell<Vec<(String, ItemHandler)>>,
    reads_platform: RefCell<Option<Box<dyn Fn() -> bool>>>,
    platform_answered_unix_ms: Cell<u64>,
    stale_after_ms: u64,
}

impl Default for SharedItems {
    fn default() -> Self {
        Self {
            inner: Rc::new(Inner {
                incarnation: rand::random(),
                items: RefCell::default(),
                sequence: Cell::new(0),
                digest: Cell::new(0),
                changed: Event::new(),
                handlers: RefCell::default(),
                reads_platform: RefCell::default(),
                platform_answered_unix_ms: Cell::new(now_unix_ms()),
                stale_after_ms: rand::random_range(MIN_STALE_MS..2 * MIN_STALE_MS),
            }),
        }
    }
}

impl SharedItems {
    /// Sets the predicate for [`reads_platform`](Self::reads_platform), which is true by default.
    pub fn set_reads_platform(&self, reads_platform: impl Fn() -> bool + 'static) {
        *self.inner.reads_platform.borrow_mut() = Some(Box::new(reads_platform));
    }

    /// Whether this process reads the platform regularly and does not rely on its peers.
    pub fn reads_platform(&self) -> bool {
        let reads_platform = self.inner.reads_platform.borrow();
        reads_platform
            .as_ref()
            .is_none_or(|reads_platform| reads_platform())
    }

    /// Whether the platform's last known answer is so old that this process reads the platform
    /// itself.
    pub fn is_stale(&self) -> bool {
        self.age_ms() >= self.inner.stale_after_ms
    }

    /// Returns how long ago, in milliseconds, the platform last answered a process that reads it
    /// regularly, as far as this process knows.
    pub fn age_ms(&self) -> u64 {
        now_unix_ms().saturating_sub(self.inner.platform_answered_unix_ms.get())
    }

    /// Records that the platform answered `age_ms` ago; 0 means just now.
    pub fn record_freshness(&self, age_ms: u64) {
        let answered_unix_ms = now_unix_ms().saturating_sub(age_ms);
        let answered = &self.inner.platform_answered_unix_ms;
        answered.set(answered.get().max(answered_unix_ms));
    }

    /// Registers `handler` for received items whose keys start with `prefix`. The handler applies
    /// an item and then [records](Self::record) it here.
    pub fn set_handler(&self, prefix: &str, handler: impl Fn(&SharedItem) + 'static) {
        let mut handlers = self.inner.handlers.borrow_mut();
        handlers.push((prefix.to_owned(), Box::new(handler)));
    }

    /// Records an item that is in effect in this process, to pass it on, if it is newer.
    pub fn record(&self, item: SharedItem) {
        let mut items = self.inner.items.borrow_mut();
        let known = items.get(&item.key).map(|(_, item)| item);
        if known.is_some_and(|known| known.version >= item.version) {
            return;
        }
        let sequence = self.inner.sequence.get() + 1;
        let previous_digest = known.map_or(0, digest);
        let digest = self.inner.digest.get() ^ previous_digest ^ digest(&item);
        self.inner.digest.set(digest);
        self.inner.sequence.set(sequence);
        items.insert(item.key.clone(), (sequence, item));
        drop(items);
        self.inner.changed.notify(usize::MAX);
    }

    /// Merges items from a peer. Newer items go to the handler of their prefix; an item without a
    /// handler is only recorded, to be passed on.
    pub fn merge(&self, items: impl IntoIterator<Item = SharedItem>) {
        for item in items {
            let known = self.version(&item.key);
            if known.is_some_and(|known| known >= item.version) {
                continue;
            }
            let handlers = self.inner.handlers.borrow();
            let handler = handlers
                .iter()
                .find(|(prefix, _)| item.key.starts_with(prefix));
            match handler {
                Some((_, handler)) => handler(&item),
                None => self.record(item),
            }
        }
    }

    /// Returns the known version of `key`.
    pub fn version(&self, key: &str) -> Option<u64> {
        let items = self.inner.items.borrow();
        items.get(key).map(|(_, item)| item.version)
    }

    /// Returns the position of the latest item.
    pub fn position(&self) -> SharedPosition {
        SharedPosition {
            incarnation: self.inner.incarnation,
            sequence: self.inner.sequence.get(),
        }
    }

    /// Returns a digest that is equal in processes with the same items.
    pub fn digest(&self) -> u64 {
        self.inner.digest.get()
    }

    /// Returns the items that arrived after `position`, oldest first, and the position that they
    /// lead to. Starts from the first item if the position is of another incarnation, whose
    /// sequence numbers have no meaning here.
    pub fn items_after(&self, position: SharedPosition) -> (Vec<SharedItem>, SharedPosition) {
        let current = self.position();
        let after = if position.incarnation == current.incarnation {
            position.sequence
        } else {
            0
        };
        if after >= current.sequence {
            return (Vec::new(), current);
        }
        let items = self.inner.items.borrow();
        let mut newer: Vec<&(u64, SharedItem)> = items
            .values()
            .filter(|(sequence, _)| *sequence > after)
            .collect();
        newer.sort_unstable_by_key(|(sequence, _)| *sequence);
        let mut bytes = 0;
        let mut reached = current;
        let mut selected = Vec::new();
        for (sequence, item) in newer {
            if bytes >= MAX_REPLY_BYTES {
                reached.sequence = sequence - 1;
                break;
            }
            bytes += ITEM_OVERHEAD_BYTES + item.key.len() + item.value.len();
            selected.push(item.clone());
        }
        (selected, reached)
    }

    /// Returns a listener for the next recorded item. Create it before reading, so that no item
    /// between the two is missed.
    pub fn listen(&self) -> EventListener {
        self.inner.changed.listen()
    }
}

fn digest(item: &SharedItem) -> u64 {
    fingerprint(item.key.as_bytes()) ^ fingerprint(&item.version.to_le_bytes()).rotate_left(1)
}
