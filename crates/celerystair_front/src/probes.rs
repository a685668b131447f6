//! What the platform asks of a router: whether it takes requests, and its metrics.

use celerystair_core::prelude::*;
use celerystair_net::prelude::*;
use celerystair_telemetry::prelude::*;

use crate::front::PlatformRouter;

/// Serves the metrics; without a port for them the router runs all the same.
pub fn serve_metrics(router: &PlatformRouter, stop: &Stop) {
    let address = router.settings.metrics_listen;
    let listener = match bind(address) {
        Ok(listener) => listener,
        Err(error) => {
            warn!(router.log, "metrics_not_served"; "address" => %address, "error" => %error);
            return;
        }
    };
    let (router, stop) = (router.clone(), stop.clone());
    let text = move || {
        let gauges = &router.metrics.gauges;
        gauges.waiting.record(router.waiting.len() as u64, &[]);
        gauges
            .config_revision
            .record(router.view.config_version(), &[]);
        router.record_retry_gauges();
        router.metrics.scrape()
    };
    compio::runtime::spawn(async move { serve_text(listener, "/metrics", stop, text).await.ok() })
        .detach();
}

/// Answers whether this router takes requests: not before it can route them, and not after a
/// stop was asked for.
pub fn serve_ready(router: &PlatformRouter, listener: compio::net::TcpListener, stop: &Stop) {
    let (router, stop) = (router.clone(), stop.clone());
    let answer = move |request: HttpRequest| {
        let is_ready = router.view.can_route() && !stop.is_draining();
        let is_known = request.uri().path() == router.settings.header_codec.ready_path;
        let status = match (is_known, is_ready) {
            (false, _) => 404,
            (true, true) => 200,
            (true, false) => 503,
        };
        async move {
            let mut response = http::Response::new(HttpBody::empty());
            *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
            response
        }
    };
    // It answers to the end: a platform that hears nothing can't tell a stop from a fault.
    let until_end = Stop::new();
    compio::runtime::spawn(async move {
        serve_http(listener, until_end, answer).await.ok();
    })
    .detach();
}
