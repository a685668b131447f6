//! The readiness and metrics endpoints of a router.

use celerystair_core::prelude::*;
use celerystair_net::prelude::*;
use celerystair_telemetry::prelude::*;

use crate::front::PlatformRouter;

/// Serves the metrics. If their address can't be bound, the router runs without them.
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
        let configs = router.view.configs();
        let behind = configs.versions_behind();
        gauges.config_revisions_behind.record(behind, &[]);
        gauges.configs_refused.record(configs.refused(), &[]);
        gauges
            .request_bodies_bytes
            .record(router.bodies.held_bytes(), &[]);
        let suspects = router.suspects.borrow().counts(now_unix_ms());
        gauges.suspects.record(suspects.remembered.into(), &[]);
        gauges.suspects_refused.record(suspects.refused.into(), &[]);
        let parts = router.suspect_parts.borrow_mut().part_counts(now_unix_ms());
        gauges.suspect_parts.record(parts.remembered.into(), &[]);
        gauges
            .suspect_parts_refused
            .record(parts.refused.into(), &[]);
        router.record_retry_gauges();
        router.metrics.scrape()
    };
    compio::runtime::spawn(async move { serve_text(listener, "/metrics", stop, text).await.ok() })
        .detach();
}

/// Serves the readiness endpoint. The router is ready from the time that it can route requests
/// until a stop begins.
pub fn serve_ready(router: &PlatformRouter, listener: compio::net::TcpListener, stop: &Stop) {
    let (router, stop) = (router.clone(), stop.clone());
    let respond = move |request: HttpRequest| {
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
    // Served until the process exits: the platform can't tell an endpoint closed by a stop from a
    // fault.
    let never_stopped = Stop::new();
    compio::runtime::spawn(async move {
        serve_http(listener, never_stopped, respond).await.ok();
    })
    .detach();
}
