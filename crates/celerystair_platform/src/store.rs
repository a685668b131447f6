//! One place for all calls to the object API.

use std::{cell::RefCell, rc::Rc};

use celerystair_core::{prelude::*, time::before_deadline};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{
    error::StoreError,
    instances::InstanceEntry,
    pacer::{CallCounts, CallPriority, Pacer},
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
    pacer: Pacer,
    /// The list of instances as last read, with its tag: a list that has not changed is not
    /// sent again.
    instances: RefCell<(String, Rc<Vec<InstanceEntry>>)>,
}

/// A call to the object API.
struct StoreCall<'a> {
    method: http::Method,
    path: &'a str,
    body: Option<Vec<u8>>,
    /// The tag of what is known already; empty if nothing is.
    known_tag: &'a str,
    priority: CallPriority,
    deadline_unix_ms: u64,
}

/// The answer to a call.
struct StoreAnswer {
    status: u16,
    /// The tag of the body, if the platform gives one.
    tag: String,
    body: Vec<u8>,
}

impl Store {
    /// A client; nothing is called yet.
    pub fn new(settings: StoreSettings) -> Result<Self, StoreError> {
        let client = cyper::Client::new().map_err(|error| failed(&error))?;
        Ok(Self {
            inner: Rc::new(Inner {
                client,
                pacer: Pacer::new(settings.calls_per_second),
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
        self.inner.pacer.counts()
    }

    /// Reads one object.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.get_at(key, CallPriority::Normal).await
    }

    /// Reads one object for somebody at this priority.
    pub async fn get_at(
        &self,
        key: &str,
        priority: CallPriority,
    ) -> Result<Option<Object>, StoreError> {
        let (status, body) = self
            .call(
                http::Method::GET,
                &format!("/objects/{key}"),
                None,
                priority,
            )
            .await?;
        match status {
            404 => Ok(None),
            _ => parse(key, status, &body).map(Some),
        }
    }

    /// Reads all objects below `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<ObjectList, StoreError> {
        let path = format!("/objects?prefix={prefix}");
        let (status, body) = self
            .call(http::Method::GET, &path, None, CallPriority::Normal)
            .await?;
        parse(prefix, status, &body)
    }

    /// Writes `value` if the object is as `expected`; gives its new version.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] and [`StoreError::Failed`]: nothing was written.
    /// [`StoreError::Unknown`]: read the object to see whether the write took effect.
    pub async fn put(
        &self,
        key: &str,
        value: &impl Serialize,
        expected: Expected,
        priority: CallPriority,
    ) -> Result<u64, StoreError> {
        let body = serde_json::to_vec(value).map_err(|error| failed(&error))?;
        let path = match expected {
            Expected::Absent => format!("/objects/{key}?if_version=0"),
            Expected::Version(version) => format!("/objects/{key}?if_version={version}"),
        };
        let (status, body) = self
            .call(http::Method::PUT, &path, Some(body), priority)
            .await?;
        let reply: WriteReply = match status {
            200 | 412 => serde_json::from_slice(&body).map_err(|error| StoreError::Unknown {
                detail: error.to_string(),
            })?,
            _ => return Err(refused(status, &body)),
        };
        if status == 412 {
            return Err(StoreError::Conflict {
                key: key.to_owned(),
                current_version: reply.version,
            });
        }
        Ok(reply.version)
    }

    /// Deletes the object if it is at `version`.
    pub async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        let path = format!("/objects/{key}?if_version={version}");
        let (status, body) = self
            .call(http::Method::DELETE, &path, None, CallPriority::Normal)
            .await?;
        match status {
            200 | 404 => Ok(()),
            412 => Err(StoreError::Conflict {
                key: key.to_owned(),
                current_version: 0,
            }),
            _ => Err(refused(status, &body)),
        }
    }

    /// Waits until something below `prefix` changes after `revision`.
    pub async fn watch(&self, prefix: &str, revision: u64) -> Result<WatchReply, StoreError> {
        let wait_ms = self.inner.settings.watch_timeout_ms;
        let path = format!("/watch?prefix={prefix}&after={revision}&wait_ms={wait_ms}");
        let deadline = now_unix_ms() + wait_ms + self.inner.settings.call_timeout_ms;
        let (status, body) = self
            .call_before(
                http::Method::GET,
                &path,
                None,
                CallPriority::Normal,
                deadline,
            )
            .await?;
        parse(prefix, status, &body)
    }

    /// Reads the platform's list of instances.
    pub(crate) async fn instance_list(&self) -> Result<Rc<Vec<InstanceEntry>>, StoreError> {
        let (known_tag, known) = self.inner.instances.borrow().clone();
        let answer = self
            .send(StoreCall {
                method: http::Method::GET,
                path: "/instances",
                body: None,
                known_tag: &known_tag,
                priority: CallPriority::Normal,
                deadline_unix_ms: now_unix_ms() + self.inner.settings.call_timeout_ms,
            })
            .await?;
        if answer.status == STATUS_NOT_MODIFIED {
            return Ok(known);
        }
        let list: Rc<Vec<InstanceEntry>> =
            Rc::new(parse("instances", answer.status, &answer.body)?);
        *self.inner.instances.borrow_mut() = (answer.tag, list.clone());
        Ok(list)
    }

    async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Option<Vec<u8>>,
        priority: CallPriority,
    ) -> Result<(u16, Vec<u8>), StoreError> {
        let deadline = now_unix_ms() + self.inner.settings.call_timeout_ms;
        self.call_before(method, path, body, priority, deadline)
            .await
    }

