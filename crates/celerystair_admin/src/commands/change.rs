//! Changes of the fleet's configuration, all or none.

use celerystair_config::{
    change::{ChangeRequest, Edit},
    commands::write_changes::WriteError,
    prelude::*,
};
use celerystair_core::prelude::*;
use celerystair_net::{json::read_json, prelude::HttpRequest};
use celerystair_telemetry::{prelude::*, timeline::Event};
use serde::{Deserialize, Serialize};

use crate::{api::Admin, auth::Caller, error::AdminError};

/// A batch of some thousand edits.
pub(crate) const BODY_MAX_BYTES: usize = 1 << 20;
/// How long a change is tried while the store fails or others race.
const WRITE_TIMEOUT_MS: u64 = 10_000;

/// A change as it is asked for; its author is the token's holder.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Chosen by the asker; sent again with the same id, a change takes effect once.
    pub change_id: String,
    /// The revision that the author had read.
    pub based_on: u64,
    /// Why.
    pub reason: String,
    /// The edits; all take effect or none.
    pub edits: Vec<Edit>,
    /// Whether only to say what would become of it, by what is in force here.
    #[serde(default)]
    pub check_only: bool,
}

/// A change that took effect, or would.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChangeReply {
    /// Its id.
    pub change_id: String,
    /// The revision that it made.
    pub revision: u64,
    /// Whether an earlier try of it had taken effect.
    pub already: bool,
}

/// Checks or makes the change in the request's body.
pub async fn change(
    admin: &Admin,
    caller: &Caller,
    request: HttpRequest,
) -> Result<ChangeReply, AdminError> {
    let body: ChangeBody = read_json(request, BODY_MAX_BYTES).await?;
    let change = ChangeRequest {
        change_id: body.change_id,
        based_on: body.based_on,
        author: caller.name.clone(),
        reason: body.reason,
        edits: body.edits,
    };
    if body.check_only {
        return check_only(admin, change);
    }
    make(admin, change).await
}

fn check_only(admin: &Admin, change: ChangeRequest) -> Result<ChangeReply, AdminError> {
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

/// Makes the change, and logs who asked and what came of it.
pub(crate) async fn make(admin: &Admin, change: ChangeRequest) -> Result<ChangeReply, AdminError> {
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
