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
    shared::{SharedItem, SharedItems},
    store::{Object, Store, WatchReply},
};

/// How long changes gather before a watch is renewed. While changes come without a pause this
/// grows, so that a fleet that starts at once is read in lumps and not object by object.
const MIN_BATCH_DELAY_MS: u64 = 20;
const MAX_BATCH_DELAY_MS: u64 = 1000;
/// A watch that has missed a change is found out by reading the prefix anew.
const REREAD_INTERVAL_MS: u64 = 120_000;
/// The same where others watch, and read the prefix anew, for this process.
const SHARED_REREAD_INTERVAL_MS: u64 = 3_600_000;
/// How often a process to which others tell of changes looks whether it must watch itself.
const SHARED_CHECK_INTERVAL_MS: u64 = 500;
/// A process whose news is stale and that can't reach the platform tries again after this, up
/// to twice as long.
const STALE_RETRY_INTERVAL_MS: u64 = 5000;

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
    is_complete: Cell<bool>,
    has_read_store: Cell<bool>,
    changed: Event,
    shared: Option<SharedItems>,
    decode_value: ValueDecoder<T>,
}

/// Makes an object's value of the object.
type ValueDecoder<T> = Box<dyn Fn(&Object) -> Result<T, StoreError>>;

struct Entry<T> {
    version: u64,
    value: Rc<T>,
}

impl<T: DeserializeOwned + 'static> Mirror<T> {
    /// Starts to mirror `prefix`; a task keeps it current until `stop` ends.
    pub fn start(store: &Store, prefix: &str, stop: &Stop) -> Self {
        Self::start_mirror(store, prefix, None, Box::new(Object::read), stop)
    }

    /// The same for a prefix that processes tell one another of: where others watch for this
    /// process, it reads the prefix at its start and watches only while their news is stale.
    pub fn start_shared(store: &Store, prefix: &str, shared: &SharedItems, stop: &Stop) -> Self {
        let decode_value = Box::new(Object::read);
        let mirror = Self::start_mirror(store, prefix, Some(shared.clone()), decode_value, stop);
        let receiver = mirror.clone();
        shared.set_handler(prefix, move |item| receiver.apply_shared_item(item));
        mirror
    }
}

