//! One log line for each decision about a request, with the inputs of the decision. The lines are
//! listed in `docs/OPERATIONS.md`.

use celerystair_core::prelude::*;
use celerystair_net::prelude::*;
use celerystair_news::prelude::Retold;
use celerystair_policy::prelude::*;
use celerystair_telemetry::{metrics::label, prelude::*};

use crate::{
    dialect::PromptPart,
    front::PlatformRouter,
    origins::{OriginSearch, OriginSource},
    pick::WaitReason,
    request::CallerRequest,
    runs::Run,
    upstream::Upstream,
};

/// The most unknown headers that are logged: their names are the upstreams' choice.
const LOGGED_HEADERS_MAX: usize = 32;

impl PlatformRouter {
    /// Logs a failed attempt, with the load figures that its upstream was chosen by.
    pub fn log_attempt_failed(
        &self,
        request: &CallerRequest,
        upstream: &Upstream,
        failure: AttemptFailure,
        sent_unix_ms: u64,
    ) {
        let now = now_unix_ms();
        let status = self.engines.get(&upstream.id());
        let load = status.as_ref().map(|s| s.running + s.waiting);
        let news_age_ms = status.map(|status| now.saturating_sub(status.received_unix_ms));
        info!(self.log, "attempt_failed"; "request" => %request.head.id,
            "route" => &request.route.name, "upstream" => %upstream.id(),
            "fingerprint" => hex(request.fingerprint), "how" => failure.as_str(),
            "upstream_ms" => now.saturating_sub(sent_unix_ms),
            "load" => load, "news_age_ms" => news_age_ms, "in_flight" => upstream.in_flight(),
            "config_version" => self.view.config_version(), "age_ms" => request.age_ms(now));
    }

