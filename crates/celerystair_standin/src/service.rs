//! A plain service that executes every request, and counts executions by idempotency key.

use std::{cell::Cell, io, net::SocketAddr, rc::Rc};

use celerystair_core::{prelude::*, rendezvous::fingerprint};
use celerystair_net::{
    json::{json_response, read_body},
    prelude::*,
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::witness::Witness;

const BODY_MAX_BYTES: usize = 16 << 20;

/// Settings of the service stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Listen address.
    pub listen: SocketAddr,
    /// Duration of a call.
    pub work_ms: u64,
    /// Every n-th call is executed, but its response is aborted; 0 for none.
    pub lose_answer_every: u32,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            work_ms: 20,
            lose_answer_every: 0,
        }
    }
}

/// Runs the service until `stop` drains, and returns its address.
pub fn run_service(
    settings: ServiceSettings,
    witness: &Witness,
    stop: &Stop,
) -> io::Result<SocketAddr> {
    let listener = bind(settings.listen)?;
    let address = listener.local_addr()?;
    let (witness, stop) = (witness.clone(), stop.clone());
    let calls = Rc::new(Cell::new(0_u32));
    compio::runtime::spawn(async move {
        let handle = move |request: HttpRequest| {
            execute(request, settings.clone(), witness.clone(), calls.clone())
        };
        serve_http(listener, stop, handle).await.ok();
    })
    .detach();
    Ok(address)
}

async fn execute(
    request: HttpRequest,
    settings: ServiceSettings,
    witness: Witness,
    calls: Rc<Cell<u32>>,
) -> HttpResponse {
    let (parts, body) = match read_body(request, BODY_MAX_BYTES).await {
        Ok(read) => read,
        Err(error) => return json_response(400, &error.to_string()),
    };
    let key = parts
        .headers
        .get("idempotency-key")
        .and_then(|key| key.to_str().ok());
    let key = key.unwrap_or_default().to_owned();
    calls.set(calls.get() + 1);
    sleep_ms(settings.work_ms).await;
    if !key.is_empty() {
        witness.record_execution(&key);
    }
    if settings.lose_answer_every > 0 && calls.get().is_multiple_of(settings.lose_answer_every) {
        let aborted = futures_util::stream::iter([Err(BodyError)]);
        return http::Response::new(HttpBody::chunks(aborted));
    }
    let response = json!({
        "path": parts.uri.path(),
        "method": parts.method.as_str(),
        "key": key,
        "body_fingerprint": format!("{:016x}", fingerprint(&body)),
    });
    json_response(200, &response)
}
