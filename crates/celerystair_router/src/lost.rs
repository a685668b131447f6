//! Crash records for whole instances, agent included, that were lost with requests in flight.
//!
//! If only the upstream crashes, its agent records the crash. If the agent is lost too, the router
//! that lost the connection records it. See `docs/AT_MOST_ONCE.md`.

use std::cell::RefCell;

use async_channel::Receiver;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_journal::suspects::{CrashReport, record_crash};

use crate::{
    attempt::TrackedAttempt, caller_request::CallerRequest, router::Router,
    serve::response_deadline_unix_ms,
};

/// The longest that a retry waits for the crash to be recorded in the store.
const CRASH_WRITE_TIMEOUT_MS: u64 = 500;
/// Losses within this time of each other are taken to have one cause.
const LOSS_WINDOW_MS: u64 = 5_000;
/// With more losses than this in the window, no crash is recorded: one request can't have crashed
/// more upstreams, so a failure domain or the network has failed, and a store write for each
/// request in flight there would be wasted.
const RECORDED_LOSSES_MAX: usize = 2;

/// The upstreams that this router lost recently, each with the time of its loss.
#[derive(Default)]
pub struct LostUpstreams {
    recent: RefCell<Vec<(u64, UpstreamId)>>,
}

impl LostUpstreams {
    /// Records a loss and returns the number of upstreams lost within the window.
    fn record(&self, upstream: &UpstreamId) -> usize {
        let now = now_unix_ms();
        let mut recent = self.recent.borrow_mut();
        recent
            .retain(|(lost_unix_ms, lost)| now < lost_unix_ms + LOSS_WINDOW_MS && lost != upstream);
        recent.push((now, upstream.clone()));
        recent.len()
    }
}

/// Returns whether the instance of the attempt's upstream is lost, which holds if its agent no
/// longer replies. If so, records a crash against the request, unless too many upstreams were lost
/// together. An agent that replies has only restarted, and its upstream is still running.
pub async fn record_crash_if_lost(
    router: &Router,
    request: &CallerRequest,
    attempt: &TrackedAttempt,
) -> bool {
    let peer = &attempt.peer;
    let response_deadline_unix_ms = response_deadline_unix_ms(router, request);
    let state = attempt
        .settle_with_agent(router, response_deadline_unix_ms)
        .await;
    if state.is_some() {
        return false;
    }
    peer.start_backoff();
    if router.lost_upstreams.record(&peer.upstream) > RECORDED_LOSSES_MAX {
        return true;
    }
    let expiry_ms = router.node.config.current().defaults.suspect_expiry_ms;
    let now = now_unix_ms();
    let crash = CrashReport {
        fingerprint: request.fingerprint,
        attempt: attempt.id.clone(),
        ran_alone: attempt.is_suspect,
        expires_unix_ms: now + expiry_ms,
    };
    // If the store is unreachable, the retry still runs alone: this router remembers the crash for
    // the rest of the request.
    let written = write_crash(router, crash, now + CRASH_WRITE_TIMEOUT_MS);
    before_deadline(response_deadline_unix_ms, written.recv()).await;
    true
}

/// Writes the crash in the background until `deadline_unix_ms`, even if the caller's own deadline
/// is earlier. The returned channel closes when the write has ended.
fn write_crash(router: &Router, crash: CrashReport, deadline_unix_ms: u64) -> Receiver<()> {
    let (write_guard, written) = async_channel::bounded(1);
    let store = router.node.store.clone();
    compio::runtime::spawn(async move {
        before_deadline(deadline_unix_ms, record_crash(&store, &crash)).await;
        drop(write_guard);
    })
    .detach();
    written
}
