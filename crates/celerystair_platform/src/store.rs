//! Client of the object API of the platform's key-value store. All calls go through [`Store`].

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_net::prelude::*;
use event_listener::{Event, EventListener};
use http::Request;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use slog::{Discard, Logger, info, o, warn};

use crate::{
    dialect::{StoreDialect, WireCall, get_call, native_dialect},
    error::StoreError,
    instances::InstanceList,
    pacer::{CallCounts, CallPriority, RateLimiter},
    value_text::ValueText,
};

/// Address and limits of the client of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Base URL of the platform's API, such as `http://10.0.0.1:7000`.
    pub url: String,
    /// Timeout of one call.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: u64,
    /// How long one watch waits for a change before it is renewed.
    #[serde(default = "default_watch_timeout_ms")]
    pub watch_timeout_ms: u64,
    /// Calls per second that this process may make, not counting claims and journal entries.
    #[serde(default = "default_calls_per_second")]
    pub calls_per_second: u32,
}

fn default_call_timeout_ms() -> u64 {
    1000
}

fn default_calls_per_second() -> u32 {
    200
}

fn default_watch_timeout_ms() -> u64 {
    30_000
}

/// The identity of a state of the store. A store that comes back from an older copy begins a new era, in
/// which it gives out revisions again.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreRevision {
    /// How often the store has come back from a copy; 0 if it doesn't tell.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

/// What was read from the store, and the era that it belongs to.
#[derive(Clone, Debug)]
pub(crate) struct InEra<T> {
    pub(crate) era: u64,
    pub(crate) value: T,
}

/// Condition of a write: the version that the object must have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// The object does not exist yet.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// An object in the store.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Object {
    /// Key of the object.
    pub key: String,
    /// Version of the object: the revision of the store at its last write.
    pub version: u64,
    /// Value of the object, as text.
    pub value: ValueText,
    /// Why the value can't be read; the value is null then.
    #[serde(skip)]
    pub fault: Option<String>,
}

impl Object {
    /// Creates an object with a value.
    ///
    /// # Errors
    /// [`StoreError::BadObject`] if the value has no form in JSON.
    pub fn new(key: String, version: u64, value: &impl Serialize) -> Result<Self, StoreError> {
        match ValueText::from_serialize(value) {
            Ok(value) => Ok(Self {
                key,
                version,
                value,
                fault: None,
            }),
            Err(error) => Err(bad_object(&key, &error)),
        }
    }

    /// Creates an object from the text of its value, which may be one that can't be read.
    pub fn from_text(key: String, version: u64, text: &[u8]) -> Self {
        let (value, fault) = match ValueText::from_bytes(text) {
            Ok(value) => (value, None),
            Err(error) => (ValueText::default(), Some(error.to_string())),
        };
        Self {
            key,
            version,
            value,
            fault,
        }
    }

    /// Makes the value one that can't be read.
    pub fn set_fault(&mut self, fault: &str) {
        self.value = ValueText::default();
        self.fault = Some(fault.to_owned());
    }

    /// Reads the members of the value that `T` wants.
    ///
    /// # Errors
    /// [`StoreError::BadObject`] if the value can't be read, or isn't of this type.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        let bad_object = |detail: String| StoreError::BadObject {
            key: self.key.clone(),
            detail,
        };
        if let Some(fault) = &self.fault {
            return Err(bad_object(fault.clone()));
        }
        // The parser's message may have a string of the value in it.
        self.value
            .read()
            .map_err(|error| bad_object(shortened(&error)))
    }
}

/// The objects below a prefix, and the revision of the store at which they were read.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ObjectList {
    /// Revision of the store.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<Object>,
    /// The number of items in which no object's key could be read.
    #[serde(skip)]
    pub unnamed: usize,
    /// Whether later pages couldn't be asked for, so that objects may be missing.
    #[serde(skip)]
    pub is_partial: bool,
}

/// Result of a watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WatchReply {
    /// Revision of the store up to which the changes are complete.
    pub revision: u64,
    /// Objects written since the revision that was asked for, at their latest version.
    pub objects: Vec<Object>,
    /// Keys deleted since that revision.
    pub deleted: Vec<String>,
    /// Whether the store has compacted that revision, so that the prefix must be read again.
    #[serde(default)]
    pub too_old: bool,
    /// The number of events in which no object's key could be read, or in which others may be hidden.
    #[serde(skip)]
    pub unnamed: usize,
}