    /// Logs a response that doesn't name the request after which it arrived, what it says of it, and
    /// whether its connection had carried requests before.
    pub fn log_unnamed_response(
        &self,
        request: &CallerRequest,
        upstream: &Upstream,
        status: http::StatusCode,
        named: NamedRequest,
        is_not_run: bool,
        is_reused: bool,
    ) {
        info!(self.log, "response_unnamed"; "request" => %request.head.id,
            "route" => &request.route.name, "upstream" => %upstream.id(),
            "status" => status.as_u16(), "names" => named.as_str(), "not_run" => is_not_run,
            "reused" => is_reused, "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs that a request was read, at least in part, and that its connection ended without a complete
    /// response.
    pub fn log_unanswered(&self, request: &UnansweredRequest) {
        info!(self.log, "request_unanswered"; "end" => request.end.as_str(),
            "caller" => request.caller.map(|address| address.to_string()),
            "head_bytes" => request.head_bytes, "requests_before" => request.requests_before,
            "connection_age_ms" => request.connection_age_ms,
            "since_response_ms" => request.since_response_ms, "detail" => &request.detail,
            "config_version" => self.view.config_version());
    }

    /// Logs that a request is dropped before it is answered, since its caller's connection has ended or
    /// serving it has panicked.
    pub fn log_request_dropped(&self, request: &CallerRequest) {
        info!(self.log, "request_dropped"; "request" => %request.head.id,
            "route" => &request.route.name, "is_panic" => std::thread::panicking(),
            "config_version" => self.view.config_version(),
            "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs that a caller takes up a stream that began as an earlier request, at which version it goes
    /// on, and how that is known.
    pub fn log_stream_taken_up(
        &self,
        request: &CallerRequest,
        origin: &StreamOrigin,
        source: OriginSource,
    ) {
        let resumes = request.head.resumes.as_ref().map(ToString::to_string);
        info!(self.log, "stream_taken_up"; "request" => %request.head.id,
            "route" => &request.route.name, "resumes" => resumes,
            "last_event_id" => request.head.last_event_id, "service" => %origin.service,
            "software_version" => %origin.version, "known_by" => ?source,
            "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs how agents were asked where a stream began that its caller takes up, and since when every
    /// version that was listed is known.
    pub fn log_origin_search(&self, request: &CallerRequest, search: OriginSearch) {
        let now = now_unix_ms();
        let known_since_unix_ms = self.view.versions_known_since_unix_ms();
        info!(self.log, "stream_origin_search"; "request" => %request.head.id,
            "asked" => search.asked, "answered" => search.answered,
            "versions_known_ms" => known_since_unix_ms.map(|since| now.saturating_sub(since)),
            "age_ms" => request.age_ms(now));
    }

    /// Logs that a stream can't go on, as the list of upstreams was not proven to be current.
    pub fn log_list_unproven(&self, request: &CallerRequest) {
        info!(self.log, "stream_version_unproven"; "request" => %request.head.id,
            "route" => &request.route.name, "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs that others are told where streams began, as some that held it have left or started again.
    pub fn log_origins_retold(&self, retold: &Retold) {
        info!(self.log, "stream_origins_retold"; "records" => retold.records,
            "processes" => retold.receivers);
    }

    /// Logs that a stream that broke off goes on at another upstream within the same response.
    pub fn log_stream_resumed(
        &self,
        request: &CallerRequest,
        upstream: &Upstream,
        last_event_id: Option<u64>,
    ) {
        info!(self.log, "stream_resumed"; "request" => %request.head.id,
            "route" => &request.route.name, "upstream" => %upstream.id(),
            "software_version" => %upstream.software_version(),
            "last_event_id" => last_event_id, "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs that a request stays at its silent upstream, because no other one accepted it.
    pub fn log_request_stays(&self, request: &CallerRequest, upstream: &Upstream) {
        info!(self.log, "request_stays"; "request" => %request.head.id,
            "route" => &request.route.name, "upstream" => %upstream.id(),
            "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs which software version is taken for that of the events of a stream whose upstream has started again
    /// since it was sent there; `None` if it can't be told.
    pub fn log_if_started_again(
        &self,
        request: &CallerRequest,
        upstream: &Upstream,
        opened_unix_ms: u64,
        version: Option<&SoftwareVersion>,
    ) {
        let now = now_unix_ms();
        for start in self.view.later_starts(upstream) {
            info!(self.log, "stream_upstream_started_again"; "request" => %request.head.id,
                "upstream" => %upstream.id(), "sent_to" => %upstream.software_version(),
                "later" => start.software_version.as_ref().map(ToString::to_string),
                "known_ms" => now.saturating_sub(start.known_unix_ms),
                "connection_age_ms" => now.saturating_sub(opened_unix_ms),
                "written_by" => version.map(ToString::to_string));
        }
    }

    /// Logs why a stream could not go on at another upstream.
    pub fn log_stream_not_resumed(&self, request: &CallerRequest, detail: &str) {
        info!(self.log, "stream_not_resumed"; "request" => %request.head.id,
            "route" => &request.route.name, "detail" => detail,
            "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs that a stream broke off or stalled.
    pub fn log_stream_broken(
        &self,
        request: &CallerRequest,
        upstream: &Upstream,
        how: AttemptFailure,
    ) {
        info!(self.log, "stream_broken"; "request" => %request.head.id,
            "route" => &request.route.name, "fingerprint" => hex(request.fingerprint),
            "upstream" => %upstream.id(), "software_version" => %upstream.software_version(),
            "how" => how.as_str(), "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs that a response has a transfer coding other than `chunked`, which no request asks for.
    pub fn log_transfer_coding(
        &self,
        request: &CallerRequest,
        upstream: &UpstreamId,
        codings: &http::header::GetAll<'_, http::HeaderValue>,
    ) {
        let codings: Vec<_> = codings
            .iter()
            .take(LOGGED_HEADERS_MAX)
            .map(|coding| String::from_utf8_lossy(coding.as_bytes()))
            .collect();
        info!(self.log, "response_coded"; "request" => %request.head.id,
            "route" => &request.route.name, "upstream" => %upstream,
            "codings" => codings.join(", "), "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs why what an upstream wrote is not taken for a part of the stream.
    pub fn log_stream_part_invalid(
        &self,
        request: &CallerRequest,
        upstream: &UpstreamId,
        reason: &str,
        last_event_id: Option<u64>,
    ) {
        info!(self.log, "stream_part_invalid"; "request" => %request.head.id,
            "route" => &request.route.name, "upstream" => %upstream, "reason" => reason,
            "last_event_id" => last_event_id, "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs that a stream without a length or chunks ended with its connection, and how many bytes
    /// came after its last whole event.
    pub fn log_stream_ended_with_connection(
        &self,
        request: &CallerRequest,
        upstream: &UpstreamId,
        partial_bytes: usize,
        last_event_id: Option<u64>,
    ) {
        info!(self.log, "stream_ended_with_connection"; "request" => %request.head.id,
            "route" => &request.route.name, "upstream" => %upstream,
            "partial_bytes" => partial_bytes, "last_event_id" => last_event_id,
            "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs that a stream ended which had gone on at other upstreams, lastly after the event
    /// `resumed_after`: if that is its last event, the last upstream wrote none.
    pub fn log_resumed_stream_ended(
        &self,
        request: &CallerRequest,
        upstream: &UpstreamId,
        resumed_after: Option<u64>,
        last_event_id: Option<u64>,
    ) {
        info!(self.log, "resumed_stream_ended"; "request" => %request.head.id,
            "route" => &request.route.name, "upstream" => %upstream,
            "resumed_after" => resumed_after, "last_event_id" => last_event_id,
            "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs and counts the end of an answer that only its connection marked.
    pub fn count_answer_end(&self, request: &CallerRequest, upstream: &Upstream, end: AnswerEnd) {
        self.metrics
            .unframed_answers
            .add(1, &[label("end", end.as_str())]);
        info!(self.log, "answer_ended_with_connection"; "request" => %request.head.id,
            "route" => &request.route.name, "upstream" => %upstream.id(), "end" => end.as_str(),
            "state" => ?upstream.state(), "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs that a request's upstream was lost while it ran the request, and since when the response
    /// had been coming: a request that crashes its upstream does so when the response begins.
    pub fn log_request_suspected(
        &self,
        run: &Run,
        incarnation: &UpstreamIncarnation,
        crashes: u32,
        outcome: CrashOutcome,
    ) {
        let now = now_unix_ms();
        info!(self.log, "request_suspected"; "request" => %run.request,
            "route" => &run.route.name, "fingerprint" => hex(run.fingerprint),
            "upstream" => %incarnation.upstream, "born_unix_ms" => incarnation.started_unix_ms,
            "crashes" => crashes, "crash" => outcome.as_str(),
            "sent_ms_ago" => now.saturating_sub(run.sent_unix_ms),
            "writing_ms" => run.writing_since_unix_ms.map(|since| now.saturating_sub(since)),
            "parts" => part_names(&run.prompt_parts));
    }

    /// Logs that other processes know of crashes of a request that this router didn't know.
    pub fn log_suspect_learned(&self, fingerprint: u64, crashes: u32) {
        info!(self.log, "suspect_learned"; "fingerprint" => hex(fingerprint),
            "crashes" => crashes);
    }

    /// Logs that requests with a part of prompts are refused from now on.
    pub fn log_part_refused(&self, part: PromptPartId) {
        warn!(self.log, "prompt_part_refused"; "part" => hex(part.0));
    }

    /// Logs that requests with a part of prompts are no longer refused.
    pub fn log_part_accepted(&self, part: PromptPartId) {
        info!(self.log, "prompt_part_accepted"; "part" => hex(part.0));
    }

    /// Logs that an upstream that was thought to have crashed under a request is still listed.
    pub fn log_false_crash_cleared(&self, fingerprint: u64) {
        info!(self.log, "false_crash_cleared"; "fingerprint" => hex(fingerprint));
    }

    /// Logs that a proven answer cleared the request of suspicion.
    pub fn log_suspicion_cleared(
        &self,
        request: &CallerRequest,
        crashes: u32,
        status: http::StatusCode,
        upstream: &UpstreamId,
    ) {
        info!(self.log, "suspicion_cleared"; "request" => %request.head.id,
            "route" => &request.route.name, "fingerprint" => hex(request.fingerprint),
            "crashes" => crashes, "status" => status.as_u16(), "upstream" => %upstream);
    }

    /// Logs that an upstream has said in a response that it leaves.
    pub fn log_departure(&self, upstream: &Upstream) {
        info!(self.log, "upstream_leaves"; "upstream" => %upstream.id(),
            "in_flight" => upstream.in_flight());
    }

    /// Logs that an upstream has asked for a pause.
    pub fn log_pause(&self, upstream: &Upstream, pause_ms: u64) {
        info!(self.log, "upstream_paused"; "upstream" => %upstream.id(),
            "pause_ms" => pause_ms, "in_flight" => upstream.in_flight());
    }

    /// Logs that an upstream has asked for a pause whose length can't be read, which is ignored.
    pub fn log_invalid_pause(&self, upstream: &Upstream) {
        warn!(self.log, "upstream_pause_invalid"; "upstream" => %upstream.id());
    }

    /// Logs that an upstream has named a rate limit, or names none any more.
    pub fn log_rate_limit(&self, upstream: &Upstream, per_second: Option<f64>) {
        info!(self.log, "upstream_limit"; "upstream" => %upstream.id(),
            "per_second" => per_second, "routers" => self.router_count());
    }

    /// Logs that an upstream has named a rate limit that can't be read.
    pub fn log_invalid_rate_limit(&self, upstream: &Upstream) {
        warn!(self.log, "upstream_limit_invalid"; "upstream" => %upstream.id());
    }

    /// Logs, for each upstream with a rate limit, how much this router has sent to it.
    pub fn log_limited_upstreams(&self) {
        for upstream in self.view.all_upstreams() {
            let Some(mut limit) = upstream.rate_limit.get() else {
                continue;
            };
            info!(self.log, "upstream_limit_of_window"; "upstream" => %upstream.id(),
                "per_second" => limit.share.per_second, "sent" => limit.sent,
                "routers" => self.router_count(),
                "named_ms_ago" => now_unix_ms().saturating_sub(limit.named_unix_ms));
            limit.sent = 0;
            upstream.rate_limit.set(Some(limit));
        }
    }

    /// Logs a header of the platform that this version doesn't know, once for each name.
    pub fn log_unknown_header(&self, name: &http::HeaderName) {
        let mut logged = self.logged_headers.borrow_mut();
        if logged.len() < LOGGED_HEADERS_MAX && logged.insert(name.clone()) {
            info!(self.log, "response_header_unknown"; "header" => name.as_str());
        }
    }

    /// Logs that an agent is asked to load an adapter.
    pub fn log_adapter_wanted(
        &self,
        request: &CallerRequest,
        upstream: &Upstream,
        model: &ModelName,
        adapter: &str,
    ) {
        info!(self.log, "adapter_wanted"; "request" => %request.head.id,
            "route" => &request.route.name, "upstream" => %upstream.id(), "model" => %model,
            "adapter" => adapter, "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs that a request starts to wait, and for what.
    pub fn log_request_waits(
        &self,
        request: &CallerRequest,
        reason: WaitReason,
        ready_unix_ms: u64,
    ) {
        let model = request.head.model.as_ref().map(ToString::to_string);
        let now = now_unix_ms();
        info!(self.log, "request_waits"; "request" => %request.head.id,
            "route" => &request.route.name, "model" => model, "for" => ?reason,
            "ready_in_ms" => ready_unix_ms.saturating_sub(now), "waiting" => self.waiting.len());
    }

    /// Logs a response that began later than the route's target latency.
    pub fn log_late_response(
        &self,
        request: &CallerRequest,
        upstream: &Upstream,
        waited: Option<(WaitReason, u64)>,
        sent_unix_ms: u64,
    ) {
        let now = now_unix_ms();
        let age_ms = request.age_ms(now);
        if age_ms <= request.route.target_latency_ms {
            return;
        }
        let model = request.head.model.as_ref().map(ToString::to_string);
        let waited_ms = waited.map(|(_, since)| sent_unix_ms.saturating_sub(since));
        let status = self.engines.get(&upstream.id());
        let load = status
            .as_ref()
            .map(|status| status.running + status.waiting);
        let news_age_ms = status.map(|status| now.saturating_sub(status.received_unix_ms));
        info!(self.log, "answer_began_late"; "request" => %request.head.id,
            "route" => &request.route.name, "model" => model, "age_ms" => age_ms,
            "waited_ms" => waited_ms, "for" => ?waited.map(|(reason, _)| reason),
            "upstream" => %upstream.id(), "load" => load, "news_age_ms" => news_age_ms,
            "in_flight" => upstream.in_flight(), "upstream_ms" => now.saturating_sub(sent_unix_ms));
    }

    /// Logs the refusal of a request.
    pub fn log_refusal(&self, request: &CallerRequest, refusal: &Refusal) {
        let model = request.head.model.as_ref().map(ToString::to_string);
        info!(self.log, "request_refused"; "request" => %request.head.id,
            "route" => &request.route.name, "fingerprint" => hex(request.fingerprint),
            "reason" => refusal.reason.as_str(),
            "run" => refusal.run.as_str(), "detail" => &refusal.detail, "model" => model,
            "retry_after_ms" => refusal.retry_after_ms,
            "config_version" => self.view.config_version(),
            "age_ms" => request.age_ms(now_unix_ms()));
    }

    /// Logs a request whose body waits for room.
    pub fn log_body_waits(&self, request: &RequestId, bytes: u64) {
        info!(self.log, "body_waits"; "request" => %request, "bytes" => bytes,
            "held_bytes" => self.bodies.held_bytes(), "waiting" => self.bodies.waiting());
    }

    /// Logs a request whose body is not read to its end.
    pub fn log_body_refused(&self, request: &RequestId, refusal: &Refusal) {
        info!(self.log, "body_refused"; "request" => %request,
            "reason" => refusal.reason.as_str(), "detail" => &refusal.detail,
            "held_bytes" => self.bodies.held_bytes(), "waiting" => self.bodies.waiting());
    }

    /// Logs the refusal of an invalid or unroutable request.
    pub fn log_unreadable_request(&self, refusal: &Refusal) {
        info!(self.log, "request_unread"; "reason" => refusal.reason.as_str(),
            "detail" => &refusal.detail);
    }
}

/// Formats the parts of a prompt, by which the lines of unlike requests can be joined.
fn part_names(parts: &[PromptPart]) -> String {
    let names = parts
        .iter()
        .map(|part| format!("{}={}", part.name, hex(part.id.0)));
    names.collect::<Vec<String>>().join(",")
}

/// Formats a fingerprint, by which the lines of a request's retries with other ids can be joined.
fn hex(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}
