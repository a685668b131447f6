//! Changes of the fleet's configuration.

use celerystair_config::{
    change::{ChangeRequest, Edit},
    commands::write_changes::WriteError,
    prelude::*,
};
use celerystair_core::prelude::*;
use celerystair_net::{json::read_json, prelude::HttpRequest};
use celerystair_telemetry::{prelude::*, timeline::Event};
use serde::{Deserialize, Serialize};

use crate::{api::AdminState, auth::Operator, error::AdminError};

/// Maximum size of a request's body; enough for some thousand edits.
pub(crate) const BODY_MAX_BYTES: usize = 1 << 20;
/// How long a write is retried while the store fails or other writers conflict with it.
const WRITE_TIMEOUT_MS: u64 = 10_000;

/// The body of a request for a change; the author is the token's holder.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Chosen by the client; a change that is sent again with the same id is applied once.
    pub change_id: String,
    /// The revision that the author had read when making the edits.
    pub based_on: u64,
    /// The author's reason for the change.
    pub reason: String,
    /// The edits; either all are applied or none.
    pub edits: Vec<Edit>,
    /// Whether to check the change against the document in force here without writing it.
    #[serde(default)]
    pub check_only: bool,
}

/// An accepted change, or one that would be accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeReply {
    /// The id from the request.
    pub change_id: String,
    /// The revision that the change produced, or would produce.
    pub revision: u64,
    /// Whether an earlier request with the same id was accepted.
    pub already: bool,
}

/// Writes the change in the request's body, or only checks it if `check_only` is set.
pub async fn make_change(
    admin: &AdminState,
    operator: &Operator,
    request: HttpRequest,
) -> Result<ChangeReply, AdminError> {
    let body: ChangeBody = read_json(request, BODY_MAX_BYTES).await?;
    let change = ChangeRequest {
        change_id: body.change_id,
        based_on: body.based_on,
        author: operator.name.clone(),
        reason: body.reason,
        edits: body.edits,
    };
    if body.check_only {
        return check_change(admin, change);
    }
    write_change(admin, change).await
}

fn check_change(admin: &AdminState, change: ChangeRequest) -> Result<ChangeReply, AdminError> {
    let applied = apply_change(&admin.node.config.current(), &change, now_unix_ms())
        .map_err(WriteError::Refused)?;
    let (revision, already) = match applied {
        Applied::AlreadyAccepted(revision) => (revision, true),
        Applied::NewRevision(document) => (document.revision, false),
    };
    Ok(ChangeReply {
        change_id: change.change_id,
        revision,
        already,
    })
}

/// Writes the change to the store, and logs its author and outcome.
pub(crate) async fn write_change(
    admin: &AdminState,
    change: ChangeRequest,
) -> Result<ChangeReply, AdminError> {
    let node = &admin.node;
    let (change_id, author) = (change.change_id.clone(), change.author.clone());
    let (reason, edits) = (change.reason.clone(), change.edits.len());
    let deadline_unix_ms = now_unix_ms() + WRITE_TIMEOUT_MS;
    match admin.writer.write(change, deadline_unix_ms).await {
        Ok(accepted) => {
            info!(node.log, "configuration changed"; "author" => &author, "reason" => &reason,
                "change" => &change_id, "edits" => edits, "revision" => accepted.revision);
            node.timeline.record(Event {
                kind: "config_changed".to_owned(),
                change: format!("{change_id}: revision {}", accepted.revision),
                detail: format!("{author}: {reason}"),
                ..Event::default()
            });
            Ok(ChangeReply {
                change_id,
                revision: accepted.revision,
                already: accepted.was_already_accepted,
            })
        }
        Err(error) => {
            warn!(node.log, "configuration not changed"; "author" => &author,
                "reason" => &reason, "change" => &change_id, "error" => %error);
            Err(error.into())
        }
    }
}
