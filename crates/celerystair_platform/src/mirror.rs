//! A local copy of the objects below a key prefix, kept current by a watch.

use std::{
    cell::{Cell, RefCell},
    pin::pin,
    rc::Rc,
};

use celerystair_core::prelude::*;
use event_listener::{Event, EventListener};
use futures_util::future::{Either, select};
use serde::de::DeserializeOwned;
use slog::{info, warn};

use crate::{
    backoff::Backoff,
    error::StoreError,
    pacer::CallPriority,
    shared::{SharedItem, SharedItems},
    store::{InEra, Object, ObjectList, Store, StoreRevision, WatchReply, shortened},
};

/// Delay before a watch is renewed, in which changes accumulate. It doubles while changes arrive
/// without a pause, so that the start of a whole fleet is read in batches and not object by object.
const MIN_BATCH_DELAY_MS: u64 = 20;
/// How often the whole prefix is read again, to recover changes that a watch has missed.
const REREAD_INTERVAL_MS: u64 = 120_000;
/// The same for a process that relies on its peers, which watch the store and read the prefix again
/// themselves.
const SHARED_REREAD_INTERVAL_MS: u64 = 3_600_000;
/// The wait of a watch that is to return at once: a store may take 0 for its own default.
const SHORTEST_WATCH_MS: u64 = 1;
/// How often a process that relies on its peers checks whether it must watch the store itself.
const SHARED_CHECK_INTERVAL_MS: u64 = 500;
/// A process whose shared items are stale and that can't reach the platform retries after a random
/// time between this and twice this.
const STALE_RETRY_INTERVAL_MS: u64 = 5000;

/// How soon a mirror reads what has changed.
#[derive(Clone, Copy, Debug)]
pub struct MirrorPace {
    /// The priority of its calls.
    pub priority: CallPriority,
    /// The longest delay before a watch is renewed while changes arrive without a pause.
    pub batch_delay_max_ms: u64,
    /// The longest wait between two calls that fail.
    pub failure_wait_max_ms: u64,
}

impl Default for MirrorPace {
    /// Returns the pace for prefixes with many objects.
    fn default() -> Self {
        Self {
            priority: CallPriority::Normal,
            batch_delay_max_ms: 1000,
            failure_wait_max_ms: 2000,
        }
    }
}

/// Local copy of the objects below one key prefix. It keeps its objects during an outage of the
/// store, and never replaces an object by an earlier version.
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
    pace: MirrorPace,
    objects: RefCell<HashMap<String, Entry<T>>>,
    /// Up to where the changes are complete.
    position: Cell<StoreRevision>,
    /// The first position in the store's era, and when it was reached.
    era_start: Cell<(StoreRevision, u64)>,
    is_complete: Cell<bool>,
    has_read_store: Cell<bool>,
    changed: Event,
    shared: Option<SharedItems>,
    decode_value: ValueDecoder<T>,
    /// The logged version of each object that can't be decoded.
    undecodable: RefCell<HashMap<String, StoreRevision>>,
    /// The number of nameless items in the list that was read last.
    unnamed: Cell<usize>,
    /// Whether the list that was read last lacks pages.
    is_partial: Cell<bool>,
}

/// Decodes an object's value.
type ValueDecoder<T> = Box<dyn Fn(&Object) -> Result<T, StoreError>>;

/// Whether a watch from a mirror's position still tells what has changed since.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Position {
    Watchable,
    /// The store has compacted its revision.
    Compacted,
}

struct Entry<T> {
    version: StoreRevision,
    value: Rc<T>,
}

impl<T: DeserializeOwned + 'static> Mirror<T> {
    /// Creates a mirror of `prefix` and starts a task that keeps it current until `stop` ends.
    pub fn start(store: &Store, prefix: &str, stop: &Stop) -> Self {
        let pace = MirrorPace::default();
        Self::start_mirror(store, prefix, None, Box::new(Object::read), pace, stop)
    }

    /// Creates a mirror of a prefix whose changes are shared between processes. A process that
    /// relies on its peers reads the prefix when it starts, and watches the store only while the
    /// shared items are stale.
    pub fn start_shared(store: &Store, prefix: &str, shared: &SharedItems, stop: &Stop) -> Self {
        let decode_value = Box::new(Object::read);
        let shared_items = Some(shared.clone());
        let pace = MirrorPace::default();
        let mirror = Self::start_mirror(store, prefix, shared_items, decode_value, pace, stop);
        let receiver = mirror.clone();
        shared.set_handler(prefix, move |item| receiver.apply_item(item));
        mirror
    }
}