/// Response of the store to a write.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct WriteReply {
    /// Version of the object: the new one after a write, the current one after a conflict.
    pub version: u64,
}

/// Client of the object API, for use on one thread. Cheap to clone.
#[derive(Clone)]
pub struct Store {
    inner: Rc<Inner>,
}

struct Inner {
    client: HttpClient,
    settings: StoreSettings,
    dialect: StoreDialect,
    rate_limiter: RateLimiter,
    availability: Cell<StoreAvailability>,
    era_changed: Event,
    /// Whether an answer has named its era.
    is_era_named: Cell<bool>,
    is_bad_era_logged: Cell<bool>,
    /// When a response that is too long may be logged again.
    log_too_long_from_unix_ms: Cell<u64>,
    log: RefCell<Logger>,
    /// The last list of instances with its `ETag`, so that the platform need not send an unchanged
    /// list again.
    instances: RefCell<(String, Rc<InstanceList>)>,
}

/// The current and the last outage of the store, as this process observed them. Calls rejected with
/// 429 or 503 count as failed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreAvailability {
    /// Start of the current outage; 0 while calls succeed.
    pub failing_since_unix_ms: u64,
    /// End of the last outage; 0 if there was none.
    pub recovered_unix_ms: u64,
    /// Start of the last outage that has ended.
    pub last_outage_start_unix_ms: u64,
    /// The highest era that was seen.
    pub era: u64,
    /// When it was first seen that the store has come back from a copy; 0 if it never has.
    pub restored_unix_ms: u64,
}

/// A call to the object API.
struct StoreCall<'a> {
    wire: WireCall,
    /// `ETag` of the representation that the client already has; empty if it has none.
    known_etag: &'a str,
    priority: CallPriority,
    deadline_unix_ms: u64,
}

/// The response to a call.
struct StoreResponse {
    status: u16,
    /// The era that the store names; `None` if it names none that can be read.
    era: Option<u64>,
    /// `ETag` of the body; empty if the platform sent none.
    etag: String,
    body: Bytes,
}

impl Store {
    /// Creates a client of the project's own object API, without sending a call.
    ///
    /// # Errors
    /// [`StoreError::Failed`] if the URL is no HTTP URL.
    pub fn new(settings: StoreSettings) -> Result<Self, StoreError> {
        Self::with_dialect(settings, native_dialect())
    }

    /// Creates a client of an object API whose calls are encoded and decoded by `dialect`.
    ///
    /// # Errors
    /// As [`Self::new`].
    pub fn with_dialect(
        settings: StoreSettings,
        dialect: StoreDialect,
    ) -> Result<Self, StoreError> {
        check_url(&settings.url).map_err(|error| failed(&error))?;
        Ok(Self {
            inner: Rc::new(Inner {
                client: HttpClient::default(),
                dialect,
                availability: Cell::default(),
                era_changed: Event::new(),
                is_era_named: Cell::default(),
                is_bad_era_logged: Cell::default(),
                log_too_long_from_unix_ms: Cell::default(),
                log: RefCell::new(Logger::root(Discard, o!())),
                rate_limiter: RateLimiter::new(settings.calls_per_second),
                instances: RefCell::default(),
                settings,
            }),
        })
    }

    /// Returns the settings of the client.
    pub fn settings(&self) -> &StoreSettings {
        &self.inner.settings
    }

    /// Sets the logger of this client and of the mirrors that use it; without one, nothing is logged.
    pub fn set_log(&self, log: &Logger) {
        *self.inner.log.borrow_mut() = log.clone();
    }

    pub(crate) fn log(&self) -> Logger {
        self.inner.log.borrow().clone()
    }

    /// Returns the number of calls made so far.
    pub fn calls(&self) -> u64 {
        let counts = self.counts();
        counts.urgent + counts.normal
    }

    /// Returns the number of calls made so far by priority, and of those rejected with status 429.
    pub fn counts(&self) -> CallCounts {
        self.inner.rate_limiter.counts()
    }

