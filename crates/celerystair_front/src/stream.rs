//! Relaying a stream to its caller, event by event. If the route allows it, a stream that breaks
//! off or stalls resumes at another upstream within the same response.

use std::{cell::RefCell, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use celerystair_core::{prelude::*, time::remaining_ms};
use celerystair_net::prelude::*;
use celerystair_policy::prelude::*;
use futures_util::stream;
use http_body_util::BodyExt;

use crate::{
    answer_end::find_answer_end,
    attempt::{KeptAttempt, Resumption, StartedResponse, response_headers},
    elsewhere::{SILENCE_RECHECK_MS, should_leave_silent_upstream},
    events::EventSplitter,
    framing::{Framing, is_event_stream},
    front::PlatformRouter,
    origins::{publish_origin, version_of_writer},
    request::{CallerRequest, Progress, UpstreamResponse, try_upstreams},
    standstill::before_silence,
    stops::GivenUpBy,
};

/// How long a stream may be silent before the router considers another upstream: an engine produces
/// an event in well under a tenth of this time, and callers wait at least twice as long.
const STALL_MS: u64 = 1000;

/// A stream being relayed, with what is needed to resume it.
struct StreamRelay {
    router: PlatformRouter,
    request: Rc<CallerRequest>,
    service: ServiceName,
    progress: Progress,
    /// The current upstream's response; `None` once the stream has ended.
    started: Option<StartedResponse>,
    /// Whether the response consists of events. Other responses are passed on as they are.
    is_event_stream: bool,
    events: EventSplitter,
    /// Whether the events of the current upstream are known to be of the stream's software version.
    is_part_checked: bool,
    /// Whether events were passed on whose software version can't be told, so that nothing may follow them but
    /// what their writer writes.
    is_version_untold: bool,
    /// Where the stream last went on at another upstream; `None` if it hasn't.
    resumed: Option<ResumePoint>,
}

/// The event after which a stream went on at another upstream.
#[derive(Clone, Copy, Debug)]
struct ResumePoint {
    /// `None` if no event with an id was passed on.
    last_event_id: Option<u64>,
}

/// The next part of an upstream's response.
enum StreamPart {
    /// Whole events if the stream can resume, or else any bytes.
    Bytes(Bytes),
    /// The upstream is silent, and another one seems to accept the stream.
    Silent,
    /// The response is complete as far as HTTP and its events tell.
    End(AnswerEnd),
    /// The response that the stream should have gone on with is complete, and has no event.
    EmptyRest,
    /// The response broke off, or the deadline has passed.
    Broken(AttemptFailure),
}

/// Builds the caller's response, whose body relays the stream.
pub fn stream_response(
    router: &PlatformRouter,
    request: Rc<CallerRequest>,
    service: ServiceName,
    progress: Progress,
    started: StartedResponse,
) -> HttpResponse {
    let status = started.head.status;
    let headers = response_headers(&request.method, &started.head.headers);
    // Elsewhere the upstream may take no notice of the id.
    let taken_up_after = request
        .head
        .last_event_id
        .filter(|_| request.takes_up_stream());
    let relay = StreamRelay {
        router: router.clone(),
        request,
        service,
        progress,
        is_event_stream: is_event_stream(&started.head.headers),
        started: Some(started),
        events: EventSplitter::new(router.settings.header_codec.event_rules, taken_up_after),
        is_part_checked: false,
        is_version_untold: false,
        resumed: None,
    };
    let body = stream::unfold(relay, |mut relay| async move {
        let item = relay.next_chunk().await?;
        Some((item, relay))
    });
    let mut response = http::Response::new(HttpBody::chunks(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let Some(started) = &self.started else {
            return;
        };
        let detail = format!(
            "its connection ended after event {:?}",
            self.events.last_id()
        );
        let id = started.upstream.id();
        self.router
            .log_given_up_in_stop(&self.request, Some(&id), GivenUpBy::Connection, &detail);
    }
}

impl StreamRelay {
    /// Returns the next bytes for the caller. An error aborts the response, so that the caller
    /// can't mistake it for a complete one.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            self.started.as_ref()?;
            match self.next_part().await {
                StreamPart::Bytes(bytes) => {
                    self.bind_version().await;
                    return Some(Ok(bytes));
                }
                StreamPart::End(end) => {
                    self.finish(end);
                    return None;
                }
                StreamPart::EmptyRest => {
                    self.break_off_after_empty_rest();
                    return Some(Err(BodyError));
                }
                StreamPart::Silent => {
                    if !self.leave_silent_upstream().await {
                        return Some(Err(BodyError));
                    }
                }
                StreamPart::Broken(failure) => {
                    if !self.resume(failure).await {
                        self.log_broken_in_stop(failure);
                        return Some(Err(BodyError));
                    }
                }
            }
        }
    }

    /// Binds the stream to the software version that has written its first event, which is about to be
    /// passed on, for this router and for those at which its caller may take it up. If that can't be told, the
    /// stream ends with its upstream's part.
    async fn bind_version(&mut self) {
        let Some(started) = &self.started else {
            return;
        };
        if self.is_part_checked || !self.can_resume() {
            return;
        }
        self.is_part_checked = true;
        let version = version_of_writer(&self.router, started);
        let opened_unix_ms = started.connection.opened_unix_ms;
        self.router.log_if_started_again(
            &self.request,
            &started.upstream,
            opened_unix_ms,
            version.as_ref(),
        );
        if self.progress.version.is_some() {
            return;
        }
        let Some(version) = version else {
            self.is_version_untold = true;
            return;
        };
        self.progress.version = Some(version.clone());
        let origin = StreamOrigin {
            service: self.service.clone(),
            version,
        };
        publish_origin(&self.router, &self.request, origin).await;
    }

    async fn next_part(&mut self) -> StreamPart {
        let can_resume = self.can_resume();
        let mut silence_ms = STALL_MS;
        loop {
            if !self.is_rest_of_stream() {
                return self.invalid_part("the response is no event stream");
            }
            if let Some(reason) = self.events.scanner().invalid_event() {
                return self.invalid_part(reason.as_str());
            }
            let Some(started) = &mut self.started else {
                return StreamPart::End(AnswerEnd::Unknown);
            };
            let left_ms = remaining_ms(self.request.deadline_unix_ms);
            let left = Duration::from_millis(left_ms);
            let read = {
                let frame = pin!(compio::time::timeout(left, started.body.frame()));
                if can_resume {
                    before_silence(&self.router, silence_ms, frame).await
                } else {
                    Some(frame.await)
                }
            };
            let data = match read {
                None if self.should_switch_upstream() => return StreamPart::Silent,
                None => {
                    silence_ms = SILENCE_RECHECK_MS;
                    continue;
                }
                Some(Err(_)) => return StreamPart::Broken(AttemptFailure::Silent),
                Some(Ok(Some(Err(_)))) => return StreamPart::Broken(AttemptFailure::AnswerLost),
                Some(Ok(None)) => break,
                Some(Ok(Some(Ok(frame)))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            if !self.is_event_stream {
                self.mark_writing();
                return StreamPart::Bytes(data);
            }
            if !can_resume {
                let passed_on = self.events.observe(&data);
                if passed_on.is_empty() {
                    continue;
                }
                self.mark_writing();
                return StreamPart::Bytes(passed_on);
            }
            if !self.is_part_of_version() {
                return self.invalid_part("its software version is another one, or can't be told");
            }
            if let Some(events) = self.events.push(&data) {
                self.mark_writing();
                return StreamPart::Bytes(events);
            }
            if self.events.is_event_too_long() {
                return self.invalid_part("an event is too long");
            }
        }
        self.log_if_ended_with_connection();
        if self.is_cut_off() {
            return StreamPart::Broken(AttemptFailure::AnswerLost);
        }
        if self.is_resumed_without_event() {
            return StreamPart::EmptyRest;
        }
        let end = self.find_end().await;
        if end.is_whole() {
            StreamPart::End(end)
        } else {
            StreamPart::Broken(AttemptFailure::AnswerLost)
        }
    }

    fn mark_writing(&mut self) {
        if let Some(started) = &mut self.started {
            started.run.mark_writing();
        }
    }

    fn can_resume(&self) -> bool {
        self.request.route.can_resume && self.is_event_stream
    }

    /// Returns whether events of the current upstream may follow those that were passed on. The version was
    /// known when the upstream was picked, but another process may have accepted the connection.
    fn is_part_of_version(&self) -> bool {
        let (Some(started), Some(version)) = (&self.started, &self.progress.version) else {
            return true;
        };
        self.is_part_checked || version_of_writer(&self.router, started).as_ref() == Some(version)
    }

    /// Returns whether the current upstream's part of the stream is incomplete although it has ended as HTTP
    /// requires. A client discards an event without its blank line.
    fn is_cut_off(&self) -> bool {
        if !self.is_event_stream {
            return false;
        }
        let scanner = self.events.scanner();
        let framing = self.started.as_ref().map(|started| started.framing);
        !scanner.is_between_events() || !scanner.has_event() && framing == Some(Framing::Connection)
    }

    /// Returns whether the current upstream's response can be what the stream goes on with. Of the first one
    /// the caller has the status and the headers, of later ones only the events.
    fn is_rest_of_stream(&self) -> bool {
        let Some(started) = self.started.as_ref().filter(|_| self.resumed.is_some()) else {
            return true;
        };
        started.head.status == http::StatusCode::OK && is_event_stream(&started.head.headers)
    }

    /// Returns whether the current upstream wrote no event of the stream that it should have gone on with,
    /// which proves nothing about that stream: it is also what a sound one writes after the last event.
    fn is_resumed_without_event(&self) -> bool {
        self.resumed.is_some() && !self.events.scanner().has_event()
    }

    /// Logs why what the current upstream wrote is not taken for a part of the stream.
    fn invalid_part(&self, reason: &str) -> StreamPart {
        if let Some(started) = &self.started {
            let id = started.upstream.id();
            self.router
                .log_stream_part_invalid(&self.request, &id, reason, self.events.last_id());
        }
        StreamPart::Broken(AttemptFailure::InvalidAnswer)
    }

    /// Finds out whether a stream that has ended between two events is whole.
    async fn find_end(&self) -> AnswerEnd {
        let Some(started) = &self.started else {
            return AnswerEnd::Unknown;
        };
        let (upstream, framing) = (&started.upstream, started.framing);
        let sent_unix_ms = started.run.sent_unix_ms();
        find_answer_end(&self.router, &self.request, upstream, framing, sent_unix_ms).await
    }

    /// Logs the end of a stream that only the end of its connection marks.
    fn log_if_ended_with_connection(&self) {
        let Some(started) = &self.started else {
            return;
        };
        if started.framing == Framing::Connection {
            let partial_bytes = self.events.partial_bytes();
            let id = started.upstream.id();
            self.router.log_stream_ended_with_connection(
                &self.request,
                &id,
                partial_bytes,
                self.events.last_id(),
            );
        }
    }

    /// Returns whether the stalled stream should resume at another upstream.
    fn should_switch_upstream(&self) -> bool {
        if self.is_version_untold {
            return false;
        }
        let Progress {
            tried,
            reached_upstreams,
            version,
            ..
        } = &self.progress;
        should_leave_silent_upstream(
            &self.router,
            &self.request,
            &self.service,
            version.as_ref(),
            tried,
            *reached_upstreams,
        )
    }

    /// Clears the request of suspicion if the stream is proven to be complete, and keeps the
    /// connection for reuse.
    fn finish(&mut self, end: AnswerEnd) {
        if let Some(mut started) = self.started.take() {
            if let Some(point) = self.resumed {
                self.router.log_resumed_stream_ended(
                    &self.request,
                    &started.upstream.id(),
                    point.last_event_id,
                    self.events.last_id(),
                );
            }
            if end.is_whole() {
                self.router.clear_suspicion(
                    &self.request,
                    started.head.status,
                    &started.upstream.id(),
                );
                self.router
                    .record_part_answer(&self.request, started.began_unix_ms);
                started.run.complete();
            }
            started.run.finish();
            let connections = &started.upstream.connections;
            connections.keep(started.connection, &started.head.headers);
        }
    }

    /// Ends the current upstream's part, which has no event. That is no failure of the upstream, and another
    /// one would write no more after the last event.
    fn break_off_after_empty_rest(&mut self) {
        let Some(mut started) = self.started.take() else {
            return;
        };
        let reason = format!(
            "{} wrote no event after the last one",
            started.upstream.id()
        );
        self.router.log_stream_not_resumed(&self.request, &reason);
        started.run.finish();
        let connections = &started.upstream.connections;
        connections.keep(started.connection, &started.head.headers);
    }

    /// Resumes at another upstream after the last whole event; returns false if it can't.
    async fn resume(&mut self, failure: AttemptFailure) -> bool {
        let Some(mut started) = self.started.take() else {
            return false;
        };
        let upstream = started.upstream.clone();
        let now = now_unix_ms();
        let is_conclusive = failure == AttemptFailure::InvalidAnswer;
        upstream.update_health(|health| health.record_failure(is_conclusive, now));
        match failure {
            AttemptFailure::AnswerLost => started.run.lose(),
            AttemptFailure::InvalidAnswer => started.run.finish(),
            _ => {}
        }
        // Close this response before the next attempt, so that the request never runs twice at
        // once.
        drop(started);
        let has_time = now < self.request.deadline_unix_ms;
        self.router
            .log_stream_broken(&self.request, &upstream, failure);
        let has_attempts_left = self.progress.reached_upstreams < self.request.route.attempts_max;
        if !self.can_resume() || !has_time || !has_attempts_left {
            return false;
        }
        if self.is_version_untold {
            let reason = "the software version of its events can't be told";
            self.router.log_stream_not_resumed(&self.request, reason);
            return false;
        }
        self.resume_elsewhere(None).await
    }

    /// Logs that the stream breaks off while this router stops.
    fn log_broken_in_stop(&self, failure: AttemptFailure) {
        let by = if now_unix_ms() >= self.request.deadline_unix_ms {
            GivenUpBy::Deadline
        } else {
            GivenUpBy::Upstream
        };
        self.router
            .log_given_up_in_stop(&self.request, None, by, failure.as_str());
    }

    /// Moves the stream to another upstream, or lets it stay at the silent one if none accepts it; returns
    /// false if the stream can't go on.
    async fn leave_silent_upstream(&mut self) -> bool {
        let Some(silent) = self.started.take() else {
            return false;
        };
        let (router, request) = (self.router.clone(), self.request.clone());
        let upstream = silent.upstream.clone();
        let silent = RefCell::new(Some(silent));
        let kept = KeptAttempt {
            is_open: &|| silent.borrow().is_some(),
            close: &|| {
                if silent.take().is_some() {
                    upstream.update_health(|health| health.record_failure(false, now_unix_ms()));
                    router.log_stream_broken(&request, &upstream, AttemptFailure::Silent);
                }
            },
        };
        self.resume_elsewhere(Some(&kept)).await;
        if let Some(still_open) = silent.take() {
            router.log_request_stays(&request, &upstream);
            self.started = Some(still_open);
        }
        self.started.is_some()
    }

    /// Resumes at another upstream after the last whole event; returns false if it can't.
    async fn resume_elsewhere(&mut self, kept: Option<&KeptAttempt<'_>>) -> bool {
        let last_event_id = self.events.last_id();
        self.progress.may_have_run = true;
        let resumed = try_upstreams(
            &self.router,
            &self.request,
            &self.service,
            &mut self.progress,
            Resumption {
                last_event_id,
                kept,
            },
        )
        .await;
        match resumed {
            Ok(UpstreamResponse::Started(started)) => {
                self.router
                    .log_stream_resumed(&self.request, &started.upstream, last_event_id);
                self.events.begin_part();
                self.is_part_checked = false;
                self.resumed = Some(ResumePoint { last_event_id });
                self.started = Some(started);
                true
            }
            Ok(UpstreamResponse::Buffered(_)) => {
                let reason = "every upstream answered with an error";
                self.router.log_stream_not_resumed(&self.request, reason);
                false
            }
            Err(refusal) => {
                self.router
                    .log_stream_not_resumed(&self.request, &refusal.detail);
                false
            }
        }
    }
}