    async fn call_before(
        &self,
        method: http::Method,
        path: &str,
        body: Option<Vec<u8>>,
        priority: CallPriority,
        deadline_unix_ms: u64,
    ) -> Result<(u16, Vec<u8>), StoreError> {
        let answer = self
            .send(StoreCall {
                method,
                path,
                body,
                known_tag: "",
                priority,
                deadline_unix_ms,
            })
            .await?;
        Ok((answer.status, answer.body))
    }

    async fn send(&self, call: StoreCall<'_>) -> Result<StoreAnswer, StoreError> {
        let deadline_unix_ms = call.deadline_unix_ms;
        let turn = self.inner.pacer.turn(call.priority, deadline_unix_ms);
        if !turn.await {
            return Err(StoreError::Failed {
                detail: "this process has called too often; nothing was sent".to_owned(),
            });
        }
        match before_deadline(deadline_unix_ms, self.exchange(call)).await {
            Some(Ok(answer)) => {
                self.inner.pacer.note_answer(answer.status);
                Ok(answer)
            }
            Some(Err(cyper::Error::HyperClient(error))) if error.is_connect() => {
                Err(failed(&error))
            }
            Some(Err(error)) => Err(StoreError::Unknown {
                detail: error.to_string(),
            }),
            None => Err(StoreError::Unknown {
                detail: "no answer in time".to_owned(),
            }),
        }
    }

    async fn exchange(&self, call: StoreCall<'_>) -> Result<StoreAnswer, cyper::Error> {
        let url = format!("{}{}", self.inner.settings.url, call.path);
        let mut request = self.inner.client.request(call.method, url)?;
        if !call.known_tag.is_empty() {
            request = request.header(http::header::IF_NONE_MATCH, call.known_tag)?;
        }
        if let Some(body) = call.body {
            request = request.body(body);
        }
        let response = request.send().await?;
        let tag = response.headers().get(http::header::ETAG);
        Ok(StoreAnswer {
            status: response.status().as_u16(),
            tag: tag
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

fn refused(status: u16, body: &[u8]) -> StoreError {
    let detail = format!("status {status}: {}", String::from_utf8_lossy(body));
    // 429 and 503 are the platform's own words for "not done"; any other is no promise.
    if matches!(status, 400..=499 | 503) {
        StoreError::Failed { detail }
    } else {
        StoreError::Unknown { detail }
    }
}

fn parse<T: DeserializeOwned>(key: &str, status: u16, body: &[u8]) -> Result<T, StoreError> {
    if status != 200 {
        return Err(refused(status, body));
    }
    serde_json::from_slice(body).map_err(|error| StoreError::BadObject {
        key: key.to_owned(),
        detail: error.to_string(),
    })
}