    /// Reads one object with [`CallPriority::Normal`]; `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.get_with_priority(key, CallPriority::Normal).await
    }

    /// Returns the current and the last outage of the store.
    pub fn availability(&self) -> StoreAvailability {
        self.inner.availability.get()
    }

    /// Returns the highest era of the store that was seen.
    pub fn era(&self) -> u64 {
        self.availability().era
    }

    /// Returns a listener for the next change of the era.
    pub(crate) fn listen_for_era(&self) -> EventListener {
        self.inner.era_changed.listen()
    }

    /// Reads one object; `None` if it does not exist.
    pub async fn get_with_priority(
        &self,
        key: &str,
        priority: CallPriority,
    ) -> Result<Option<Object>, StoreError> {
        let dialect = &self.inner.dialect;
        let response = self.call((dialect.get)(key), priority).await?;
        if response.status == 404 {
            return Ok(None);
        }
        let body = self.success_body(&response)?;
        let object = (dialect.read_object)(key, body).map_err(|error| bad_object(key, &error))?;
        Ok(Some(object))
    }

    /// Reads all objects below `prefix`, page by page. Ends early, and says so, if a page leads no further.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList, StoreError> {
        Ok(self.list_in_era(prefix, CallPriority::Normal).await?.value)
    }

    /// Reads as [`Self::list`], and returns the era of the list.
    ///
    /// # Errors
    /// [`StoreError::Failed`] also if a new era began between two pages.
    pub(crate) async fn list_in_era(
        &self,
        prefix: &str,
        priority: CallPriority,
    ) -> Result<InEra<ObjectList>, StoreError> {
        let dialect = &self.inner.dialect;
        let mut list = ObjectList::default();
        let mut after: Option<String> = None;
        let mut first_era = None;
        let (mut read_bytes, mut kept_bytes) = (0, 0);
        for _ in 0..PAGES_MAX {
            let call = (dialect.list)(prefix, after.as_deref());
            let response = self.call(call, priority).await?;
            let era = self.era();
            if *first_era.get_or_insert(era) != era {
                return Err(failed(&"a new era of the store began between two pages"));
            }
            let body = self.success_body(&response)?;
            read_bytes += body.len();
            kept_bytes += body.len();
            let page =
                (dialect.read_list)(prefix, body).map_err(|error| bad_object(prefix, &error))?;
            // Later pages may be newer than the first. A watch from the first page's revision
            // reports changes made in between again, but misses none.
            if after.is_none() {
                list.revision = page.list.revision;
            }
            list.objects.extend(page.list.objects);
            list.unnamed = list.unnamed.saturating_add(page.list.unnamed);
            list.is_partial |= page.list.is_partial;
            if kept_bytes > LIST_MAX_BYTES {
                kept_bytes -= drop_long_values(&mut list.objects, kept_bytes - LIST_MAX_BYTES);
            }
            if kept_bytes > LIST_MAX_BYTES || read_bytes > LIST_READ_MAX_BYTES {
                let detail =
                    format!("{kept_bytes} of {read_bytes} bytes of the pages of {prefix} are kept");
                self.log_too_long(&detail);
                break;
            }
            if page.after.is_none() {
                info!(self.log(), "objects_listed"; "prefix" => prefix,
                    "objects" => list.objects.len(), "unnamed" => list.unnamed,
                    "bytes" => read_bytes);
                return Ok(InEra { era, value: list });
            }
            if page.after == after {
                break;
            }
            after = page.after;
        }
        list.is_partial = true;
        let era = first_era.unwrap_or_default();
        Ok(InEra { era, value: list })
    }

    /// Writes `value` if the object is as `expected`, and returns the new version.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] and [`StoreError::Failed`]: nothing was written.
    /// [`StoreError::OutcomeUnknown`]: read the object to see whether the write took effect.
    pub async fn put(
        &self,
        key: &str,
        value: &impl Serialize,
        expected: Expected,
        priority: CallPriority,
    ) -> Result<u64, StoreError> {
        let dialect = &self.inner.dialect;
        let value = serde_json::to_value(value).map_err(|error| failed(&error))?;
        let response = self
            .call((dialect.put)(key, &value, expected), priority)
            .await?;
        let is_conflict = response.status == dialect.conflict_status;
        if !is_conflict && !(dialect.is_success)(response.status) {
            return Err(status_error(response.status, &response.body));
        }
        let version =
            (dialect.read_version)(&response.body).map_err(|error| StoreError::OutcomeUnknown {
                detail: error.to_string(),
            })?;
        if is_conflict {
            return Err(StoreError::Conflict {
                key: key.to_owned(),
                current_version: version,
            });
        }
        Ok(version)
    }

    /// Deletes the object if it has the version `version`. Succeeds if it does not exist.
    pub async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        let dialect = &self.inner.dialect;
        let response = self
            .call((dialect.delete)(key, version), CallPriority::Normal)
            .await?;
        if response.status == dialect.conflict_status {
            return Err(StoreError::Conflict {
                key: key.to_owned(),
                current_version: 0,
            });
        }
        if response.status == 404 || (dialect.is_success)(response.status) {
            return Ok(());
        }
        Err(status_error(response.status, &response.body))
    }

    /// Waits until something below `prefix` changes after `revision`.
    pub async fn watch(&self, prefix: &str, revision: u64) -> Result<WatchReply, StoreError> {
        let wait_ms = self.inner.settings.watch_timeout_ms;
        let priority = CallPriority::Normal;
        let reply = self.watch_in_era(prefix, revision, wait_ms, priority);
        Ok(reply.await?.value)
    }

    /// Waits up to `wait_ms` as [`Self::watch`], and returns the era of the reply.
    pub(crate) async fn watch_in_era(
        &self,
        prefix: &str,
        revision: u64,
        wait_ms: u64,
        priority: CallPriority,
    ) -> Result<InEra<WatchReply>, StoreError> {
        let dialect = &self.inner.dialect;
        let response = self
            .try_send(StoreCall {
                wire: (dialect.watch)(prefix, revision, wait_ms),
                known_etag: "",
                priority,
                deadline_unix_ms: now_unix_ms() + wait_ms + self.inner.settings.call_timeout_ms,
            })
            .await;
        let too_old = WatchReply {
            too_old: true,
            ..WatchReply::default()
        };
        let response = match response {
            Ok(response) => response,
            // The same watch would be too long again, whereas lists have pages.
            Err(CallFailure::BodyTooLong(_)) => {
                return Ok(InEra {
                    era: self.era(),
                    value: too_old,
                });
            }
            Err(failure) => return Err(failure.into()),
        };
        let era = self.era();
        let value = if dialect.compacted_status == Some(response.status) {
            too_old
        } else {
            let body = self.success_body(&response)?;
            (dialect.read_watch)(prefix, body).map_err(|error| bad_object(prefix, &error))?
        };
        Ok(InEra { era, value })
    }

    /// Reads the platform's list of instances.
    pub(crate) async fn instance_list(&self) -> Result<Rc<InstanceList>, StoreError> {
        let (known_etag, known) = self.inner.instances.borrow().clone();
        let response = self
            .send(StoreCall {
                wire: get_call("/instances".to_owned()),
                known_etag: &known_etag,
                priority: CallPriority::Normal,
                deadline_unix_ms: now_unix_ms() + self.inner.settings.call_timeout_ms,
            })
            .await?;
        if response.status == STATUS_NOT_MODIFIED {
            return Ok(known);
        }
        let body = self.success_body(&response)?;
        let list = InstanceList::parse(body)
            .map(Rc::new)
            .map_err(|error| bad_object("instances", &error))?;
        let unread = (list.unread.len(), list.is_partial);
        if unread != (known.unread.len(), known.is_partial) {
            warn!(self.log(), "instances_unread"; "named" => unread.0, "unnamed" => unread.1);
        }
        *self.inner.instances.borrow_mut() = (response.etag, list.clone());
        Ok(list)
    }

    async fn call(
        &self,
        wire: WireCall,
        priority: CallPriority,
    ) -> Result<StoreResponse, StoreError> {
        self.send(StoreCall {
            wire,
            known_etag: "",
            priority,
            deadline_unix_ms: now_unix_ms() + self.inner.settings.call_timeout_ms,
        })
        .await
    }

    /// Returns the body of a successful response, and an error for any other.
    fn success_body<'a>(&self, response: &'a StoreResponse) -> Result<&'a [u8], StoreError> {
        if (self.inner.dialect.is_success)(response.status) {
            Ok(&response.body)
        } else {
            Err(status_error(response.status, &response.body))
        }
    }

    async fn send(&self, call: StoreCall<'_>) -> Result<StoreResponse, StoreError> {
        Ok(self.try_send(call).await?)
    }

    async fn try_send(&self, call: StoreCall<'_>) -> Result<StoreResponse, CallFailure> {
        let deadline_unix_ms = call.deadline_unix_ms;
        let permit = self
            .inner
            .rate_limiter
            .acquire(call.priority, deadline_unix_ms);
        if !permit.await {
            let detail = "rate limit reached until after the deadline; nothing was sent";
            return Err(failed(&detail).into());
        }
        let outcome = before_deadline(deadline_unix_ms, self.send_request(call)).await;
        let is_available =
            matches!(&outcome, Some(Ok(response)) if !is_refused_for_load(response.status));
        self.record_outcome(is_available);
        match outcome {
            Some(Ok(response)) => {
                self.inner.rate_limiter.record_status(response.status);
                self.record_era(response.era)?;
                Ok(response)
            }
            Some(Err(error @ ClientError::Unreachable { .. })) => Err(failed(&error).into()),
            Some(Err(error @ ClientError::Interrupted { .. })) => Err(unknown(&error).into()),
            Some(Err(error @ ClientError::TooLong { part, .. })) => {
                self.log_too_long(&error);
                if part == "body" {
                    Err(CallFailure::BodyTooLong(unknown(&error)))
                } else {
                    Err(unknown(&error).into())
                }
            }
            None => Err(unknown(&"no response before the deadline").into()),
        }
    }

    fn record_outcome(&self, is_available: bool) {
        let mut availability = self.inner.availability.get();
        let now = now_unix_ms();
        if !is_available && availability.failing_since_unix_ms == 0 {
            availability.failing_since_unix_ms = now;
        } else if is_available && availability.failing_since_unix_ms != 0 {
            availability.last_outage_start_unix_ms = availability.failing_since_unix_ms;
            availability.recovered_unix_ms = now;
            availability.failing_since_unix_ms = 0;
        }
        self.inner.availability.set(availability);
    }

    /// Records the era that an answer names.
    ///
    /// # Errors
    /// The answer is of an earlier era than another one, so what it tells no longer holds.
    fn record_era(&self, era: Option<u64>) -> Result<(), StoreError> {
        let mut availability = self.inner.availability.get();
        let Some(era) = era else {
            return Ok(());
        };
        let known = availability.era;
        if era == known {
            self.inner.is_era_named.set(true);
            return Ok(());
        }
        if era < known {
            let detail =
                format!("the answer is of era {era} of the store, which is in era {known}");
            warn!(self.log(), "store_answer_of_earlier_era"; "era" => era, "known" => known);
            return Err(StoreError::OutcomeUnknown { detail });
        }
        info!(self.log(), "store_era"; "era" => era, "before" => known);
        let now = now_unix_ms();
        availability.era = era;
        // The first era that is named is no change. A later one ends an outage, seen or not.
        if self.inner.is_era_named.replace(true) {
            availability.restored_unix_ms = now;
            availability.last_outage_start_unix_ms = match availability.last_outage_start_unix_ms {
                0 => now,
                start_unix_ms => start_unix_ms,
            };
            availability.recovered_unix_ms = now;
        }
        self.inner.availability.set(availability);
        self.inner.era_changed.notify(usize::MAX);
        Ok(())
    }

    /// Reads the header that names the store's era.
    fn named_era(&self, headers: &http::HeaderMap) -> Option<u64> {
        let header = self.inner.dialect.era_header?;
        let value = headers.get(header);
        let era = value.and_then(|value| value.to_str().ok()?.trim().parse().ok());
        if era.is_none() && !self.inner.is_bad_era_logged.replace(true) {
            warn!(self.log(), "store_era_unread"; "value" => value.map(|value| format!("{value:?}")));
        }
        era
    }

    async fn send_request(&self, call: StoreCall<'_>) -> Result<StoreResponse, ClientError> {
        let url = format!("{}{}", self.inner.settings.url, call.wire.path);
        let mut request = Request::builder().method(call.wire.method).uri(url);
        if !call.known_etag.is_empty() {
            request = request.header(http::header::IF_NONE_MATCH, call.known_etag);
        }
        let body = call.wire.body.unwrap_or_default();
        let request = request
            .body(body.into())
            .map_err(|error| ClientError::Unreachable {
                detail: error.to_string(),
            })?;
        let fetching = self.inner.client.fetch(request, RESPONSE_MAX_BYTES);
        let response = fetching.await?;
        let etag = response.headers().get(http::header::ETAG);
        Ok(StoreResponse {
            status: response.status().as_u16(),
            era: self.named_era(response.headers()),
            etag: etag
                .and_then(|tag| tag.to_str().ok())
                .unwrap_or_default()
                .to_owned(),
            body: response.into_body(),
        })
    }

    /// Logs that the store sends more than is read, at a bounded rate.
    fn log_too_long(&self, detail: &impl std::fmt::Display) {
        const INTERVAL_MS: u64 = 10_000;
        let now = now_unix_ms();
        let log_from_unix_ms = &self.inner.log_too_long_from_unix_ms;
        if log_from_unix_ms.get() <= now {
            log_from_unix_ms.set(now + INTERVAL_MS);
            warn!(self.log(), "store_response_too_long"; "url" => &self.inner.settings.url,
                "error" => detail.to_string());
        }
    }
}

