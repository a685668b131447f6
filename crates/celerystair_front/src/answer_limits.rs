//! Reporting the limits that upstreams' answers exceed.

use std::{error::Error, io};

use celerystair_core::prelude::*;
use celerystair_net::prelude::*;
use celerystair_policy::prelude::*;
use celerystair_telemetry::{metrics::label, prelude::*};

use crate::{front::PlatformRouter, request::CallerRequest, upstream::Upstream};

/// The shortest time between two lines about one upstream: every answer of a faulty one may be too long.
const LOG_INTERVAL_MS: u64 = 1000;

/// When the next line about an upstream's answers may be written.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LimitLog {
    next_unix_ms: u64,
    /// Answers over a limit since the last line.
    unlogged: u64,
}

impl PlatformRouter {
    /// Counts an answer that exceeded a limit after `bytes`, and logs it at a bounded rate.
    pub(crate) fn count_answer_over_limit(
        &self,
        request: &CallerRequest,
        upstream: &Upstream,
        limit: AnswerLimit,
        bytes: usize,
    ) {
        let label = label("limit", limit.as_str());
        self.metrics.answers_over_limit.add(1, &[label]);
        let now = now_unix_ms();
        let mut log = upstream.limit_log.get();
        if now < log.next_unix_ms {
            log.unlogged += 1;
            upstream.limit_log.set(log);
            return;
        }
        info!(self.log, "answer_over_limit"; "request" => %request.head.id,
            "route" => &request.route.name, "upstream" => %upstream.id(),
            "limit" => limit.as_str(), "bytes" => bytes, "unlogged" => log.unlogged,
            "age_ms" => request.age_ms(now));
        upstream.limit_log.set(LimitLog {
            next_unix_ms: now + LOG_INTERVAL_MS,
            unlogged: 0,
        });
    }
}

/// Whether reading a response failed because its head is too long.
pub(crate) fn is_head_too_long(error: &hyper::Error) -> bool {
    let cause = error
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    let is_counted = cause
        .and_then(io::Error::get_ref)
        .is_some_and(|cause| cause.downcast_ref::<HeadTooLong>().is_some());
    error.is_parse_too_large() || is_counted
}
