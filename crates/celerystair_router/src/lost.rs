//! Instances that were lost, agent and all, while they ran requests. Where the agent is left, it
//! tells a crash itself; here the router that lost sight of both does. See `docs/AT_MOST_ONCE.md`.

use std::cell::RefCell;

use async_channel::Receiver;
use celerystair_core::{prelude::*, time::before_deadline};
use celerystair_journal::suspects::{CrashReport, record_crash};

use crate::{
    attempt::Tracked, caller_request::CallerRequest, router::Router, serve::answer_by_unix_ms,
};

/// How long a retry waits until the suspicion is written.
const ACCUSE_TIMEOUT_MS: u64 = 500;
/// Losses this close together have one cause.
const TOGETHER_MS: u64 = 5_000;
/// More upstreams lost together than one request may crash: a failure domain or the network went,
/// and the store is spared a write for each request that ran there.
const LOST_MAX: usize = 2;

/// Upstreams that this router has lost of late.
#[derive(Default)]
pub struct LostUpstreams {
    recent: RefCell<Vec<(u64, UpstreamId)>>,
}

impl LostUpstreams {
    /// Notes a loss; gives how many upstreams were lost of late.
    fn note(&self, upstream: &UpstreamId) -> usize {
        let now = now_unix_ms();
        let mut recent = self.recent.borrow_mut();
        recent
            .retain(|(lost_unix_ms, known)| now < lost_unix_ms + TOGETHER_MS && known != upstream);
        recent.push((now, upstream.clone()));
        recent.len()
    }
}

/// Whether the upstream's instance is lost: its agent answers no question any more. If so, the
/// request that ran there is charged with a crash, unless many were lost together. An agent that
/// is back at once has only restarted, and its upstream runs on.
pub async fn charge_if_lost(router: &Router, request: &CallerRequest, tracked: &Tracked) -> bool {
    let peer = &tracked.peer;
    let answer_by_unix_ms = answer_by_unix_ms(router, request);
    let answers = tracked.ask_state(router, answer_by_unix_ms).await;
    if answers.is_some() {
        return false;
    }
    peer.leave_out();
    if router.lost_upstreams.note(&peer.upstream) > LOST_MAX {
        return true;
    }
    let expiry_ms = router.node.config.current().defaults.suspect_expiry_ms;
    let now = now_unix_ms();
    let crash = CrashReport {
        fingerprint: request.fingerprint,
        attempt: tracked.attempt.clone(),
        ran_alone: tracked.suspect,
        expires_unix_ms: now + expiry_ms,
    };
    // With the store away, the retry still runs alone: the router at hand knows.
    let written = write_crash(router, crash, now + ACCUSE_TIMEOUT_MS);
    before_deadline(answer_by_unix_ms, written.recv()).await;
    true
}

/// Writes a charge until the deadline, also when the caller's time is over before; the channel
/// closes once that has ended.
fn write_crash(router: &Router, crash: CrashReport, deadline_unix_ms: u64) -> Receiver<()> {
    let (ended, written) = async_channel::bounded(1);
    let store = router.node.store.clone();
    compio::runtime::spawn(async move {
        before_deadline(deadline_unix_ms, record_crash(&store, &crash)).await;
        drop(ended);
    })
    .detach();
    written
}
