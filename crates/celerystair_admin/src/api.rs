//! The server of the administration API and its routes.

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
    auth::{Operator, authenticate, require_edit},
    commands::{change, drain, suspects as suspect_commands},
    error::AdminError,
    queries::{document, placements, status, suspects},
};

/// The `OpenAPI` description, served without authentication at `/admin/v1/openapi.json`.
pub const OPENAPI: &str = include_str!("openapi.json");

const PREFIX: &str = "/admin/v1/";

/// State shared by the request handlers.
pub struct AdminState {
    /// The node of the router that serves the API.
    pub node: Node,
    /// Writes configuration changes to the store.
    pub writer: ConfigWriter,
    settings: AdminSettings,
}

/// Serves the administration API until the node's stop begins to drain. Returns its address.
///
/// # Errors
/// [`NodeError`] if the address can't be bound.
pub fn start_admin(node: &Node, settings: &AdminSettings) -> Result<SocketAddr, NodeError> {
    let open_error = || NodeError::opening(settings.listen.to_string());
    let listener = bind(settings.listen).map_err(open_error())?;
    let address = listener.local_addr().map_err(open_error())?;
    info!(node.log, "administration API is listening"; "address" => %address);
    let admin = Rc::new(AdminState {
        node: node.clone(),
        writer: ConfigWriter::start(&node.store, &node.config, &node.stop),
        settings: settings.clone(),
    });
    let stop = node.stop.clone();
    compio::runtime::spawn(async move {
        let handle = move |request| handle_request(admin.clone(), request);
        serve_http(listener, stop, handle).await.ok();
    })
    .detach();
    Ok(address)
}

async fn handle_request(admin: Rc<AdminState>, request: HttpRequest) -> HttpResponse {
    if request.uri().path() == "/admin/v1/openapi.json" {
        return typed_response(200, "application/json", OPENAPI);
    }
    let operator = match authenticate(&admin.settings.tokens, request.headers()) {
        Ok(operator) => operator,
        Err(error) => return error.response(),
    };
    let result = if request.method() == Method::GET {
        handle_read(&admin, &request).await
    } else {
        handle_edit(&admin, &operator, request).await
    };
    result.unwrap_or_else(|error| error.response())
}

async fn handle_read(
    admin: &AdminState,
    request: &HttpRequest,
) -> Result<HttpResponse, AdminError> {
    let parts = path_parts(request.uri().path());
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    Ok(match parts[..] {
        ["config"] => ok_response(&document::current_document(admin)),
        ["changes"] => ok_response(&document::history(admin)),
        ["explain", kind, name] => ok_response(&document::explain_scope(admin, kind, name)?),
        ["status"] => ok_response(&status::fleet_status(admin).await),
        ["placements"] => ok_response(&placements::list_placements(admin)),
        ["suspects"] => ok_response(&suspects::list_suspects(admin).await?),
        _ => return Err(path_not_found(request)),
    })
}

async fn handle_edit(
    admin: &AdminState,
    operator: &Operator,
    request: HttpRequest,
) -> Result<HttpResponse, AdminError> {
    require_edit(operator)?;
    let parts = path_parts(request.uri().path());
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    Ok(match (request.method(), &parts[..]) {
        (&Method::POST, ["changes"]) => {
            ok_response(&change::make_change(admin, operator, request).await?)
        }
        (&Method::PUT, ["upstreams", upstream, "drain"]) => {
            ok_response(&drain::drain(admin, operator, upstream, request).await?)
        }
        (&Method::DELETE, ["upstreams", upstream, "drain"]) => {
            ok_response(&drain::undrain(admin, operator, upstream, request).await?)
        }
        (&Method::DELETE, ["suspects", fingerprint]) => {
            ok_response(&suspect_commands::clear_suspect(admin, operator, fingerprint).await?)
        }
        _ => return Err(path_not_found(&request)),
    })
}

fn ok_response(value: &impl Serialize) -> HttpResponse {
    json_response(200, value)
}

fn path_not_found(request: &HttpRequest) -> AdminError {
    AdminError::NotFound {
        what: format!("{} {}", request.method(), request.uri().path()),
    }
}

fn path_parts(path: &str) -> Vec<String> {
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    rest.split('/').map(str::to_owned).collect()
}