impl<T: 'static> Mirror<T> {
    /// Creates a mirror whose values are decoded by `decode_value`, for objects that are not of the
    /// project's own kinds.
    pub fn start_with_decoder(
        store: &Store,
        prefix: &str,
        decode_value: impl Fn(&Object) -> Result<T, StoreError> + 'static,
        stop: &Stop,
    ) -> Self {
        Self::start_paced(store, prefix, decode_value, MirrorPace::default(), stop)
    }

    /// Creates a mirror as [`Self::start_with_decoder`] that reads changes at its own pace.
    pub fn start_paced(
        store: &Store,
        prefix: &str,
        decode_value: impl Fn(&Object) -> Result<T, StoreError> + 'static,
        pace: MirrorPace,
        stop: &Stop,
    ) -> Self {
        Self::start_mirror(store, prefix, None, Box::new(decode_value), pace, stop)
    }

    fn start_mirror(
        store: &Store,
        prefix: &str,
        shared: Option<SharedItems>,
        decode_value: ValueDecoder<T>,
        pace: MirrorPace,
        stop: &Stop,
    ) -> Self {
        let mirror = Self {
            inner: Rc::new(Inner {
                prefix: prefix.to_owned(),
                pace,
                objects: RefCell::default(),
                position: Cell::default(),
                era_start: Cell::default(),
                is_complete: Cell::new(false),
                has_read_store: Cell::new(false),
                changed: Event::new(),
                shared,
                decode_value,
                undecodable: RefCell::default(),
                unnamed: Cell::new(0),
                is_partial: Cell::new(false),
            }),
        };
        let (task, store, stop) = (mirror.clone(), store.clone(), stop.clone());
        compio::runtime::spawn(async move { task.keep_current(&store, &stop).await }).detach();
        mirror
    }

    /// Whether the prefix was read at least once, by this process or by a peer that sent all of its
    /// objects.
    pub fn is_complete(&self) -> bool {
        self.inner.is_complete.get()
    }

    /// Whether this process itself has read the prefix from the store at least once.
    pub fn has_read_store(&self) -> bool {
        self.inner.has_read_store.get()
    }

    /// Marks the mirror as complete; to be called when a peer has sent all objects of the prefix.
    pub fn mark_complete(&self) {
        self.inner.is_complete.set(true);
        self.inner.changed.notify(usize::MAX);
    }

    /// Returns the version and value of `name`, the key without the prefix.
    pub fn get(&self, name: &str) -> Option<(u64, Rc<T>)> {
        let (version, value) = self.get_in_era(name)?;
        Some((version.revision, value))
    }

    /// Returns as [`Self::get`], with the era of the version.
    pub fn get_in_era(&self, name: &str) -> Option<(StoreRevision, Rc<T>)> {
        let objects = self.inner.objects.borrow();
        objects
            .get(name)
            .map(|entry| (entry.version, entry.value.clone()))
    }

    /// Returns the number of objects.
    #[expect(clippy::len_without_is_empty, reason = "no caller needs is_empty")]
    pub fn len(&self) -> usize {
        self.inner.objects.borrow().len()
    }

    /// Returns all names with their values, in no particular order.
    pub fn all(&self) -> Vec<(String, Rc<T>)> {
        let objects = self.inner.objects.borrow();
        objects
            .iter()
            .map(|(name, entry)| (name.clone(), entry.value.clone()))
            .collect()
    }

    /// Returns all values, in no particular order, each with the time at which the first list of the store's
    /// era was read if it held this version: the copy that the store came back from may be older than what
    /// was known of the object before.
    pub fn all_with_copies(&self) -> Vec<(Rc<T>, Option<u64>)> {
        let objects = self.inner.objects.borrow();
        let (first, read_unix_ms) = self.inner.era_start.get();
        let values = objects.values().map(|entry| {
            let is_in_first = entry.version.era == first.era && entry.version <= first;
            (entry.value.clone(), is_in_first.then_some(read_unix_ms))
        });
        values.collect()
    }

    /// Returns a listener for the next change. Create it before reading, so that no change between
    /// the two is missed.
    pub fn listen(&self) -> EventListener {
        self.inner.changed.listen()
    }

    /// Waits until the mirror [is complete](Self::is_complete).
    pub async fn wait_until_complete(&self) {
        while !self.is_complete() {
            let changed = self.listen();
            if !self.is_complete() {
                changed.await;
            }
        }
    }

    /// Reads what has changed until the call, without waiting for a change. Once it returns, the mirror
    /// holds everything that the store had acknowledged when the call was made.
    ///
    /// # Errors
    /// The store doesn't answer, or its list has a page that can't be asked for.
    pub async fn catch_up(&self, store: &Store) -> Result<(), StoreError> {
        if self.has_read_store() {
            self.watch(store, SHORTEST_WATCH_MS).await?;
        } else {
            self.reread(store, Position::Watchable).await?;
        }
        if self.inner.is_partial.get() {
            let detail = "the list that was read last lacks pages".to_owned();
            return Err(StoreError::Failed { detail });
        }
        Ok(())
    }

    /// Reads the whole prefix, which also shows what a watch has left out.
    ///
    /// # Errors
    /// The store doesn't answer.
    pub async fn read_all_again(&self, store: &Store) -> Result<(), StoreError> {
        self.reread(store, Position::Watchable).await
    }

    /// Applies an object that was read or written outside this mirror, if it is newer.
    pub fn apply(&self, object: &Object) -> Result<(), StoreError> {
        self.apply_in_era(self.inner.position.get().era, object)
    }

    fn apply_in_era(&self, era: u64, object: &Object) -> Result<(), StoreError> {
        let version = StoreRevision {
            era,
            revision: object.version,
        };
        let Some(name) = object.key.strip_prefix(&self.inner.prefix) else {
            return Ok(());
        };
        if !self.is_newer(name, version) {
            return Ok(());
        }
        let value = Rc::new((self.inner.decode_value)(object)?);
        if self.insert_if_newer(name, version, value) {
            self.share(
                &object.key,
                object.version,
                object.value.as_str().as_bytes(),
            );
        }
        Ok(())
    }

    /// Returns whether `version` is newer than the object in the mirror and than any shared version of
    /// it, which may be a deletion.
    fn is_newer(&self, name: &str, version: StoreRevision) -> bool {
        let key = format!("{}{name}", self.inner.prefix);
        let shared = self.inner.shared.as_ref();
        // Only stores without eras have changes that are shared.
        let shared_version = shared.and_then(|shared| shared.version(&key));
        let shared_version = shared_version.map(|revision| StoreRevision { era: 0, revision });
        let objects = self.inner.objects.borrow();
        let known = objects.get(name).map(|entry| entry.version);
        known
            .max(shared_version)
            .is_none_or(|known| known < version)
    }

    /// Stores a value if it [is newer](Self::is_newer). Returns whether it was stored.
    fn insert_if_newer(&self, name: &str, version: StoreRevision, value: Rc<T>) -> bool {
        if !self.is_newer(name, version) {
            return false;
        }
        let mut objects = self.inner.objects.borrow_mut();
        objects.insert(name.to_owned(), Entry { version, value });
        drop(objects);
        self.inner.changed.notify(usize::MAX);
        true
    }

    /// Removes an object that was deleted at or before `revision`.
    fn remove(&self, name: &str, deleted_at: StoreRevision) {
        let mut objects = self.inner.objects.borrow_mut();
        let known = objects.get(name).map(|entry| entry.version);
        if known.is_none_or(|version| version > deleted_at) {
            return;
        }
        objects.remove(name);
        drop(objects);
        let key = format!("{}{name}", self.inner.prefix);
        self.share(&key, deleted_at.revision, b"");
        self.inner.changed.notify(usize::MAX);
    }

    /// Shares an object of this mirror with peers; an empty value is a deletion.
    fn share(&self, key: &str, version: u64, value: &[u8]) {
        let Some(shared) = &self.inner.shared else {
            return;
        };
        shared.record(SharedItem {
            key: key.to_owned(),
            version,
            value: value.into(),
        });
    }

    /// Applies an item that a peer has sent.
    fn apply_item(&self, item: &SharedItem) {
        let Some(name) = item.key.strip_prefix(&self.inner.prefix) else {
            return;
        };
        let version = StoreRevision {
            era: 0,
            revision: item.version,
        };
        if item.value.is_empty() {
            self.remove(name, version);
        } else {
            let object = Object::from_text(item.key.clone(), item.version, &item.value);
            if let Ok(value) = (self.inner.decode_value)(&object) {
                self.insert_if_newer(name, version, Rc::new(value));
            }
        }
        // Items that this version can't decode, and deletions of objects that it did not have, are
        // passed on as well: other peers may lack them.
        if let Some(shared) = &self.inner.shared {
            shared.record(item.clone());
        }
    }

    /// Whether this process must read the store itself.
    fn should_query_store(&self) -> bool {
        let shared = self.inner.shared.as_ref();
        shared.is_none_or(|shared| shared.reads_platform() || shared.is_stale())
    }

    fn reads_platform(&self) -> bool {
        let shared = self.inner.shared.as_ref();
        shared.is_none_or(SharedItems::reads_platform)
    }

    async fn keep_current(&self, store: &Store, stop: &Stop) {
        let pace = self.inner.pace;
        let mut backoff = Backoff::up_to(pace.failure_wait_max_ms);
        let mut batch_delay_ms = MIN_BATCH_DELAY_MS;
        let mut last_read_unix_ms = 0;
        let mut failing_since_unix_ms = None;
        while !stop.is_ended() {
            let started_unix_ms = now_unix_ms();
            let interval_ms = if self.reads_platform() {
                REREAD_INTERVAL_MS
            } else {
                SHARED_REREAD_INTERVAL_MS
            };
            let is_due = !self.is_complete()
                || started_unix_ms >= last_read_unix_ms + interval_ms
                || store.era() != self.inner.position.get().era;
            if !is_due && !self.should_query_store() {
                sleep_ms(rand::random_range(
                    SHARED_CHECK_INTERVAL_MS / 2..=SHARED_CHECK_INTERVAL_MS,
                ))
                .await;
                continue;
            }
            let result = if is_due {
                self.reread(store, Position::Watchable).await
            } else {
                // A watch that waits tells only at its end that the store is in a new era.
                let wait_ms = match failing_since_unix_ms {
                    Some(_) => SHORTEST_WATCH_MS,
                    None => store.settings().watch_timeout_ms,
                };
                self.watch(store, wait_ms).await
            };
            if is_due && result.is_ok() {
                // Jitter, so that processes that started together don't read at the same time.
                last_read_unix_ms = started_unix_ms - rand::random_range(0..=interval_ms / 2);
            }
            self.log_outcome(
                store,
                is_due,
                result.as_ref().err(),
                &mut failing_since_unix_ms,
            );
            if result.is_ok() {
                backoff.reset();
                batch_delay_ms = if now_unix_ms() < started_unix_ms + 4 * batch_delay_ms {
                    (batch_delay_ms * 2).min(pace.batch_delay_max_ms)
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

    /// Logs the first failure of several in a row, and the success after them.
    fn log_outcome(
        &self,
        store: &Store,
        is_list: bool,
        error: Option<&StoreError>,
        failing_since_unix_ms: &mut Option<u64>,
    ) {
        let (prefix, now) = (&self.inner.prefix, now_unix_ms());
        match (error, *failing_since_unix_ms) {
            (Some(error), None) => {
                warn!(store.log(), "objects_not_followed"; "prefix" => prefix,
                    "call" => if is_list { "list" } else { "watch" },
                    "revision" => self.inner.position.get().revision,
                    "era" => self.inner.position.get().era, "error" => shortened(error));
                *failing_since_unix_ms = Some(now);
            }
            (None, Some(since_unix_ms)) => {
                info!(store.log(), "objects_followed_again"; "prefix" => prefix,
                    "revision" => self.inner.position.get().revision,
                    "era" => self.inner.position.get().era,
                    "failing_ms" => now.saturating_sub(since_unix_ms));
                *failing_since_unix_ms = None;
            }
            _ => {}
        }
    }

    /// Logs an object that can't be decoded, once for each version.
    fn log_undecodable(&self, store: &Store, object: &Object, error: &StoreError) {
        let mut undecodable = self.inner.undecodable.borrow_mut();
        let version = StoreRevision {
            era: self.inner.position.get().era,
            revision: object.version,
        };
        let logged = undecodable.insert(object.key.clone(), version);
        if logged != Some(version) {
            warn!(store.log(), "object_unreadable"; "key" => shortened(&object.key),
                "version" => object.version, "error" => shortened(error));
        }
    }

    async fn reread(&self, store: &Store, known_position: Position) -> Result<(), StoreError> {
        let position = self.inner.position.get();
        let InEra { era, value: list } = self.list(store).await?;
        let read_at = StoreRevision {
            era,
            revision: list.revision,
        };
        if self.is_outrun(position, read_at) {
            return Ok(());
        }
        if self.inner.unnamed.replace(list.unnamed) != list.unnamed {
            warn!(store.log(), "objects_unnamed"; "prefix" => &self.inner.prefix,
                "revision" => list.revision, "unnamed" => list.unnamed);
        }
        self.inner.is_partial.set(list.is_partial);
        if list.is_partial {
            warn!(store.log(), "list_partial"; "prefix" => &self.inner.prefix,
                "revision" => list.revision, "objects" => list.objects.len());
        }
        // What a partial list lacks may be on a page that wasn't read.
        let deleted: Vec<String> = if list.is_partial {
            Vec::new()
        } else {
            let objects = self.inner.objects.borrow();
            let listed: HashSet<&str> = list.objects.iter().map(|o| o.key.as_str()).collect();
            objects
                .iter()
                .filter(|(_, entry)| entry.version <= read_at)
                .map(|(name, _)| format!("{}{name}", self.inner.prefix))
                .filter(|key| !listed.contains(key.as_str()))
                .collect()
        };
        let reply = WatchReply {
            revision: list.revision,
            objects: list.objects,
            deleted,
            ..WatchReply::default()
        };
        self.apply_changes(store, era, &reply);
        // What a partial list lacks may have been written after the position: a watch from there tells of it.
        let is_watchable = known_position == Position::Watchable
            && self.inner.has_read_store.get()
            && position.era == era;
        if !list.is_partial || !is_watchable {
            self.advance_position(read_at);
        }
        self.inner.has_read_store.set(true);
        self.mark_complete();
        Ok(())
    }

    async fn list(&self, store: &Store) -> Result<InEra<ObjectList>, StoreError> {
        let Inner { prefix, pace, .. } = &*self.inner;
        store.list_in_era(prefix, pace.priority).await
    }

    async fn watch(&self, store: &Store, wait_ms: u64) -> Result<(), StoreError> {
        let position = self.inner.position.get();
        let new_era = store.listen_for_era();
        if store.era() != position.era {
            return self.reread(store, Position::Watchable).await;
        }
        let Inner { prefix, pace, .. } = &*self.inner;
        let watch = store.watch_in_era(prefix, position.revision, wait_ms, pace.priority);
        let watch = pin!(watch);
        let InEra { era, value: reply } = match select(watch, new_era).await {
            Either::Left((reply, _)) => reply?,
            // Another call has shown a new era, in which this revision is of another state.
            Either::Right(_) => return self.reread(store, Position::Watchable).await,
        };
        if reply.too_old {
            return self.reread(store, Position::Compacted).await;
        }
        if era != position.era {
            return self.reread(store, Position::Watchable).await;
        }
        let read_at = StoreRevision {
            era,
            revision: reply.revision,
        };
        if self.is_outrun(position, read_at) {
            return Ok(());
        }
        self.apply_changes(store, era, &reply);
        // Whichever object such an event is about, the one before it may be in use. Until the list has
        // been read, the revision stays, so that the event comes again.
        if reply.unnamed > 0 {
            self.reread(store, Position::Watchable).await?;
        }
        self.advance_position(read_at);
        Ok(())
    }

    /// Returns whether another call, made since `position`, has read the store later than a reply does that
    /// holds it as of `read_at`. What was deleted between the two would come back by the reply.
    fn is_outrun(&self, position: StoreRevision, read_at: StoreRevision) -> bool {
        let current = self.inner.position.get();
        current > position && current > read_at
    }

    fn apply_changes(&self, store: &Store, era: u64, reply: &WatchReply) {
        for object in &reply.objects {
            // If this version can't decode the object, the last decodable value stays.
            if let Err(error) = self.apply_in_era(era, object) {
                self.log_undecodable(store, object, &error);
            }
        }
        for key in &reply.deleted {
            self.inner.undecodable.borrow_mut().remove(key);
            let Some(name) = key.strip_prefix(&self.inner.prefix) else {
                continue;
            };
            let deleted_at = StoreRevision {
                era,
                revision: reply.revision,
            };
            self.remove(name, deleted_at);
        }
    }

    fn advance_position(&self, position: StoreRevision) {
        let known = self.inner.position.get();
        if position.era > known.era {
            self.inner.era_start.set((position, now_unix_ms()));
        }
        self.inner.position.set(known.max(position));
    }
}
