//! The start of the administration API, and which path goes where.

use std::{net::SocketAddr, rc::Rc};

use celerystair_config::prelude::*;
use celerystair_net::{
    json::{json_response, typed_response},
    prelude::*,
};
use celerystair_node::prelude::*;
use celerystair_telemetry::prelude::*;
use http::Method;
use serde::Serialize;

use crate::{
    auth::{Caller, authenticate, require_edit},
    commands::{change, drain, suspects as clear},
    error::AdminError,
    queries::{document, placements, status, suspects},
};

/// The API's description, served at `/admin/v1/openapi.json`.
pub const OPENAPI: &str = include_str!("openapi.json");

const PREFIX: &str = "/admin/v1/";

/// What the handlers share.
pub struct Admin {
    /// The router's node.
    pub node: Node,
    /// Writes changes to the store.
    pub writer: ConfigWriter,
    settings: AdminSettings,
}

/// Serves the administration API until the node's stop drains; gives its address.
///
/// # Errors
/// [`NodeError`] if it can't listen.
pub fn start_admin(node: &Node, settings: &AdminSettings) -> Result<SocketAddr, NodeError> {
    let opening = || NodeError::opening(settings.listen.to_string());
    let listener = bind(settings.listen).map_err(opening())?;
    let address = listener.local_addr().map_err(opening())?;
    info!(node.log, "administration API listens"; "address" => %address);
    let admin = Rc::new(Admin {
        node: node.clone(),
        writer: ConfigWriter::start(&node.store, &node.config, &node.stop),
        settings: settings.clone(),
    });
    let stop = node.stop.clone();
    compio::runtime::spawn(async move {
        let handle = move |request| answer(admin.clone(), request);
        serve_http(listener, stop, handle).await.ok();
    })
    .detach();
    Ok(address)
}

async fn answer(admin: Rc<Admin>, request: HttpRequest) -> HttpResponse {
    if request.uri().path() == "/admin/v1/openapi.json" {
        return typed_response(200, "application/json", OPENAPI);
    }
    let caller = match authenticate(&admin.settings.tokens, request.headers()) {
        Ok(caller) => caller,
        Err(error) => return error.response(),
    };
    let result = if request.method() == Method::GET {
        read(&admin, &request).await
    } else {
        edit(&admin, &caller, request).await
    };
    result.unwrap_or_else(|error| error.response())
}

async fn read(admin: &Admin, request: &HttpRequest) -> Result<HttpResponse, AdminError> {
    let parts = path_parts(request.uri().path());
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    Ok(match parts[..] {
        ["config"] => ok(&document::document(admin)),
        ["changes"] => ok(&document::changes(admin)),
        ["explain", kind, name] => ok(&document::explain_scope(admin, kind, name)?),
        ["status"] => ok(&status::status(admin).await),
        ["placements"] => ok(&placements::placements(admin)),
        ["suspects"] => ok(&suspects::suspects(admin).await?),
        _ => return Err(no_path(request)),
    })
}

async fn edit(
    admin: &Admin,
    caller: &Caller,
    request: HttpRequest,
) -> Result<HttpResponse, AdminError> {
    require_edit(caller)?;
    let parts = path_parts(request.uri().path());
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    Ok(match (request.method(), &parts[..]) {
        (&Method::POST, ["changes"]) => ok(&change::change(admin, caller, request).await?),
        (&Method::PUT, ["upstreams", upstream, "drain"]) => {
            ok(&drain::drain(admin, caller, upstream, request).await?)
        }
        (&Method::DELETE, ["upstreams", upstream, "drain"]) => {
            ok(&drain::undrain(admin, caller, upstream, request).await?)
        }
        (&Method::DELETE, ["suspects", fingerprint]) => {
            ok(&clear::clear(admin, caller, fingerprint).await?)
        }
        _ => return Err(no_path(&request)),
    })
}

fn ok(value: &impl Serialize) -> HttpResponse {
    json_response(200, value)
}

fn no_path(request: &HttpRequest) -> AdminError {
    AdminError::NotFound {
        what: format!("{} {}", request.method(), request.uri().path()),
    }
}

fn path_parts(path: &str) -> Vec<String> {
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    rest.split('/').map(str::to_owned).collect()
}
