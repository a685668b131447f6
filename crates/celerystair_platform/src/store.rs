//! One place for all calls to the object API.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use celerystair_core::{prelude::*, time::before_deadline};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{
    dialect::{StoreDialect, WireCall, get_call, native_dialect},
    error::StoreError,
    instances::InstanceEntry,
    pacer::{CallCounts, CallPriority, RateLimiter},
};

/// How the store is reached.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Where the platform's API is, such as `http://10.0.0.1:7000`.
    pub url: String,
    /// How long one call may take.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: u64,
    /// How long a watch waits for a change before it is renewed.
    #[serde(default = "default_watch_timeout_ms")]
    pub watch_timeout_ms: u64,
    /// Calls a second that this process may make, claims and the journal apart.
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

/// The version that a write expects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// The object does not exist yet.
    Absent,
    /// The object is at this version.
    Version(u64),
}

/// An object as the store holds it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Object {
    /// Its key.
    pub key: String,
    /// Its version: the store's revision at its last write.
    pub version: u64,
    /// Its value.
    pub value: Value,
}

impl Object {
    /// The value as a type.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, StoreError> {
        T::deserialize(&self.value).map_err(|error| StoreError::BadObject {
            key: self.key.clone(),
            detail: error.to_string(),
        })
    }
}

/// Objects below a prefix, and the revision of the store at which they were read.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ObjectList {
    /// The store's revision.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<Object>,
}

/// What a watch saw.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WatchReply {
    /// The store's revision up to which the changes are complete.
    pub revision: u64,
    /// Objects written since, at their latest version.
    pub objects: Vec<Object>,
    /// Keys deleted since.
    pub deleted: Vec<String>,
    /// The store no longer knows what happened since; read the prefix anew.
    #[serde(default)]
    pub too_old: bool,
}

/// What the store answers to a write.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct WriteReply {
    /// The object's version, after the write or, on a conflict, as it stands.
    pub version: u64,
}

/// Client of the object API; cheap to clone, one for each thread.
#[derive(Clone)]
pub struct Store {
    inner: Rc<Inner>,
}

struct Inner {
    client: cyper::Client,
    settings: StoreSettings,
    dialect: StoreDialect,
    rate_limiter: RateLimiter,
    availability: Cell<StoreAvailability>,
    /// The list of instances as last read, with its tag: a list that has not changed is not
    /// sent again.
    instances: RefCell<(String, Rc<Vec<InstanceEntry>>)>,
}

/// Whether the store answers this process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreAvailability {
    /// Since when calls have failed; 0 while they succeed.
    pub failing_since_unix_ms: u64,
    /// When the store last answered again after failures; 0 if never.
    pub recovered_unix_ms: u64,
    /// When the failures before that began.
    pub last_outage_start_unix_ms: u64,
}

/// A call to the object API.
struct StoreCall<'a> {
    wire: WireCall,
    /// The tag of what is known already; empty if nothing is.
    known_etag: &'a str,
    priority: CallPriority,
    deadline_unix_ms: u64,
}

/// The response to a call.
struct StoreResponse {
    status: u16,
    /// The tag of the body, if the platform gives one.
    etag: String,
    body: Vec<u8>,
}

impl Store {
    /// A client; nothing is called yet.
    pub fn new(settings: StoreSettings) -> Result<Self, StoreError> {
        Self::with_dialect(settings, native_dialect())
    }

    /// A client of an object API that writes and reads as `dialect` says.
    pub fn with_dialect(
        settings: StoreSettings,
        dialect: StoreDialect,
    ) -> Result<Self, StoreError> {
        let client = cyper::Client::new().map_err(|error| failed(&error))?;
        Ok(Self {
            inner: Rc::new(Inner {
                client,
                dialect,
                availability: Cell::default(),
                rate_limiter: RateLimiter::new(settings.calls_per_second),
                instances: RefCell::default(),
                settings,
            }),
        })
    }

    /// How the store is reached.
    pub fn settings(&self) -> &StoreSettings {
        &self.inner.settings
    }

    /// Calls made so far.
    pub fn calls(&self) -> u64 {
        let counts = self.counts();
        counts.urgent + counts.normal
    }

    /// Calls made so far, by priority, and those that the platform refused for their rate.
    pub fn counts(&self) -> CallCounts {
        self.inner.rate_limiter.counts()
    }