/// Why a call has no response.
enum CallFailure {
    /// The body has more than [`RESPONSE_MAX_BYTES`]; a write may have taken effect.
    BodyTooLong(StoreError),
    Other(StoreError),
}

impl From<StoreError> for CallFailure {
    fn from(error: StoreError) -> Self {
        Self::Other(error)
    }
}

impl From<CallFailure> for StoreError {
    fn from(failure: CallFailure) -> Self {
        match failure {
            CallFailure::BodyTooLong(error) | CallFailure::Other(error) => error,
        }
    }
}

/// The longest body that is read. A page of the platform has about 1 MB and an object 1 MiB at most; the lists
/// without pages that a process reads at its start have 2 MB together at the size that the project designs
/// for (`docs/CAPACITY.md`).
const RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;
/// The most that is kept of the pages of one list, above any list of the size that the project designs for.
const LIST_MAX_BYTES: usize = 8 * 1024 * 1024;
/// The most that is read of the pages of one list.
const LIST_READ_MAX_BYTES: usize = 64 * 1024 * 1024;
/// A value above this gives way if a list has more than is kept, so that it hides no others.
const LONG_VALUE_BYTES: usize = 64 * 1024;
/// The most pages of one list. The platform's have about 500 objects each, so this is far above any
/// fleet; a store whose pages lead in a circle ends here.
const PAGES_MAX: usize = 1000;

