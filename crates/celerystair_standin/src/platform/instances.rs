//! The platform's list of instances, which shows changes only after a delay.

use celerystair_core::{prelude::*, rendezvous::fingerprint};
use celerystair_net::{
    json::{json_response, typed_response},
    prelude::*,
};
use celerystair_platform::prelude::{InstanceEntry, InstanceState};

use super::{Platform, query_value};

/// State of an instance: the list shows `previous` until `visible_from_unix_ms`, then `current`.
/// `None` means that the instance is not listed.
#[derive(Clone)]
pub(super) struct InstanceRecord {
    previous: Option<InstanceState>,
    current: Option<InstanceState>,
    visible_from_unix_ms: u64,
}

impl Platform {
    /// Sets an instance to live, leaving or, with any other state, gone. The list shows the change
    /// after `list_lag_ms`.
    pub(super) fn set_instance(&self, id: &str, parts: &http::request::Parts) -> HttpResponse {
        let state = match query_value(parts, "state") {
            Some("live") => Some(InstanceState::Live),
            Some("leaving") => Some(InstanceState::Leaving),
            _ => None,
        };
        let mut instances = self.instances.borrow_mut();
        let previous = instances.get(id).and_then(|record| record.current);
        let visible_from_unix_ms = now_unix_ms() + self.settings.list_lag_ms;
        instances.insert(
            id.into(),
            InstanceRecord {
                previous,
                current: state,
                visible_from_unix_ms,
            },
        );
        json_response(200, &true)
    }

    /// Returns the list, or status 304 if the caller already has this version by its entity tag.
    pub(super) fn get_instances(&self, parts: &http::request::Parts) -> HttpResponse {
        let list = serde_json::to_vec(&self.instance_list()).unwrap_or_default();
        let tag = format!("\"{:016x}\"", fingerprint(&list));
        let known = parts.headers.get(http::header::IF_NONE_MATCH);
        let mut response = if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
            typed_response(304, "application/json", Vec::new())
        } else {
            typed_response(200, "application/json", list)
        };
        if let Ok(tag) = http::HeaderValue::from_str(&tag) {
            response.headers_mut().insert(http::header::ETAG, tag);
        }
        response
    }

    fn instance_list(&self) -> Vec<InstanceEntry> {
        let now = now_unix_ms();
        let instances = self.instances.borrow();
        let shown = instances.iter().filter_map(|(instance, record)| {
            let state = if now < record.visible_from_unix_ms {
                record.previous
            } else {
                record.current
            };
            state.map(|state| InstanceEntry {
                instance: instance.clone(),
                state,
            })
        });
        shown.collect()
    }
}
