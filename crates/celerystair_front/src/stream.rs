//! A stream on its way to its caller: events are passed on as they come. Where the route allows
//! it, a stream that its upstream breaks off goes on at another one, within the same answer.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use celerystair_core::{prelude::*, time::left_ms};
use celerystair_net::prelude::*;
use celerystair_policy::prelude::*;
use futures_util::stream;
use http_body_util::BodyExt;

use crate::{
    attempt::{BegunAnswer, answer_headers},
    elsewhere::{RECHECK_SILENCE_MS, leaves_silent_upstream},
    events::EventSplitter,
    front::PlatformRouter,
    request::{CallerRequest, Progress, Served, serve_at},
};

/// After a silence of this long it is asked whether the stream goes on elsewhere: an engine makes an
/// event in well under a tenth of it, and callers wait for twice as long at least.
const STALLED_MS: u64 = 1000;

/// A stream, and what is needed to go on with it.
struct Relay {
    front: PlatformRouter,
    request: Rc<CallerRequest>,
    service: ServiceName,
    progress: Progress,
    /// The part of the answer that comes now; `None` once it has ended.
    begun: Option<BegunAnswer>,
    events: EventSplitter,
}

/// What came of an upstream.
enum Part {
    /// Whole events, or bytes where events are not told apart.
    Bytes(Bytes),
    /// The answer is whole.
    End,
    /// The answer broke off, or stands still.
    Broken(AttemptFailure),
}

/// The answer to a stream's request.
pub fn streamed(
    front: &PlatformRouter,
    request: Rc<CallerRequest>,
    service: ServiceName,
    progress: Progress,
    begun: BegunAnswer,
) -> HttpResponse {
    let (status, headers) = (begun.head.status, answer_headers(&begun.head.headers));
    let relay = Relay {
        front: front.clone(),
        request,
        service,
        progress,
        begun: Some(begun),
        events: EventSplitter::default(),
    };
    let body = stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item, relay))
    });
    let mut response = http::Response::new(HttpBody::chunks(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl Relay {
    /// The next piece for the caller; an error cuts the answer off, so that it can't be taken for
    /// whole.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            self.begun.as_ref()?;
            match self.next_part().await {
                Part::Bytes(bytes) => return Some(Ok(bytes)),
                Part::End => {
                    self.finish();
                    return None;
                }
                Part::Broken(failure) => {
                    if !self.resume(failure).await {
                        self.begun = None;
                        return Some(Err(BodyError));
                    }
                }
            }
        }
    }

    async fn next_part(&mut self) -> Part {
        let can_resume = self.request.route.can_resume;
        let mut silence_ms = STALLED_MS;
        loop {
            let left_ms = left_ms(self.request.deadline_unix_ms);
            let wait_ms = if can_resume {
                left_ms.min(silence_ms)
            } else {
                left_ms
            };
            let Some(begun) = &mut self.begun else {
                return Part::End;
            };
            let timer = compio::time::timeout(Duration::from_millis(wait_ms), begun.body.frame());
            let data = match timer.await {
                Err(_) if wait_ms == left_ms || self.goes_elsewhere() => {
                    return Part::Broken(AttemptFailure::Silent);
                }
                Err(_) => {
                    silence_ms = RECHECK_SILENCE_MS;
                    continue;
                }
                Ok(Some(Err(_))) => return Part::Broken(AttemptFailure::AnswerLost),
                Ok(None) => break,
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            if !can_resume {
                return Part::Bytes(data);
            }
            if let Some(events) = self.events.take(&data) {
                return Part::Bytes(events);
            }
        }
        // An answer that ends well may end without a blank line.
        let rest = self.events.rest();
        if rest.is_empty() {
            Part::End
        } else {
            Part::Bytes(rest)
        }
    }

    /// Whether the stream, silent for a while, is better off at another upstream.
    fn goes_elsewhere(&self) -> bool {
        let Progress { tried, sent, .. } = &self.progress;
        leaves_silent_upstream(&self.front, &self.request, &self.service, tried, *sent)
    }

    /// Keeps the connection for the next request.
    fn finish(&mut self) {
        let mut suspects = self.front.suspects.borrow_mut();
        suspects.clear(self.request.fingerprint);
        drop(suspects);
        if let Some(begun) = self.begun.take() {
            let connections = &begun.upstream.connections;
            connections.keep(begun.connection, &begun.head.headers);
        }
    }

    /// Goes on at another upstream after the last whole event; false if that can't be.
    async fn resume(&mut self, failure: AttemptFailure) -> bool {
        let Some(begun) = self.begun.take() else {
            return false;
        };
        let upstream = begun.upstream.clone();
        let now = now_unix_ms();
        upstream.note(|health| health.record_failure(false, now));
        // Closed before the next one starts: two must not run at once.
        drop(begun);
        let has_time = now < self.request.deadline_unix_ms;
        self.front
            .log_broken(&self.request, &upstream.id(), failure);
        if failure == AttemptFailure::AnswerLost {
            self.front.note_crash(&self.request, &upstream);
        }
        let is_first_life = self.progress.sent < self.request.route.attempts_max;
        if !self.request.route.can_resume || !has_time || !is_first_life {
            return false;
        }
        self.progress.may_have_run = true;
        self.events.drop_partial();
        let last_event_id = self.events.last_id().or(self.request.head.last_event_id);
        let resumed = serve_at(
            &self.front,
            &self.request,
            &self.service,
            &mut self.progress,
            last_event_id,
        )
        .await;
        match resumed {
            Ok(Served::Begun(begun)) => {
                self.begun = Some(begun);
                true
            }
            _ => false,
        }
    }
}
