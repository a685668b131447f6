//! How calls to an object API are encoded and its responses decoded. The project's own API, which
//! the stand-in platform serves, is one dialect; an adapter to another platform defines another.
//! All dialects have the semantics that [`crate::store`] describes.

use serde_json::Value;

use crate::{
    raw_json::{RawObject, split_list, split_object, string_bytes},
    store::{Expected, Object, ObjectList, WatchReply, WriteReply},
};

/// An HTTP request to the object API.
#[derive(Clone, Debug, PartialEq)]
pub struct WireCall {
    /// HTTP method.
    pub method: http::Method,
    /// Path and query, relative to [`StoreSettings::url`](crate::store::StoreSettings::url).
    pub path: String,
    /// Request body, if any.
    pub body: Option<Vec<u8>>,
}

/// One page of a listing.
#[derive(Clone, Debug, Default)]
pub struct ListPage {
    /// The objects of the page and the revision of the store.
    pub list: ObjectList,
    /// Cursor of the next page; `None` on the last page.
    pub after: Option<String>,
}

/// Encoders and decoders for the calls of one object API.
#[derive(Clone, Copy, Debug)]
pub struct StoreDialect {
    /// Encodes a read of one object.
    pub get: fn(key: &str) -> WireCall,
    /// Encodes a listing of the objects below a prefix; `after` is the cursor of a later page, as the
    /// page before gave it.
    pub list: fn(prefix: &str, after: Option<&str>) -> WireCall,
    /// Encodes a watch, which waits up to `wait_ms` for a change below a prefix after a revision.
    pub watch: fn(prefix: &str, revision: u64, wait_ms: u64) -> WireCall,
    /// Encodes a conditional write.
    pub put: fn(key: &str, value: &Value, expected: Expected) -> WireCall,
    /// Encodes a deletion that applies only to the given version.
    pub delete: fn(key: &str, version: u64) -> WireCall,
    /// Status of a conditional write whose expectation did not hold.
    pub conflict_status: u16,
    /// Status of a watch from a revision that the store has compacted; `None` if the API reports
    /// this in the body.
    pub compacted_status: Option<u16>,
    /// Header in which the store counts how often it has come back from a copy; `None` if it never does.
    pub era_header: Option<&'static str>,
    /// Whether a status means success.
    pub is_success: fn(status: u16) -> bool,
    /// Decodes the response to a read.
    pub read_object: fn(key: &str, body: &[u8]) -> Result<Object, serde_json::Error>,
    /// Decodes the response to a listing.
    pub read_list: fn(prefix: &str, body: &[u8]) -> Result<ListPage, serde_json::Error>,
    /// Decodes the response to a watch.
    pub read_watch: fn(prefix: &str, body: &[u8]) -> Result<WatchReply, serde_json::Error>,
    /// Decodes the object's version from the response to a write that succeeded or conflicted.
    pub read_version: fn(body: &[u8]) -> Result<u64, serde_json::Error>,
}

/// Returns the dialect of the project's own object API.
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
        era_header: None,
        is_success: |status| status == 200,
        read_object: |_, body| {
            read_native_object(body).ok_or_else(|| serde::de::Error::custom("no key or version"))
        },
        read_list,
        read_watch,
        read_version: |body| Ok(serde_json::from_slice::<WriteReply>(body)?.version),
    }
}

fn read_list(_: &str, body: &[u8]) -> Result<ListPage, serde_json::Error> {
    let list = split_list(body, "objects", |item| read_native_object(item).is_some())?;
    let items = required(list.elements.as_ref(), "objects")?;
    let objects: Vec<Object> = items.iter().filter_map(|i| read_native_object(i)).collect();
    Ok(ListPage {
        list: ObjectList {
            revision: required(list.read("revision")?, "revision")?,
            unnamed: items.len() - objects.len(),
            objects,
            is_partial: false,
        },
        after: None,
    })
}

fn read_watch(_: &str, body: &[u8]) -> Result<WatchReply, serde_json::Error> {
    let reply = split_list(body, "objects", |item| read_native_object(item).is_some())?;
    let items = required(reply.elements.as_ref(), "objects")?;
    let objects: Vec<Object> = items.iter().filter_map(|i| read_native_object(i)).collect();
    Ok(WatchReply {
        revision: required(reply.read("revision")?, "revision")?,
        unnamed: items.len() - objects.len(),
        objects,
        deleted: required(reply.read("deleted")?, "deleted")?,
        too_old: reply.read("too_old")?.unwrap_or_default(),
    })
}

/// Reads an object of the project's own API; `None` if its key or version can't be read.
fn read_native_object(text: &[u8]) -> Option<Object> {
    let object = split_object(text);
    let key = String::from_utf8(string_bytes(object.member("key")?)?).ok()?;
    let version = serde_json::from_slice(object.member("version")?).ok()?;
    Some(with_value(key, version, &object, object.member("value")))
}

/// Why the value of an object that is malformed can't be read.
pub const NOT_JSON: &str = "it is no JSON";

/// The longest value that is read: twice what an object of the platform has at most.
const VALUE_MAX_BYTES: usize = 2 * 1024 * 1024;

/// Creates an object whose value is read from `value`; the value of an object that isn't whole can't be
/// read.
pub fn with_value(
    key: String,
    version: u64,
    object: &RawObject<'_>,
    value: Option<&[u8]>,
) -> Object {
    let fault = match value {
        _ if !object.is_whole => Some(NOT_JSON.to_owned()),
        Some(value) if value.len() > VALUE_MAX_BYTES => {
            Some(format!("it has more than {VALUE_MAX_BYTES} bytes"))
        }
        _ => None,
    };
    match fault {
        Some(fault) => Object {
            key,
            version,
            fault: Some(fault),
            ..Object::default()
        },
        None => Object::from_text(key, version, value.unwrap_or(b"null")),
    }
}

/// Returns the member of a reply.
///
/// # Errors
/// The reply doesn't have it.
pub fn required<T>(member: Option<T>, name: &str) -> Result<T, serde_json::Error> {
    member.ok_or_else(|| serde::de::Error::custom(format!("no {name}")))
}

/// Returns a GET request for `path`.
pub fn get_call(path: String) -> WireCall {
    WireCall {
        method: http::Method::GET,
        path,
        body: None,
    }
}
