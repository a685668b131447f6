//! The platform's list of instances, which lags.

use celerystair_core::{prelude::*, rendezvous::fingerprint};
use celerystair_net::{
    json::{json_response, typed_response},
    prelude::*,
};
use celerystair_platform::prelude::{InstanceEntry, InstanceState};

use super::{Platform, query};

/// What the list showed before, and what it shows from `shown_unix_ms` on.
#[derive(Clone)]
pub(super) struct InstanceRecord {
    before: Option<InstanceState>,
    now: Option<InstanceState>,
    shown_unix_ms: u64,
}

impl Platform {
    /// Notes that an instance lives, leaves or is gone; the list shows it later.
    pub(super) fn set_instance(&self, id: &str, parts: &http::request::Parts) -> HttpResponse {
        let state = match query(parts, "state") {
            Some("live") => Some(InstanceState::Live),
            Some("leaving") => Some(InstanceState::Leaving),
            _ => None,
        };
        let mut instances = self.instances.borrow_mut();
        let before = instances.get(id).and_then(|record| record.now);
        let shown_unix_ms = now_unix_ms() + self.settings.list_lag_ms;
        instances.insert(
            id.into(),
            InstanceRecord {
                before,
                now: state,
                shown_unix_ms,
            },
        );
        json_response(200, &true)
    }

    /// The list, unless the caller has this very one.
    pub(super) fn answer_instances(&self, parts: &http::request::Parts) -> HttpResponse {
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
            let state = if now < record.shown_unix_ms {
                record.before
            } else {
                record.now
            };
            state.map(|state| InstanceEntry {
                instance: instance.clone(),
                state,
            })
        });
        shown.collect()
    }
}
