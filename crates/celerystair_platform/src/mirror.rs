//! A prefix of objects, kept current by a watch.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use celerystair_core::prelude::*;
use event_listener::{Event, EventListener};
use serde::de::DeserializeOwned;

use crate::{
    backoff::Backoff,
    error::StoreError,
    store::{Object, Store, WatchReply},
};

/// How long changes gather before a watch is renewed. While changes come without a pause this
/// grows, so that a fleet that starts at once is read in lumps and not object by object.
const GATHER_MIN_MS: u64 = 20;
const GATHER_MAX_MS: u64 = 1000;
/// A watch that has missed a change is found out by reading the prefix anew.
const REREAD_INTERVAL_MS: u64 = 120_000;

/// The objects below one prefix as this process last saw them. In an outage of the store it
/// keeps what it has; an object is never replaced by an earlier version of itself.
pub struct Mirror<T> {
    inner: Rc<Inner<T>>,
}

impl<T> Clone for Mirror<T> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
        }
    }
}

struct Inner<T> {
    prefix: String,
    objects: RefCell<HashMap<String, Entry<T>>>,
    revision: Cell<u64>,
    complete: Cell<bool>,
    changed: Event,
}

struct Entry<T> {
    version: u64,
    value: Rc<T>,
}

impl<T: DeserializeOwned + 'static> Mirror<T> {
    /// Starts to mirror `prefix`; a task keeps it current until `stop` ends.
    pub fn start(store: &Store, prefix: &str, stop: &Stop) -> Self {
        let mirror = Self {
            inner: Rc::new(Inner {
                prefix: prefix.to_owned(),
                objects: RefCell::default(),
                revision: Cell::new(0),
                complete: Cell::new(false),
                changed: Event::new(),
            }),
        };
        let (task, store, stop) = (mirror.clone(), store.clone(), stop.clone());
        compio::runtime::spawn(async move { task.follow(&store, &stop).await }).detach();
        mirror
    }

    /// Whether the prefix was read at least once.
    pub fn is_complete(&self) -> bool {
        self.inner.complete.get()
    }

    /// The value of `name` (the key without the prefix), and its version.
    pub fn get(&self, name: &str) -> Option<(u64, Rc<T>)> {
        let objects = self.inner.objects.borrow();
        objects
            .get(name)
            .map(|entry| (entry.version, entry.value.clone()))
    }

    /// How many objects there are.
    #[expect(clippy::len_without_is_empty, reason = "nobody asks that")]
    pub fn len(&self) -> usize {
        self.inner.objects.borrow().len()
    }

    /// Every name with its value.
    pub fn all(&self) -> Vec<(String, Rc<T>)> {
        let objects = self.inner.objects.borrow();
        objects
            .iter()
            .map(|(name, entry)| (name.clone(), entry.value.clone()))
            .collect()
    }

    /// Wakes at the next change; listen first, then read.
    pub fn listen(&self) -> EventListener {
        self.inner.changed.listen()
    }

    /// Returns once the prefix was read.
    pub async fn completed(&self) {
        while !self.is_complete() {
            let changed = self.listen();
            if !self.is_complete() {
                changed.await;
            }
        }
    }

    /// Takes in an object that was read or written elsewhere, if it is newer.
    pub fn apply(&self, object: &Object) -> Result<(), StoreError> {
        let Some(name) = object.key.strip_prefix(&self.inner.prefix) else {
            return Ok(());
        };
        let value = Rc::new(object.read::<T>()?);
        let mut objects = self.inner.objects.borrow_mut();
        if objects
            .get(name)
            .is_none_or(|entry| entry.version < object.version)
        {
            objects.insert(
                name.to_owned(),
                Entry {
                    version: object.version,
                    value,
                },
            );
            drop(objects);
            self.inner.changed.notify(usize::MAX);
        }
        Ok(())
    }

    async fn follow(&self, store: &Store, stop: &Stop) {
        let mut backoff = Backoff::default();
        let mut gather_ms = GATHER_MIN_MS;
        let mut reread_unix_ms = 0;
        while !stop.is_ended() {
            let began_unix_ms = now_unix_ms();
            let is_due = began_unix_ms >= reread_unix_ms;
            let result = if is_due {
                self.read(store).await
            } else {
                self.watch(store).await
            };
            if is_due && result.is_ok() {
                let interval_ms = REREAD_INTERVAL_MS / 2..=REREAD_INTERVAL_MS;
                reread_unix_ms = began_unix_ms + rand::random_range(interval_ms);
            }
            if result.is_ok() {
                backoff.reset();
                gather_ms = if now_unix_ms() < began_unix_ms + 4 * gather_ms {
                    (gather_ms * 2).min(GATHER_MAX_MS)
                } else {
                    GATHER_MIN_MS
                };
                sleep_ms(rand::random_range(gather_ms / 2..=gather_ms)).await;
            } else {
                backoff.wait().await;
            }
        }
    }

    async fn read(&self, store: &Store) -> Result<(), StoreError> {
        let list = store.list(&self.inner.prefix).await?;
        let deleted: Vec<String> = {
            let objects = self.inner.objects.borrow();
            let listed: HashSet<&str> = list.objects.iter().map(|o| o.key.as_str()).collect();
            objects
                .iter()
                .filter(|(_, entry)| entry.version <= list.revision)
                .map(|(name, _)| format!("{}{name}", self.inner.prefix))
                .filter(|key| !listed.contains(key.as_str()))
                .collect()
        };
        self.take(&WatchReply {
            revision: list.revision,
            objects: list.objects,
            deleted,
            too_old: false,
        });
        self.inner.complete.set(true);
        self.inner.changed.notify(usize::MAX);
        Ok(())
    }

    async fn watch(&self, store: &Store) -> Result<(), StoreError> {
        let reply = store
            .watch(&self.inner.prefix, self.inner.revision.get())
            .await?;
        if reply.too_old {
            return self.read(store).await;
        }
        self.take(&reply);
        Ok(())
    }

    fn take(&self, reply: &WatchReply) {
        for object in &reply.objects {
            // An object that this version can't read keeps its last readable value.
            self.apply(object).ok();
        }
        for key in &reply.deleted {
            let Some(name) = key.strip_prefix(&self.inner.prefix) else {
                continue;
            };
            let mut objects = self.inner.objects.borrow_mut();
            if objects
                .get(name)
                .is_some_and(|entry| entry.version <= reply.revision)
            {
                objects.remove(name);
                drop(objects);
                self.inner.changed.notify(usize::MAX);
            }
        }
        self.inner
            .revision
            .set(self.inner.revision.get().max(reply.revision));
    }
}
