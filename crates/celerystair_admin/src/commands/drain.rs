//! Draining an upstream: an exception that keeps new work from it.

use celerystair_config::{
    change::{ChangeRequest, Edit},
    prelude::*,
};
use celerystair_net::{json::read_json, prelude::HttpRequest};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::change::{BODY_MAX_BYTES, ChangeReply, make};
use crate::{api::Admin, auth::Caller, error::AdminError};

/// Why an upstream is drained, or no longer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainBody {
    /// Why.
    pub reason: String,
    /// Chosen by the asker, so that it can be sent again.
    #[serde(default)]
    pub change_id: Option<String>,
    /// When the drain ends by itself; never if absent.
    #[serde(default)]
    pub until_unix_ms: Option<u64>,
}

const FIELD: &str = "drain";

/// Keeps new work from the upstream.
pub async fn drain(
    admin: &Admin,
    caller: &Caller,
    upstream: &str,
    request: HttpRequest,
) -> Result<ChangeReply, AdminError> {
    let body: DrainBody = read_json(request, BODY_MAX_BYTES).await?;
    if admin.node.agents.get(upstream).is_none() {
        return Err(AdminError::NotFound {
            what: format!("upstream {upstream}"),
        });
    }
    let edit = Edit::SetException {
        scope: scope(upstream),
        field: FIELD.to_owned(),
        value: json!(true),
        from_unix_ms: None,
        until_unix_ms: body.until_unix_ms,
    };
    make(admin, request_of(admin, caller, body, edit)).await
}

/// Lets new work go to the upstream again.
pub async fn undrain(
    admin: &Admin,
    caller: &Caller,
    upstream: &str,
    request: HttpRequest,
) -> Result<ChangeReply, AdminError> {
    let body: DrainBody = read_json(request, BODY_MAX_BYTES).await?;
    let edit = Edit::RemoveException {
        scope: scope(upstream),
        field: FIELD.to_owned(),
    };
    make(admin, request_of(admin, caller, body, edit)).await
}

fn scope(upstream: &str) -> Scope {
    Scope {
        kind: ScopeKind::Upstream,
        name: upstream.to_owned(),
    }
}

fn request_of(admin: &Admin, caller: &Caller, body: DrainBody, edit: Edit) -> ChangeRequest {
    let id = || format!("{}-{:016x}", caller.name, rand::random::<u64>());
    ChangeRequest {
        change_id: body.change_id.unwrap_or_else(id),
        based_on: admin.node.config.revision(),
        author: caller.name.clone(),
        reason: body.reason,
        edits: vec![edit],
    }
}
