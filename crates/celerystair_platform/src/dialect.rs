//! How calls to an object API are written and its answers read. The project's own API, which the
//! stand-in serves, is one dialect; an adapter to another platform brings another. What the calls
//! mean is the same in all: [`crate::store`].

use serde::Deserialize;
use serde_json::Value;

use crate::store::{Expected, Object, ObjectList, WatchReply, WriteReply};

/// A call as it goes out.
#[derive(Clone, Debug, PartialEq)]
pub struct WireCall {
    /// The method.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// The body, if any.
    pub body: Option<Vec<u8>>,
}

/// A part of a list.
#[derive(Clone, Debug, Default)]
pub struct ListPage {
    /// The objects and the store's revision.
    pub list: ObjectList,
    /// Where the next part begins, if there is one.
    pub after: Option<String>,
}

/// How one object API writes and reads.
#[derive(Clone, Copy, Debug)]
pub struct StoreDialect {
    /// Reads one object.
    pub get: fn(key: &str) -> WireCall,
    /// Reads the objects below a prefix, from a place in the list on.
    pub list: fn(prefix: &str, after: Option<&str>) -> WireCall,
    /// Waits for a change below a prefix after a revision.
    pub watch: fn(prefix: &str, revision: u64, wait_ms: u64) -> WireCall,
    /// Writes an object if it is as expected.
    pub put: fn(key: &str, value: &Value, expected: Expected) -> WireCall,
    /// Deletes an object if it is at a version.
    pub delete: fn(key: &str, version: u64) -> WireCall,
    /// The status of a write whose object is not as expected.
    pub conflict_status: u16,
    /// The status of a watch from a revision that the store has forgotten.
    pub compacted_status: Option<u16>,
    /// Whether a status counts as done.
    pub is_success: fn(status: u16) -> bool,
    /// The object in the answer to a read.
    pub read_object: fn(key: &str, body: &[u8]) -> Result<Object, serde_json::Error>,
    /// The part of a list in an answer.
    pub read_list: fn(prefix: &str, body: &[u8]) -> Result<ListPage, serde_json::Error>,
    /// The changes in the answer to a watch.
    pub read_watch: fn(prefix: &str, body: &[u8]) -> Result<WatchReply, serde_json::Error>,
    /// The object's version in the answer to a write, or to one that conflicts.
    pub read_version: fn(body: &[u8]) -> Result<u64, serde_json::Error>,
}

/// The project's own object API.
pub fn native_dialect() -> StoreDialect {
    StoreDialect {
        get: |key| get_call(format!("/objects/{key}")),
        list: |prefix, _| get_call(format!("/objects?prefix={prefix}")),
        watch: |prefix, revision, wait_ms| {
            get_call(format!(
                "/watch?prefix={prefix}&after={revision}&wait_ms={wait_ms}"
            ))
        },
        put: |key, value, expected| {
            let version = match expected {
                Expected::Absent => 0,
                Expected::Version(version) => version,
            };
            WireCall {
                method: http::Method::PUT,
                path: format!("/objects/{key}?if_version={version}"),
                body: Some(value.to_string().into_bytes()),
            }
        },
        delete: |key, version| WireCall {
            method: http::Method::DELETE,
            path: format!("/objects/{key}?if_version={version}"),
            body: None,
        },
        conflict_status: 412,
        compacted_status: None,
        is_success: |status| status == 200,
        read_object: |_, body| serde_json::from_slice(body),
        read_list: |_, body| {
            Ok(ListPage {
                list: serde_json::from_slice(body)?,
                after: None,
            })
        },
        read_watch: |_, body| serde_json::from_slice(body),
        read_version: |body| {
            Ok(WriteReply::deserialize(&serde_json::from_slice::<Value>(body)?)?.version)
        },
    }
}

/// A call that reads.
pub fn get_call(path: String) -> WireCall {
    WireCall {
        method: http::Method::GET,
        path,
        body: None,
    }
}
