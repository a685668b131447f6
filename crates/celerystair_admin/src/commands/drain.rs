//! Draining of an upstream, by an exception that keeps new work from it.

use celerystair_config::{
    change::{ChangeRequest, Edit},
    prelude::*,
};
use celerystair_net::{json::read_json, prelude::HttpRequest};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::change::{BODY_MAX_BYTES, ChangeReply, write_change};
use crate::{api::AdminState, auth::Operator, error::AdminError};

/// The body of a request to start or end a drain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainBody {
    /// The operator's reason.
    pub reason: String,
    /// Chosen by the client, so that the request can be sent again; random if absent.
    #[serde(default)]
    pub change_id: Option<String>,
    /// When the drain ends automatically; never if absent.
    #[serde(default)]
    pub until_unix_ms: Option<u64>,
}

const DRAIN_FIELD: &str = "drain";

/// Starts a drain: routers send the upstream no new work.
pub async fn drain(
    admin: &AdminState,
    operator: &Operator,
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
        scope: upstream_scope(upstream),
        field: DRAIN_FIELD.to_owned(),
        value: json!(true),
        from_unix_ms: None,
        until_unix_ms: body.until_unix_ms,
    };
    write_change(admin, change_request(admin, operator, body, edit)).await
}

/// Ends a drain: routers send the upstream new work again.
pub async fn undrain(
    admin: &AdminState,
    operator: &Operator,
    upstream: &str,
    request: HttpRequest,
) -> Result<ChangeReply, AdminError> {
    let body: DrainBody = read_json(request, BODY_MAX_BYTES).await?;
    let edit = Edit::RemoveException {
        scope: upstream_scope(upstream),
        field: DRAIN_FIELD.to_owned(),
    };
    write_change(admin, change_request(admin, operator, body, edit)).await
}

fn upstream_scope(upstream: &str) -> Scope {
    Scope {
        kind: ScopeKind::Upstream,
        name: upstream.to_owned(),
    }
}

fn change_request(
    admin: &AdminState,
    operator: &Operator,
    body: DrainBody,
    edit: Edit,
) -> ChangeRequest {
    let random_id = || format!("{}-{:016x}", operator.name, rand::random::<u64>());
    ChangeRequest {
        change_id: body.change_id.unwrap_or_else(random_id),
        based_on: admin.node.config.revision(),
        author: operator.name.clone(),
        reason: body.reason,
        edits: vec![edit],
    }
}