    /// Reads one object.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.get_with_priority(key, CallPriority::Normal).await
    }

    /// Whether the store answers this process.
    pub fn availability(&self) -> StoreAvailability {
        self.inner.availability.get()
    }

    /// Reads one object for somebody at this priority.
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

    /// Reads all objects below `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList, StoreError> {
        let dialect = &self.inner.dialect;
        let mut list = ObjectList::default();
        let mut after: Option<String> = None;
        loop {
            let call = (dialect.list)(prefix, after.as_deref());
            let response = self.call(call, CallPriority::Normal).await?;
            let body = self.success_body(&response)?;
            let page =
                (dialect.read_list)(prefix, body).map_err(|error| bad_object(prefix, &error))?;
            // Later parts may be newer than the first: a watch from the first part's revision
            // sees what has changed in between once more, and misses nothing.
            if after.is_none() {
                list.revision = page.list.revision;
            }
            list.objects.extend(page.list.objects);
            after = page.after;
            if after.is_none() {
                return Ok(list);
            }
        }
    }

    /// Writes `value` if the object is as `expected`; gives its new version.
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

    /// Deletes the object if it is at `version`.
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
        let dialect = &self.inner.dialect;
        let wait_ms = self.inner.settings.watch_timeout_ms;
        let response = self
            .send(StoreCall {
                wire: (dialect.watch)(prefix, revision, wait_ms),
                known_etag: "",
                priority: CallPriority::Normal,
                deadline_unix_ms: now_unix_ms() + wait_ms + self.inner.settings.call_timeout_ms,
            })
            .await?;
        if dialect.compacted_status == Some(response.status) {
            return Ok(WatchReply {
                too_old: true,
                ..WatchReply::default()
            });
        }
        let body = self.success_body(&response)?;
        (dialect.read_watch)(prefix, body).map_err(|error| bad_object(prefix, &error))
    }

    /// Reads the platform's list of instances.
    pub(crate) async fn instance_list(&self) -> Result<Rc<Vec<InstanceEntry>>, StoreError> {
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
        let list: Rc<Vec<InstanceEntry>> = serde_json::from_slice(body)
            .map(Rc::new)
            .map_err(|error| bad_object("instances", &error))?;
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

    /// The body of an response that says "done".
    fn success_body<'a>(&self, response: &'a StoreResponse) -> Result<&'a [u8], StoreError> {
        if (self.inner.dialect.is_success)(response.status) {
            Ok(&response.body)
        } else {
            Err(status_error(response.status, &response.body))
        }
    }

    async fn send(&self, call: StoreCall<'_>) -> Result<StoreResponse, StoreError> {
        let deadline_unix_ms = call.deadline_unix_ms;
        let permit = self
            .inner
            .rate_limiter
            .acquire(call.priority, deadline_unix_ms);
        if !permit.await {
            return Err(StoreError::Failed {
                detail: "this process has called too often; nothing was sent".to_owned(),
            });
        }
        let outcome = before_deadline(deadline_unix_ms, self.send_request(call)).await;
        let is_available =
            matches!(&outcome, Some(Ok(response)) if !is_refused_for_load(response.status));
        self.record_outcome(is_available);
        match outcome {
            Some(Ok(response)) => {
                self.inner.rate_limiter.record_status(response.status);
                Ok(response)
            }
            Some(Err(cyper::Error::HyperClient(error))) if error.is_connect() => {
                Err(failed(&error))
            }
            Some(Err(error)) => Err(StoreError::OutcomeUnknown {
                detail: error.to_string(),
            }),
            None => Err(StoreError::OutcomeUnknown {
                detail: "no response in time".to_owned(),
            }),
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

    async fn send_request(&self, call: StoreCall<'_>) -> Result<StoreResponse, cyper::Error> {
        let url = format!("{}{}", self.inner.settings.url, call.wire.path);
        let mut request = self.inner.client.request(call.wire.method, url)?;
        if !call.known_etag.is_empty() {
            request = request.header(http::header::IF_NONE_MATCH, call.known_etag)?;
        }
        if let Some(body) = call.wire.body {
            request = request.body(body);
        }
        let response = request.send().await?;
        let etag = response.headers().get(http::header::ETAG);
        Ok(StoreResponse {
            status: response.status().as_u16(),
            etag: etag
                .and_then(|tag| tag.to_str().ok())
                .unwrap_or_default()
                .to_owned(),
            body: response.bytes().await?.to_vec(),
        })
    }
}

/// What was asked for has not changed since it was last read.
const STATUS_NOT_MODIFIED: u16 = 304;

fn failed(error: &impl ToString) -> StoreError {
    StoreError::Failed {
        detail: error.to_string(),
    }
}

fn status_error(status: u16, body: &[u8]) -> StoreError {
    let detail = format!("status {status}: {}", String::from_utf8_lossy(body));
    // 429 and 503 are the platform's own words for "not done"; any other is no promise.
    if matches!(status, 400..=499 | 503) {
        StoreError::Failed { detail }
    } else {
        StoreError::OutcomeUnknown { detail }
    }
}

/// Whether the platform serves others and turns this process away.
fn is_refused_for_load(status: u16) -> bool {
    matches!(status, 429 | 503)
}

fn bad_object(key: &str, error: &serde_json::Error) -> StoreError {
    StoreError::BadObject {
        key: key.to_owned(),
        detail: error.to_string(),
    }
}
