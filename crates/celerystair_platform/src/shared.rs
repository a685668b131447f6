//! What processes hand on to one another of the platform's objects and of its list of
//! instances, so that only a few of them need ask the platform. See `docs/STORE.md`.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use celerystair_core::{prelude::*, rendezvous::fingerprint};
use event_listener::{Event, EventListener};

/// A process whose news is older than this, and up to as much again by its own draw, asks the
/// platform itself. News comes by a few hops, each of which takes a second at most.
const MIN_STALE_MS: u64 = 10_000;
/// One answer to another process holds no more than this and one item; the rest comes with the
/// next one.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// What two processes' news differ by stays small; beside an item's text this counts for it.
const ITEM_OVERHEAD_BYTES: usize = 32;

/// The latest that is known of one thing. Of two items with one key the higher version holds,
/// whoever tells of them in whatever order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharedItem {
    /// The thing's key in the store, or `instances/` and the instance.
    pub key: String,
    /// Rises with each change of the thing.
    pub version: u64,
    /// The value as JSON; empty if there is none.
    pub value: Rc<[u8]>,
}

/// How far a process has read another's news.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SharedPosition {
    /// The other's life; a number drawn at its start.
    pub incarnation: u64,
    /// Its items up to this one are known.
    pub sequence: u64,
}

/// Puts an item in force where it belongs.
type ItemHandler = Box<dyn Fn(&SharedItem)>;

/// The news of one process: every item in the order in which it came here. Cheap to clone.
#[derive(Clone)]
pub struct SharedItems {
    inner: Rc<Inner>,
}

struct Inner {
    incarnation: u64,
    /// Items by key, each with the sequence at which it came.
    items: RefCell<HashMap<String, (u64, SharedItem)>>,
    sequence: Cell<u64>,
    /// Of keys and versions alone, whatever the order they came in.
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
    /// Sets who says whether this process follows the platform itself; until then it does.
    pub fn set_reads_platform(&self, reads_platform: impl Fn() -> bool + 'static) {
        *self.inner.reads_platform.borrow_mut() = Some(Box::new(reads_platform));
    }

    /// Whether this process is one of those that follow the platform for the others.
    pub fn reads_platform(&self) -> bool {
        let reads_platform = self.inner.reads_platform.borrow();
        reads_platform
            .as_ref()
            .is_none_or(|reads_platform| reads_platform())
    }

    /// Whether no news has come for so long that this process asks the platform itself.
    pub fn is_stale(&self) -> bool {
        self.age_ms() >= self.inner.stale_after_ms
    }

    /// How long ago the platform answered a process that follows it, as far as is known here.
    pub fn age_ms(&self) -> u64 {
        now_unix_ms().saturating_sub(self.inner.platform_answered_unix_ms.get())
    }

    /// Notes news that is `age_ms` old; 0 if the platform has answered just now.
    pub fn record_freshness(&self, age_ms: u64) {
        let answered_unix_ms = now_unix_ms().saturating_sub(age_ms);
        let answered = &self.inner.platform_answered_unix_ms;
        answered.set(answered.get().max(answered_unix_ms));
    }

    /// Hands items whose keys start with `prefix` to `handler` when they come from others. It
    /// notes them here once they are in force.
    pub fn set_handler(&self, prefix: &str, handler: impl Fn(&SharedItem) + 'static) {
        let mut handlers = self.inner.handlers.borrow_mut();
        handlers.push((prefix.to_owned(), Box::new(handler)));
    }

    /// Notes an item that is in force here, to hand it on, if it is newer.
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

    /// Takes in what another process told. What is newer goes to its handler; an item that none
    /// takes is kept for others.
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

    /// The version at which `key` is known.
    pub fn version(&self, key: &str) -> Option<u64> {
        let items = self.inner.items.borrow();
        items.get(key).map(|(_, item)| item.version)
    }

    /// How far these news go.
    pub fn position(&self) -> SharedPosition {
        SharedPosition {
            incarnation: self.inner.incarnation,
            sequence: self.inner.sequence.get(),
        }
    }

    /// A number that two processes with the same items have in common.
    pub fn digest(&self) -> u64 {
        self.inner.digest.get()
    }

    /// What came after `position`, the oldest first, and the position that it leads to. All of
    /// it if the position is of another incarnation: nothing is known of what was read then.
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

    /// Wakes at the next item that is noted; listen first, then read.
    pub fn listen(&self) -> EventListener {
        self.inner.changed.listen()
    }
}

fn digest(item: &SharedItem) -> u64 {
    fingerprint(item.key.as_bytes()) ^ fingerprint(&item.version.to_le_bytes()).rotate_left(1)
}