/// The representation still has the `ETag` that the client sent.
const STATUS_NOT_MODIFIED: u16 = 304;

/// Drops the longest values, as if they could not be read, until `surplus_bytes` are free or no long one is
/// left. Returns how much is free.
fn drop_long_values(objects: &mut [Object], surplus_bytes: usize) -> usize {
    let length = |object: &Object| object.value.as_str().len();
    let mut long: Vec<&mut Object> = objects
        .iter_mut()
        .filter(|object| length(object) > LONG_VALUE_BYTES)
        .collect();
    long.sort_unstable_by_key(|object| std::cmp::Reverse(length(object)));
    let mut free_bytes = 0;
    for object in long {
        if free_bytes >= surplus_bytes {
            break;
        }
        free_bytes += length(object);
        object.set_fault("its list has too many long values");
    }
    free_bytes
}

fn failed(error: &impl ToString) -> StoreError {
    StoreError::Failed {
        detail: error.to_string(),
    }
}

fn unknown(error: &impl ToString) -> StoreError {
    StoreError::OutcomeUnknown {
        detail: error.to_string(),
    }
}

fn status_error(status: u16, body: &[u8]) -> StoreError {
    let detail = format!(
        "status {status}: {}",
        shortened(&String::from_utf8_lossy(body))
    );
    // The platform rejects a call with 4xx or 503 only if the call had no effect. Any other status
    // leaves that open.
    if matches!(status, 400..=499 | 503) {
        StoreError::Failed { detail }
    } else {
        StoreError::OutcomeUnknown { detail }
    }
}

/// Whether the platform runs but rejects calls of this process, for their rate or for lack of
/// capacity.
fn is_refused_for_load(status: u16) -> bool {
    matches!(status, 429 | 503)
}

fn bad_object(key: &str, error: &serde_json::Error) -> StoreError {
    StoreError::BadObject {
        key: key.to_owned(),
        detail: error.to_string(),
    }
}

/// Formats what another writer may have named or written at any length, for a log line.
pub fn shortened(text: &impl std::fmt::Display) -> String {
    const LOGGED_CHARS_MAX: usize = 200;
    text.to_string().chars().take(LOGGED_CHARS_MAX).collect()
}