impl<T: 'static> Mirror<T> {
    /// Starts to mirror a prefix whose values `decode_value` makes, where they are not the
    /// project's own.
    pub fn start_with_decoder(
        store: &Store,
        prefix: &str,
        decode_value: impl Fn(&Object) -> Result<T, StoreError> + 'static,
        stop: &Stop,
    ) -> Self {
        Self::start_mirror(store, prefix, None, Box::new(decode_value), stop)
    }

    fn start_mirror(
        store: &Store,
        prefix: &str,
        shared: Option<SharedItems>,
        decode_value: ValueDecoder<T>,
        stop: &Stop,
    ) -> Self {
        let mirror = Self {
            inner: Rc::new(Inner {
                prefix: prefix.to_owned(),
                objects: RefCell::default(),
                revision: Cell::new(0),
                is_complete: Cell::new(false),
                has_read_store: Cell::new(false),
                changed: Event::new(),
                shared,
                decode_value,
            }),
        };
        let (task, store, stop) = (mirror.clone(), store.clone(), stop.clone());
        compio::runtime::spawn(async move { task.keep_current(&store, &stop).await }).detach();
        mirror
    }

    /// Whether the prefix was read at least once, here or by a process that told all of it.
    pub fn is_complete(&self) -> bool {
        self.inner.is_complete.get()
    }

    /// Whether this process itself has read the prefix from the store.
    pub fn has_read_store(&self) -> bool {
        self.inner.has_read_store.get()
    }

    /// Notes that another process has read the prefix and told all of it.
    pub fn mark_complete(&self) {
        self.inner.is_complete.set(true);
        self.inner.changed.notify(usize::MAX);
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
    pub async fn wait_until_complete(&self) {
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
        let value = Rc::new((self.inner.decode_value)(object)?);
        if self.insert_if_newer(name, object.version, value) {
            self.share(&object.key, object.version, &object.value);
        }
        Ok(())
    }

    /// Puts a value in force if it is newer than what is here, and than what was told of a
    /// deletion.
    fn insert_if_newer(&self, name: &str, version: u64, value: Rc<T>) -> bool {
        let key = format!("{}{name}", self.inner.prefix);
        let shared = self.inner.shared.as_ref();
        let shared_version = shared.and_then(|shared| shared.version(&key));
        let mut objects = self.inner.objects.borrow_mut();
        let known = objects.get(name).map(|entry| entry.version);
        if known
            .max(shared_version)
            .is_some_and(|known| known >= version)
        {
            return false;
        }
        objects.insert(name.to_owned(), Entry { version, value });
        drop(objects);
        self.inner.changed.notify(usize::MAX);
        true
    }

    /// Removes an object that was deleted at `revision` or before.
    fn remove(&self, name: &str, revision: u64) {
        let mut objects = self.inner.objects.borrow_mut();
        let known = objects.get(name).map(|entry| entry.version);
        if known.is_none_or(|version| version > revision) {
            return;
        }
        objects.remove(name);
        drop(objects);
        let key = format!("{}{name}", self.inner.prefix);
        self.share(&key, revision, &serde_json::Value::Null);
        self.inner.changed.notify(usize::MAX);
    }

    /// Hands on what is in force here; a null is a deletion.
    fn share(&self, key: &str, version: u64, value: &serde_json::Value) {
        let Some(shared) = &self.inner.shared else {
            return;
        };
        let value = if value.is_null() {
            Vec::new()
        } else {
            serde_json::to_vec(value).unwrap_or_default()
        };
        shared.record(SharedItem {
            key: key.to_owned(),
            version,
            value: value.into(),
        });
    }

    /// Takes in what another process has told.
    fn apply_shared_item(&self, item: &SharedItem) {
        let Some(name) = item.key.strip_prefix(&self.inner.prefix) else {
            return;
        };
        if item.value.is_empty() {
            self.remove(name, item.version);
        } else if let Ok(value) = serde_json::from_slice(&item.value) {
            let object = Object {
                key: item.key.clone(),
                version: item.version,
                value,
            };
            if let Ok(value) = (self.inner.decode_value)(&object) {
                self.insert_if_newer(name, item.version, Rc::new(value));
            }
        }
        // Also what this version can't read or had no more: others may lack it.
        if let Some(shared) = &self.inner.shared {
            shared.record(item.clone());
        }
    }

    /// Whether this process must ask the platform itself.
    fn should_query_store(&self) -> bool {
        let shared = self.inner.shared.as_ref();
        shared.is_none_or(|shared| shared.reads_platform() || shared.is_stale())
    }

    fn reads_platform(&self) -> bool {
        let shared = self.inner.shared.as_ref();
        shared.is_none_or(SharedItems::reads_platform)
    }

    async fn keep_current(&self, store: &Store, stop: &Stop) {
        let mut backoff = Backoff::default();
        let mut batch_delay_ms = MIN_BATCH_DELAY_MS;
        let mut last_read_unix_ms = 0;
        while !stop.is_ended() {
            let started_unix_ms = now_unix_ms();
            let interval_ms = if self.reads_platform() {
                REREAD_INTERVAL_MS
            } else {
                SHARED_REREAD_INTERVAL_MS
            };
            let is_due = !self.is_complete() || started_unix_ms >= last_read_unix_ms + interval_ms;
            if !is_due && !self.should_query_store() {
                sleep_ms(rand::random_range(
                    SHARED_CHECK_INTERVAL_MS / 2..=SHARED_CHECK_INTERVAL_MS,
                ))
                .await;
                continue;
            }
            let result = if is_due {
                self.reread(store).await
            } else {
                self.watch(store).await
            };
            if is_due && result.is_ok() {
                // Processes that started together don't read anew together.
                last_read_unix_ms = started_unix_ms - rand::random_range(0..=interval_ms / 2);
            }
            if result.is_ok() {
                backoff.reset();
                batch_delay_ms = if now_unix_ms() < started_unix_ms + 4 * batch_delay_ms {
                    (batch_delay_ms * 2).min(MAX_BATCH_DELAY_MS)
                } else {
                    MIN_BATCH_DELAY_MS
                };
                sleep_ms(rand::random_range(batch_delay_ms / 2..=batch_delay_ms)).await;
            } else if self.is_complete() && !self.reads_platform() {
                sleep_ms(rand::random_range(
                    STALE_RETRY_INTERVAL_MS..2 * STALE_RETRY_INTERVAL_MS,
                ))
                .await;
            } else {
                backoff.wait().await;
            }
        }
    }

    async fn reread(&self, store: &Store) -> Result<(), StoreError> {
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
        self.apply_reply(&WatchReply {
            revision: list.revision,
            objects: list.objects,
            deleted,
            too_old: false,
        });
        self.inner.has_read_store.set(true);
        self.mark_complete();
        Ok(())
    }

    async fn watch(&self, store: &Store) -> Result<(), StoreError> {
        let reply = store
            .watch(&self.inner.prefix, self.inner.revision.get())
            .await?;
        if reply.too_old {
            return self.reread(store).await;
        }
        self.apply_reply(&reply);
        Ok(())
    }

    fn apply_reply(&self, reply: &WatchReply) {
        for object in &reply.objects {
            // An object that this version can't read keeps its last readable value.
            self.apply(object).ok();
        }
        for key in &reply.deleted {
            let Some(name) = key.strip_prefix(&self.inner.prefix) else {
                continue;
            };
            self.remove(name, reply.revision);
        }
        self.inner
            .revision
            .set(self.inner.revision.get().max(reply.revision));
    }
}
